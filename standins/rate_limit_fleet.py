"""Rate limits in fleets of any size, in virtual time.

Only the exchange of digests and the rate limiters run, with targets that answer
at once; standins/rate_limit_schedules.py plays whole gateways. Calls are many,
limits come, change and end, VMs restart, freeze, join and are cut off.
`python -m standins.rate_limit_fleet --vms 195 --first 1 --count 4` plays seeds.
"""

import asyncio
import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import random
import sys

import cyclopts
import loguru

from ruddergate import environment
from ruddergate.decisions import rate_limits
from ruddergate.entry import peer_gossip
from ruddergate.entry import rate_limiter
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders
from ruddergate.telemetry import metrics
from standins import gateway_cluster
from standins import platform_replica
from standins import rate_limit_check
from standins import virtual_network
from standins import virtual_process

_PORT = 83
_SETTLE_S = 3.0
_DURATION_S = 20.0
_CALLS_PER_S = 2.0
# Calls to limited targets are at most so many in all, however large a fleet is.
_CALLS_MOST_PER_S = 120.0
_POOL = "pool"
_RATES = (0.0, 0.2, 0.25, 1.0, 1.0, 2.0, 5.0, 20.0, 50.0)
_WAY_MS = (1.0, 3.0)
_WORK_MS = (20.0, 400.0)


@dataclasses.dataclass(slots=True)
class _Target:
    """A target that answers, and names a limit.

    Attributes:
        name: Its name.
        target: As it is listed.
        limits: Limits that it named, in order of time.
        orders_s: When orders came; none do here.
        probes_s: When probes came.
        calls: When calls came, and of which VM.
    """

    name: str
    target: targets.Target
    limits: list[platform_replica.NamedLimit]
    orders_s: list[float]
    probes_s: list[float]
    calls: list[tuple[float, str]]


@dataclasses.dataclass(slots=True)
class _Vm:
    """A VM.

    Attributes:
        process: Its process.
        exchange: Tells peers.
        limiter: What is tried out.
        env: Its clock and chance.
        passed_on_s: When it first passed on an answer with a limit, by target.
    """

    process: virtual_process.VirtualProcess
    exchange: peer_gossip.PeerGossip
    limiter: rate_limiter.RateLimiter
    env: environment.Environment
    passed_on_s: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """What came of a schedule.

    Attributes:
        broken: What went wrong, a sentence each.
        counts: Calls under a limit, served and withheld, probes.
    """

    broken: list[str]
    counts: collections.Counter[str]


