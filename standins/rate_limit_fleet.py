"""Rate limits in fleets of any size, in virtual time.

Only the gossip of digests and the rate limiters run, with targets that accept
every call; standins/rate_limit_schedules.py runs whole gateways. There are many
calls; limits start, change and end; VMs restart, freeze, join and are cut off.
`python -m standins.rate_limit_fleet --vms 195 --first 1 --count 4` runs seeds.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import functools
import random
import sys

import cyclopts

from ruddergate import environment
from ruddergate.decisions import rate_limits
from ruddergate.entry import peer_gossip
from ruddergate.entry import rate_limiter
from ruddergate.entry import rate_transfers
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders
from ruddergate.telemetry import metrics
from standins import gateway_cluster
from standins import platform_replica
from standins import rate_limit_check
from standins import schedule_runner
from standins import virtual_network
from standins import virtual_process

_PORT = 83
_SETTLE_S = 3.0
_DURATION_S = 20.0
_CALLS_PER_S = 2.0
# Maximum rate of calls to limited targets in all, however large the fleet is.
_MAX_CALLS_PER_S = 120.0
_POOL = "pool"
_RATES = (0.0, 0.2, 0.25, 1.0, 1.0, 2.0, 5.0, 20.0, 50.0)
# Share of uneven calls that meet one VM, and for how long.
_UNEVEN_SHARE = 0.9
_UNEVEN_S = 4.0
_ONE_WAY_MS = (1.0, 3.0)
_WORK_MS = (20.0, 400.0)


@dataclasses.dataclass(slots=True)
class _Target:
    """A target that answers calls and announces a limit.

    Attributes:
        name: Its name.
        target: Its entry in the list of targets.
        limits: Limits that it announced, in order of time.
        order_times_s: When orders arrived; none do here.
        probe_times_s: When health probes arrived.
        calls: When calls arrived, and from which VM.
    """

    name: str
    target: targets.Target
    limits: list[platform_replica.AnnouncedLimit]
    order_times_s: list[float]
    probe_times_s: list[float]
    calls: list[tuple[float, str]]


@dataclasses.dataclass(slots=True)
class _Vm:
    """A VM.

    Attributes:
        process: Its process.
        gossip: Its gossip with peers.
        limiter: The rate limiter under test.
        transfers: Its transfers of tokens.
        env: Its clock and random numbers.
        relayed_at_s: When it first relayed an answer with a limit, by target.
    """

    process: virtual_process.VirtualProcess
    gossip: peer_gossip.PeerGossip
    limiter: rate_limiter.RateLimiter
    transfers: rate_transfers.RateTransfers
    env: environment.Environment
    relayed_at_s: dict[str, float]


class Fleet:
    """VMs and targets of one run.

    Attributes:
        network: The network between the VMs.
        vms: VMs by name.
        limited_targets: Targets by name.
        counts: Calls by outcome.
    """

    def __init__(self, size: int, halls: int, count: int, seed: int) -> None:
        self.network = virtual_network.VirtualNetwork(
            seed, virtual_network.Latency()
        )
        self.vms: dict[str, _Vm] = {}
        self.limited_targets: dict[str, _Target] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._disturbances: list[gateway_cluster.Disturbance] = []
        self._halls = halls
        self._starts: collections.Counter[str] = collections.Counter()
        self._seeds = tuple(
            environment.Address(f"vm-{n}", _PORT) for n in range(min(size, 3))
        )
        for number in range(count):
            name = f"target-{number}"
            target = targets.Target(
                name,
                _POOL,
                f"hall-{number % halls}",
                environment.Address(name, 1),
                condition.Condition.LIVE,
                8,
                0,
            )
            self.limited_targets[name] = _Target(name, target, [], [], [], [])
        for number in range(size):
            self.start(f"vm-{number}", f"hall-{number % halls}")

    def start(self, name: str, hall: str) -> None:
        """Starts or restarts a VM."""
        now_s = asyncio.get_running_loop().time()
        self._disturbances.append(
            gateway_cluster.Disturbance(name, now_s, now_s)
        )
        self._starts[name] += 1
        process = virtual_process.VirtualProcess(name, hall)
        env = self.network.make_environment(process, self._starts[name])
        listen = environment.Address(name, _PORT)
        limiter = rate_limiter.RateLimiter(
            env,
            str(listen),
            lambda now_ms: self.vms[name].gossip.loads.find_member_halls(
                now_ms
            ),
            self._find_target,
            self._find_halls,
            lambda: self.vms[name].gossip.note_change(),
            metrics.EntryMetrics(),
        )
        gossip = peer_gossip.PeerGossip(
            env,
            peer_gossip.PeerConfig(listen, self._seeds),
            hall,
            f"{name}.{self._starts[name]}",
            lambda: (),
            handle_request=lambda request: self.vms[name].transfers.answer(
                request
            ),
            summarize_rate_limits=limiter.summarize,
            merge_rate_limits=limiter.merge_gossip,
        )
        transfers = rate_transfers.RateTransfers(
            env,
            hall,
            limiter,
            gossip.rpc,
            lambda pool, arriving: rate_transfers.find_missing(
                [
                    (each, limiter.limits.count_sendable(each, env.now_ms()))
                    for each in self.limited_targets
                ],
                arriving,
            ),
            lambda target_id: self.limited_targets[target_id].target.hall,
            metrics.EntryMetrics(),
        )
        self.vms[name] = _Vm(process, gossip, limiter, transfers, env, {})
        process.start(gossip.run)
        process.start(lambda: limiter.run(self._make_probe(name)))

    def kill(self, name: str) -> None:
        """Kills a VM."""
        self.vms[name].process.kill()

    async def freeze(self, name: str, for_s: float) -> None:
        """Freezes a VM for a time."""
        from_s = asyncio.get_running_loop().time()
        process = self.vms[name].process
        process.freeze()
        await asyncio.sleep(for_s)
        process.resume()
        self._record_disturbance(name, from_s)

    async def cut(self, hall: str, for_s: float) -> None:
        """Cuts a hall off from the others for a time."""
        from_s = asyncio.get_running_loop().time()
        cut = virtual_network.Cut(hall, "")
        self.network.cuts.append(cut)
        await asyncio.sleep(for_s)
        self.network.cuts.remove(cut)
        self._record_disturbance(hall, from_s)

    def call(self, name: str) -> None:
        """Has a VM receive a call and send it to any target that may get it."""
        vm = self.vms[name]
        if not (vm.process.is_dead or vm.process.is_frozen):
            vm.process.start(lambda: self._call(vm, name))

    def find_excess(self) -> list[str]:
        """Returns windows in which VMs that knew a limit exceeded it."""
        broken: list[str] = []
        for each in self.limited_targets.values():
            counted_s = [
                at_s
                for at_s, vm in each.calls
                if self._is_bound_by_limit(each, vm, at_s)
            ]
            broken += rate_limit_check.find_replica_excess(each, counted_s)
        return broken

    async def _call(self, vm: _Vm, name: str) -> None:
        await vm.transfers.acquire(_POOL)
        now_ms = vm.env.now_ms()
        candidates = [
            limited
            for limited in self.limited_targets.values()
            if vm.limiter.limits.can_send(limited.name, now_ms)
        ]
        local = [e for e in candidates if e.target.hall == vm.process.hall]
        if not candidates:
            self.counts["refused"] += 1
            return
        limited = vm.env.random.choice(local or candidates)
        if vm.limiter.take_token(limited.target, "") is not None:
            self.counts["withheld"] += 1
            return
        self.counts["sent"] += 1
        sent_ms = vm.env.now_ms()
        rng = vm.env.random
        await asyncio.sleep(rng.uniform(*_ONE_WAY_MS) / 1_000.0)
        loop = asyncio.get_running_loop()
        limited.calls.append((loop.time(), name))
        await asyncio.sleep(rng.uniform(*_WORK_MS) / 1_000.0)
        rate_per_s = rate_limit_check.find_rate(limited.limits, loop.time())
        await asyncio.sleep(rng.uniform(*_ONE_WAY_MS) / 1_000.0)
        is_unlimited = rate_per_s == float("inf")
        if not is_unlimited:
            vm.relayed_at_s.setdefault(limited.name, loop.time())
        vm.limiter.on_hints(
            hint_types.Hints(
                incarnations.Incarnation(limited.name),
                rate_limit_per_s=None if is_unlimited else rate_per_s,
                is_unlimited=is_unlimited,
                is_call=True,
                sent_ms=sent_ms,
            )
        )

    def _make_probe(self, name: str) -> Callable:
        async def probe(target: targets.Target) -> orders.ProbeResult:
            vm = self.vms[name]
            limited = self.limited_targets[target.target_id]
            sent_ms = vm.env.now_ms()
            loop = asyncio.get_running_loop()
            limited.probe_times_s.append(loop.time())
            rate_per_s = rate_limit_check.find_rate(limited.limits, loop.time())
            await asyncio.sleep(0.002)
            is_unlimited = rate_per_s == float("inf")
            vm.limiter.on_hints(
                hint_types.Hints(
                    incarnations.Incarnation(limited.name),
                    rate_limit_per_s=None if is_unlimited else rate_per_s,
                    is_unlimited=is_unlimited,
                    sent_ms=sent_ms,
                )
            )
            return orders.ProbeResult(orders.ProbeStatus.ALIVE)

        return probe

    def _find_target(self, target_id: str) -> targets.Target | None:
        found = self.limited_targets.get(target_id)
        return found.target if found else None

    def _find_halls(self, pool: str) -> set[str]:
        return {each.target.hall for each in self.limited_targets.values()}

    def _record_disturbance(self, name: str, from_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._disturbances.append(
            gateway_cluster.Disturbance(name, from_s, now_s)
        )

    def _is_bound_by_limit(
        self, limited: _Target, name: str, at_s: float
    ) -> bool:
        vm = self.vms[name]
        since_s = vm.relayed_at_s.get(limited.name, float("inf"))
        if at_s < since_s + rate_limit_check.RELAY_S:
            return False
        names = (name, vm.process.hall)
        return not any(
            each.name in names and each.from_s < at_s and since_s < each.to_s
            for each in self._disturbances
        )


def run_schedule(
    size: int, seed: int, without: str = "", is_uneven: bool = False
) -> schedule_runner.Result:
    """Runs one schedule.

    Args:
        size: Number of VMs.
        seed: Seed of all random numbers.
        without: Mechanism that is disabled: "sharing" has each VM use the
            whole limit, "bound" has all VMs hold shares, "lending" has lenders
            keep the tokens that they transfer; empty for none.
        is_uneven: Whether most calls meet one VM, another one every few
            seconds.
    """
    saved = rate_limits.find_max_holders
    lend = rate_limits.RateLimits.lend_token
    if without == "bound":
        rate_limits.find_max_holders = lambda rate_per_s: 1_000_000
    if without == "lending":
        rate_limits.RateLimits.lend_token = _make_lend_and_keep(lend)
    try:
        return virtual_process.run(lambda: _run(size, seed, without, is_uneven))
    finally:
        rate_limits.find_max_holders = saved
        rate_limits.RateLimits.lend_token = lend


def _make_lend_and_keep(
    lend: Callable[..., bool],
) -> Callable[..., bool]:
    def lend_and_keep(
        limits: rate_limits.RateLimits, target_id: str, *args: float
    ) -> bool:
        is_lent = lend(limits, target_id, *args)
        if is_lent:
            limits.return_token(target_id)
        return is_lent

    return lend_and_keep


async def _run(
    size: int, seed: int, without: str, is_uneven: bool
) -> schedule_runner.Result:
    rng = random.Random(f"rate limit fleet {size} {seed}")
    halls = rng.choice((1, 3, 5))
    fleet = Fleet(size, halls, rng.choice((2, 6, 12)), seed)
    if without == "sharing":
        for vm in fleet.vms.values():
            vm.limiter._count_holders = lambda *_: 1
            vm.limiter.limits._count_holders = lambda *_: 1
    await asyncio.sleep(_SETTLE_S)
    jobs = [
        asyncio.ensure_future(_announce_limits(each, rng))
        for each in fleet.limited_targets.values()
    ]
    jobs += [
        asyncio.ensure_future(_inject_fault(fleet, rng, halls))
        for _ in range(4)
    ]
    rate = min(_CALLS_PER_S * size, _MAX_CALLS_PER_S)
    until_s = asyncio.get_running_loop().time() + _DURATION_S
    while asyncio.get_running_loop().time() < until_s:
        names = sorted(fleet.vms)
        if is_uneven and rng.random() < _UNEVEN_SHARE:
            turn = asyncio.get_running_loop().time() // _UNEVEN_S
            fleet.call(names[int(turn) % len(names)])
        else:
            fleet.call(rng.choice(names))
        await asyncio.sleep(rng.expovariate(rate))
    for job in jobs:
        job.cancel()
    for each in fleet.limited_targets.values():
        fleet.counts["probes"] += len(each.probe_times_s)
        fleet.counts["calls under a limit"] += sum(
            rate_limit_check.find_rate(each.limits, at_s) < float("inf")
            for at_s, _ in each.calls
        )
    fleet.counts["tokens transferred"] = sum(
        vm.transfers.received for vm in fleet.vms.values()
    )
    return schedule_runner.Result(fleet.find_excess(), fleet.counts)


async def _announce_limits(limited: _Target, rng: random.Random) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(rng.uniform(0.0, 8.0))
    while True:
        rate_per_s = rng.choice((*_RATES, float("inf")))
        limit = platform_replica.AnnouncedLimit(loop.time(), rate_per_s)
        if rate_per_s < float("inf") or limited.limits:
            limited.limits.append(limit)
        await asyncio.sleep(rng.uniform(3.0, 12.0))


async def _inject_fault(fleet: Fleet, rng: random.Random, halls: int) -> None:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    names = rng.sample(sorted(fleet.vms), -(-len(fleet.vms) // 4))
    kind = rng.randrange(4)
    if kind == 0:
        for name in names:
            hall = fleet.vms[name].process.hall
            fleet.kill(name)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
            fleet.start(name, hall)
    elif kind == 1:
        freezes = [fleet.freeze(n, rng.uniform(0.5, 9.0)) for n in names]
        await asyncio.gather(*freezes)
    elif kind == 2:
        await fleet.cut(f"hall-{rng.randrange(halls)}", 4.0)
    else:
        first = len(fleet.vms)
        for number in range(first, first + len(names)):
            fleet.start(f"vm-{number}", f"hall-{number % halls}")


def main(
    *,
    vms: int = 9,
    first: int = 1,
    count: int = 10,
    jobs: int = 1,
    without: str = "",
    uneven: bool = False,
) -> int:
    """Runs many schedules.

    Args:
        vms: Number of VMs in the fleet.
        first: First seed.
        count: Number of seeds.
        jobs: Number of seeds that run in parallel, each in a process.
        without: Mechanism that is disabled: sharing, bound or lending.
        uneven: Whether most calls meet one VM.
    """
    run = functools.partial(
        _run_seed, size=vms, without=without, is_uneven=uneven
    )
    return schedule_runner.run_all(run, first, count, jobs)


def _run_seed(
    seed: int, size: int, without: str, is_uneven: bool
) -> schedule_runner.Result:
    return run_schedule(size, seed, without, is_uneven)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
