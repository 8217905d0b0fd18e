"""Simulates the table of the MOSN article, to check the policies against it.

There are ten servers whose mean response time is drawn from N(50, 10) ms; each
response time is drawn from N(mean, 5) ms. One server adds 1000 ms to one
response in ten. A server works on eight requests at once, and 16 requests are
in flight. With fast failures, the faulty server instead fails half of its
requests immediately, which looks like a fast response.
"""

import heapq
import random

import cyclopts

from ruddergate import environment
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import own_work
from ruddergate.decisions.routing import by_name
from ruddergate.decisions.routing import job as jobs
from ruddergate.experiments import summary
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.settings import effective
from ruddergate.settings import kind as kinds
from ruddergate.settings import schema

_SERVERS = 10
_IN_FLIGHT = 16
_SERVER_CONCURRENCY = 8
_FAULT_MS = 1_000.0
_FAILURE_MS = 1.0
_POLICIES = ("round_robin", "least_requests", "peak_ewma_p2c", "by_length")
_JOB = jobs.Job(0, 0, "", 0, False, 0.0)


class _Server:
    def __init__(self, rng: random.Random, is_faulty: bool) -> None:
        self.mean_ms = rng.gauss(50.0, 10.0)
        self.is_faulty = is_faulty
        self.worker_free_ms = [0.0] * _SERVER_CONCURRENCY

    def serve(
        self, now_ms: float, rng: random.Random, fast_failures: bool
    ) -> tuple[float, bool]:
        """Returns the time at which a request ends, and whether it failed."""
        if self.is_faulty and fast_failures and rng.random() < 0.5:
            return now_ms + _FAILURE_MS, True
        took_ms = max(1.0, rng.gauss(self.mean_ms, 5.0))
        if self.is_faulty and not fast_failures and rng.random() < 0.1:
            took_ms += _FAULT_MS
        start_ms = max(now_ms, heapq.heappop(self.worker_free_ms))
        heapq.heappush(self.worker_free_ms, start_ms + took_ms)
        return start_ms + took_ms, False


def make_pool() -> effective.Pool:
    """Returns a pool with every setting at its default."""
    values = {
        setting.name: setting.default
        for setting in schema.SETTINGS
        if setting.used_by is kinds.Kind.POOL
    }
    return effective.Pool(name="p", **values)


def make_estimates(count: int) -> list[estimates.Estimate]:
    """Returns the estimated load of idle targets."""
    address = environment.Address("127.0.0.1", 1)
    live = condition.Condition.LIVE
    pool = make_pool()
    return [
        estimates.Estimate(
            targets.Target(f"t{n}", "p", "h", address, live), pool
        )
        for n in range(count)
    ]


def simulate(
    policy_name: str,
    seed: int,
    requests: int,
    fast_failures: bool,
    fault_guard: bool,
) -> tuple[list[float], int]:
    """Returns response times and failures under one policy."""
    rng = random.Random(seed)
    servers = [_Server(rng, n == 0) for n in range(_SERVERS)]
    loads = make_estimates(_SERVERS)
    policy = by_name.make_policy(policy_name)
    in_flight: list[tuple[float, int, int, float, bool]] = []
    times, failures, now_ms = [], 0, 0.0
    for number in range(requests):
        while len(in_flight) >= _IN_FLIGHT:
            now_ms, done, index, started_ms, failed = heapq.heappop(in_flight)
            times.append(now_ms - started_ms)
            failures += failed
            _record_outcome(
                loads[index], str(done), now_ms, failed, fault_guard
            )
        chosen = policy.choose(_JOB, loads, now_ms, rng)
        index = loads.index(chosen)
        chosen.begin_attempt(str(number), own_work.OwnWork(1, 1, now_ms, 0))
        end_ms, failed = servers[index].serve(now_ms, rng, fast_failures)
        heapq.heappush(in_flight, (end_ms, number, index, now_ms, failed))
    return times, failures


def _record_outcome(
    loads: estimates.Estimate,
    name: str,
    now_ms: float,
    failed: bool,
    fault_guard: bool,
) -> None:
    if failed and fault_guard:
        loads.note_fault(now_ms)
        # The table has no circuit breaker; only the effect of faults on the
        # latency average is measured.
        loads.open_until_ms = 0.0
    else:
        loads.note_first_token(name, now_ms)
    loads.end_attempt(name)


def main(*, requests: int = 20_000, seed: int = 1) -> None:
    """Prints latency percentiles of each policy, and the rate of failures.

    Args:
        requests: Number of requests of each run.
        seed: Seed of the random number generator.
    """
    for name in _POLICIES:
        times, _ = simulate(name, seed, requests, False, True)
        p50, p99 = (summary.percentile(times, x) for x in (50, 99))
        print(f"{name:<16} p50 {p50:>8.1f} ms  p99 {p99:>8.1f} ms")
    for guard in (False, True):
        _, failures = simulate("peak_ewma_p2c", seed, requests, True, guard)
        failure_ratio = failures / requests
        print(
            f"peak_ewma_p2c, fast failures, guard {guard}: "
            f"{failure_ratio:.1%} failed"
        )


if __name__ == "__main__":
    cyclopts.run(main)