class Fleet:
    """VMs and targets of one run.

    Attributes:
        vms: VMs by name.
        found: Targets by name.
        counts: Calls, by what became of them.
    """

    def __init__(self, size: int, halls: int, count: int, seed: int) -> None:
        self.network = virtual_network.VirtualNetwork(
            seed, virtual_network.Latency()
        )
        self.vms: dict[str, _Vm] = {}
        self.found: dict[str, _Target] = {}
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
            self.found[name] = _Target(name, target, [], [], [], [])
        for number in range(size):
            self.start(f"vm-{number}", f"hall-{number % halls}")

    def start(self, name: str, hall: str) -> None:
        """Starts a VM, for the first time or again."""
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
            lambda now_ms: self.vms[name].exchange.loads.find_member_halls(
                now_ms
            ),
            self._find_target,
            self._find_halls,
            lambda: self.vms[name].exchange.note_change(),
            metrics.EntryMetrics(),
        )
        exchange = peer_gossip.PeerGossip(
            env,
            peer_gossip.PeerConfig(listen, self._seeds),
            hall,
            f"{name}.{self._starts[name]}",
            lambda: (),
            summarize_rate_limits=limiter.summarize,
            merge_rate_limits=limiter.merge_gossip,
        )
        self.vms[name] = _Vm(process, exchange, limiter, env, {})
        process.start(exchange.run)
        process.start(lambda: limiter.run(self._make_probe(name)))

    def kill(self, name: str) -> None:
        """Ends a VM at once."""
        self.vms[name].process.kill()

    async def freeze(self, name: str, for_s: float) -> None:
        """Stops a VM for a time."""
        from_s = asyncio.get_running_loop().time()
        process = self.vms[name].process
        process.freeze()
        await asyncio.sleep(for_s)
        process.wake()
        self._disturb(name, from_s)

    async def cut(self, hall: str, for_s: float) -> None:
        """Cuts a hall off from the others for a time."""
        from_s = asyncio.get_running_loop().time()
        cut = virtual_network.Cut(hall, "")
        self.network.cuts.append(cut)
        await asyncio.sleep(for_s)
        self.network.cuts.remove(cut)
        self._disturb(hall, from_s)

    def call(self, name: str) -> None:
        """Has a VM get a call, which goes to any target that takes it."""
        vm = self.vms[name]
        if not (vm.process.is_dead or vm.process.is_frozen):
            vm.process.start(lambda: self._call(vm, name))

    def find_excess(self) -> list[str]:
        """Returns windows in which VMs that knew a limit sent too much."""
        broken: list[str] = []
        for each in self.found.values():
            counted_s = [
                at_s
                for at_s, vm in each.calls
                if self._is_bound(each, vm, at_s)
            ]
            broken += rate_limit_check.find_excess_of(each, counted_s)
        return broken

    async def _call(self, vm: _Vm, name: str) -> None:
        now_ms = vm.env.now_ms()
        able = [
            each
            for each in self.found.values()
            if vm.limiter.limits.can_send(each.name, now_ms)
        ]
        near = [e for e in able if e.target.hall == vm.process.hall]
        if not able:
            self.counts["refused"] += 1
            return
        each = vm.env.random.choice(near or able)
        if vm.limiter.take_token(each.target, "") is not None:
            self.counts["withheld"] += 1
            return
        self.counts["sent"] += 1
        sent_ms = vm.env.now_ms()
        chance = vm.env.random
        await asyncio.sleep(chance.uniform(*_WAY_MS) / 1_000.0)
        loop = asyncio.get_running_loop()
        each.calls.append((loop.time(), name))
        await asyncio.sleep(chance.uniform(*_WORK_MS) / 1_000.0)
        rate_per_s = rate_limit_check.find_rate(each.limits, loop.time())
        await asyncio.sleep(chance.uniform(*_WAY_MS) / 1_000.0)
        is_unlimited = rate_per_s == float("inf")
        if not is_unlimited:
            vm.passed_on_s.setdefault(each.name, loop.time())
        vm.limiter.on_hints(
            hint_types.Hints(
                incarnations.Incarnation(each.name),
                rate_limit_per_s=None if is_unlimited else rate_per_s,
                is_unlimited=is_unlimited,
                is_call=True,
                sent_ms=sent_ms,
            )
        )

    def _make_probe(self, name: str) -> Callable:
        async def probe(target: targets.Target) -> orders.ProbeResult:
            vm = self.vms[name]
            each = self.found[target.target_id]
            sent_ms = vm.env.now_ms()
            loop = asyncio.get_running_loop()
            each.probes_s.append(loop.time())
            rate_per_s = rate_limit_check.find_rate(each.limits, loop.time())
            await asyncio.sleep(0.002)
            is_unlimited = rate_per_s == float("inf")
            vm.limiter.on_hints(
                hint_types.Hints(
                    incarnations.Incarnation(each.name),
                    rate_limit_per_s=None if is_unlimited else rate_per_s,
                    is_unlimited=is_unlimited,
                    sent_ms=sent_ms,
                )
            )
            return orders.ProbeResult(orders.ProbeStatus.ALIVE)

        return probe

    def _find_target(self, target_id: str) -> targets.Target | None:
        found = self.found.get(target_id)
        return found.target if found else None

    def _find_halls(self, pool: str) -> set[str]:
        return {each.target.hall for each in self.found.values()}

    def _disturb(self, name: str, from_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._disturbances.append(
            gateway_cluster.Disturbance(name, from_s, now_s)
        )

    def _is_bound(self, each: _Target, name: str, at_s: float) -> bool:
        vm = self.vms[name]
        since_s = vm.passed_on_s.get(each.name, float("inf"))
        if at_s < since_s + rate_limit_check.PASSED_ON_S:
            return False
        names = (name, vm.process.hall)
        return not any(
            one.name in names and one.from_s < at_s and since_s < one.to_s
            for one in self._disturbances
        )


def play(size: int, seed: int, without: str = "") -> Played:
    """Plays one schedule.

    Args:
        size: VMs.
        seed: Source of all chance.
        without: Mechanism that is left out: "sharing" has each VM keep the
            whole limit, "bound" has all VMs hold parts; empty for none.
    """
    saved = rate_limits.find_max_holders
    if without == "bound":
        rate_limits.find_max_holders = lambda rate_per_s: 1_000_000
    try:
        return virtual_process.run(lambda: _play(size, seed, without))
    finally:
        rate_limits.find_max_holders = saved


async def _play(size: int, seed: int, without: str) -> Played:
    chance = random.Random(f"rate limit fleet {size} {seed}")
    halls = chance.choice((1, 3, 5))
    fleet = Fleet(size, halls, chance.choice((2, 6, 12)), seed)
    if without == "sharing":
        for vm in fleet.vms.values():
            vm.limiter._count_holders = lambda *_: 1
            vm.limiter.limits._count_holders = lambda *_: 1
    await asyncio.sleep(_SETTLE_S)
    jobs = [
        asyncio.ensure_future(_name_limits(each, chance))
        for each in fleet.found.values()
    ]
    jobs += [
        asyncio.ensure_future(_trouble(fleet, chance, halls)) for _ in range(4)
    ]
    rate = min(_CALLS_PER_S * size, _CALLS_MOST_PER_S)
    until_s = asyncio.get_running_loop().time() + _DURATION_S
    while asyncio.get_running_loop().time() < until_s:
        fleet.call(chance.choice(sorted(fleet.vms)))
        await asyncio.sleep(chance.expovariate(rate))
    for job in jobs:
        job.cancel()
    for each in fleet.found.values():
        fleet.counts["probes"] += len(each.probes_s)
        fleet.counts["calls under a limit"] += sum(
            rate_limit_check.find_rate(each.limits, at_s) < float("inf")
            for at_s, _ in each.calls
        )
    return Played(fleet.find_excess(), fleet.counts)


async def _name_limits(each: _Target, chance: random.Random) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(chance.uniform(0.0, 8.0))
    while True:
        rate_per_s = chance.choice((*_RATES, float("inf")))
        limit = platform_replica.NamedLimit(loop.time(), rate_per_s)
        if rate_per_s < float("inf") or each.limits:
            each.limits.append(limit)
        await asyncio.sleep(chance.uniform(3.0, 12.0))


async def _trouble(fleet: Fleet, chance: random.Random, halls: int) -> None:
    await asyncio.sleep(chance.uniform(0.0, _DURATION_S))
    names = chance.sample(sorted(fleet.vms), -(-len(fleet.vms) // 4))
    kind = chance.randrange(4)
    if kind == 0:
        for name in names:
            hall = fleet.vms[name].process.hall
            fleet.kill(name)
            await asyncio.sleep(chance.uniform(0.0, 0.2))
            fleet.start(name, hall)
    elif kind == 1:
        freezes = [fleet.freeze(n, chance.uniform(0.5, 9.0)) for n in names]
        await asyncio.gather(*freezes)
    elif kind == 2:
        await fleet.cut(f"hall-{chance.randrange(halls)}", 4.0)
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
) -> int:
    """Plays many schedules.

    Args:
        vms: VMs of the fleet.
        first: First seed.
        count: Number of seeds.
        jobs: Seeds that are played at once, each by a process.
        without: Mechanism that is left out: sharing or bound.
    """
    counts: collections.Counter[str] = collections.Counter()
    failed = 0
    seeds = range(first, first + count)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        all_played = pool.map(
            _play_silently, [vms] * count, seeds, [without] * count
        )
        for seed, played in zip(seeds, all_played, strict=True):
            failed += bool(played.broken)
            counts += played.counts
            for each in played.broken[:3]:
                print(f"seed {seed}: {each}", flush=True)
    for name, number in sorted(counts.items()):
        print(f"{name}: {number}")
    print(f"{vms} VMs: {count - failed} passed, {failed} failed")
    return 1 if failed else 0


def _play_silently(size: int, seed: int, without: str) -> Played:
    loguru.logger.remove()
    return play(size, seed, without)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
