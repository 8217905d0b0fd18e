"""Random schedules in which targets announce rate limits.

`python -m standins.rate_limit_schedules --first 1 --count 100` runs many. The
limits start, change and end, some are 0 or malformed, while VMs restart,
freeze, join or are cut off. It prints the seeds in which a target got more
requests than its limit allows, or another guarantee was violated.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import random

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import rate_limit_check
from standins import schedule_runner
from standins import virtual_process

_DURATION_S = 18.0
_CALLS_PER_S = 28
_FAULTS = 4
_LIMITS = 5
_JOINS = 1
_RATES = (
    "0",
    "0.2",
    "0.25",
    "1",
    "1",
    "1",
    "2",
    "5",
    "20",
    "50",
    "1e9",
    "1, 3",
)
# Malformed values: they neither set a limit nor end one.
_MALFORMED_RATES = ("-1", "nan", "many")
_ROUTES = ("short", "short", "short", "once", "open", "open", "safe")


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    rng = random.Random(f"rate limits {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((2, 3, 6, 9)),
        halls=rng.choice((1, 3)),
        engines=rng.choice((3, 6, 9)),
        services=rng.choice((1, 3, 6)),
        seed=seed,
        is_strict=rng.random() < 0.3,
        reuses_names=rng.random() < 0.5,
    )
    return virtual_process.run(lambda: _run(layout, rng))


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random
) -> schedule_runner.Result:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    kinds = (
        *[gateway_schedules.inject_fault] * _FAULTS,
        *[_announce_limits] * _LIMITS,
        *[_join_vm] * _JOINS,
    )
    faults = [
        asyncio.ensure_future(_inject_later(kind, cluster, rng))
        for kind in kinds
    ]
    calls = [
        _call_later(cluster, caller, rng, number)
        for number in range(round(_CALLS_PER_S * _DURATION_S))
    ]
    results = await asyncio.gather(*calls)
    for fault in faults:
        fault.cancel()
    # Reservations for the last calls must expire by themselves.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, results)
    broken += rate_limit_check.find_excess(cluster, results)
    return schedule_runner.Result(broken, _count(cluster, results))


async def _inject_later(kind, cluster, rng) -> None:  # noqa: ANN001
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S * 0.7))
    await kind(cluster, rng)


async def _call_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    number: int,
) -> gateway_caller.CallResult:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    call = gateway_schedules.make_call(rng, cluster, number)
    if rng.random() < 0.9:
        route = rng.choice(_ROUTES)
        is_prompt = route in ("short", "once")
        call = dataclasses.replace(
            call,
            route=route,
            prompt_tokens=rng.randrange(500, 9_000) if is_prompt else 0,
            output_tokens=rng.randrange(50, 900) if is_prompt else 0,
        )
    return await caller.send(call)


async def _announce_limits(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    """Has some targets announce limits in turn, and often none in the end."""
    count = rng.choice((1, 1, 2, 4))
    names = rng.sample(
        sorted(cluster.targets), min(count, len(cluster.targets))
    )
    await asyncio.gather(
        *(_announce_limit(cluster.targets[name], rng) for name in names)
    )


async def _announce_limit(
    node: gateway_cluster.Node, rng: random.Random
) -> None:
    replica = node.replica
    for _ in range(rng.choice((1, 1, 2))):
        replica.announce_limit(rng.choice(_RATES))
        await asyncio.sleep(rng.uniform(3.0, 10.0))
    if rng.random() < 0.2:
        limit = replica.rate_limit
        replica.rate_limit = rng.choice(_MALFORMED_RATES)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        if replica.rate_limit in _MALFORMED_RATES:
            replica.rate_limit = limit
    if rng.random() < 0.6:
        replica.announce_limit("")


async def _join_vm(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    number = len(cluster.vms)
    hall = f"hall-{rng.randrange(cluster.layout.halls)}"
    process = virtual_process.VirtualProcess("", "")
    node = gateway_cluster.Node(f"vm-{number}", hall, process)
    cluster.start_vm(node)
    await asyncio.sleep(1.0)
    cluster.vms[node.name] = node


def _count(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for each in results:
        counts[f"status {each.status}"] += 1
    for replica in cluster.all_replicas:
        counts["limits announced"] += len(replica.limits)
        counts["answers that announced a limit"] += len(
            replica.limit_answer_times_s
        )
        counts["calls under a limit"] += sum(
            rate_limit_check.find_rate(replica.limits, each.at_s) < float("inf")
            for each in replica.arrivals
        )
        counts["probes and orders under a limit"] += sum(
            rate_limit_check.find_rate(replica.limits, at_s) < float("inf")
            for at_s in (*replica.order_times_s, *replica.probe_times_s)
        )
    return counts


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
