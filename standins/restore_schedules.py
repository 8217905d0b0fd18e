"""Random schedules in which the store is restored from older copies.

`python -m standins.restore_schedules --first 1 --count 100` plays many. Targets
leave, are removed and start on both sides of a restore, settings change and
keys are removed, among faults of VMs, halls and targets; some VMs can't reach
the store. It prints the seeds in which a promise was broken.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import sys

import cyclopts

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import platform_store
from standins import restore_checks
from standins import schedule_runner
from standins import virtual_network
from standins import virtual_process

_CALLS = 200
_DURATION_S = 24.0
_FAULTS = 3
_RESTORES = 2
_LEAVINGS = 3
_SETTINGS = 3
_CUTS = 2
# A copy is taken so often; a restore takes one of the last _COPIES.
_COPY_EVERY_S = 1.0
_COPIES = 10
# What the store has lost is written again within this time after a restore.
_REWRITE_S = 0.8
# The key that is removed in some schedules, and the one that stays.
REMOVED_KEY = "removed-key"

_Fault = Callable[["Schedule"], Awaitable[None]]


class Schedule:
    """One run.

    Attributes:
        cluster: What is played on.
        chance: Source of all chance.
        record: What happened, for the checks.
        copies: Copies of the store, the oldest first.
        is_removed: Whether the key that may go has gone.
    """

    def __init__(
        self, cluster: gateway_cluster.GatewayCluster, rng: random.Random
    ) -> None:
        self.cluster = cluster
        self.rng = rng
        self.record = restore_checks.Record(cluster)
        self.copies: list[platform_store.Snapshot] = []
        self.is_removed = False

    def choose_target(self) -> gateway_cluster.Node | None:
        """Returns a target that serves and has not left, if there is one."""
        staying = [
            node
            for name, node in sorted(self.cluster.targets.items())
            if node.state == "ready" and not node.process.is_dead
        ]
        # One of each kind stays, so that calls can be served.
        kinds = [node.name.split("-")[0] for node in staying]
        able = [
            node
            for node, kind in zip(staying, kinds, strict=True)
            if kinds.count(kind) > 1
        ]
        return self.rng.choice(able) if able else None


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleResult:
    """What came of a schedule.

    Attributes:
        broken: What went wrong, a sentence each.
        statuses: How often callers got each status.
        counts: What it brought about.
    """

    broken: list[str]
    statuses: dict[int, int]
    counts: dict[str, int]


def run_schedule(seed: int) -> ScheduleResult:
    """Plays one schedule."""
    rng = random.Random(f"restores {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((2, 3, 6, 9)),
        halls=rng.choice((1, 1, 2, 3)),
        engines=rng.choice((3, 6)),
        services=rng.choice((3, 6)),
        seed=seed,
        reuses_names=rng.random() < 0.5,
        epoch=rng.choice(("1", "41")),
    )
    return virtual_process.run(lambda: _run(layout, rng))


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random
) -> ScheduleResult:
    cluster = gateway_cluster.GatewayCluster(layout)
    cluster.keys["w2"] = [REMOVED_KEY]
    await cluster.start()
    schedule = Schedule(cluster, rng)
    background = [
        asyncio.ensure_future(schedule.record.sample()),
        asyncio.ensure_future(_take_copies(schedule)),
    ]
    kinds: tuple[_Fault, ...] = (
        *[_inject_fault] * _FAULTS,
        *[_restore] * _RESTORES,
        *[_leave] * _LEAVINGS,
        *[_change_settings] * _SETTINGS,
        *[_cut_from_store] * _CUTS,
    )
    faults = [
        asyncio.ensure_future(_begin_later(schedule, kind)) for kind in kinds
    ]
    caller = gateway_caller.Caller(cluster)
    calls = [_call_later(schedule, caller, number) for number in range(_CALLS)]
    got = await asyncio.gather(*calls)
    for task in (*faults, *background):
        task.cancel()
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, got)
    broken += schedule.record.find_broken(got)
    await _settle(cluster)
    broken += restore_checks.find_unlisted(cluster)
    return ScheduleResult(
        broken,
        gateway_schedules.count_statuses(got),
        schedule.record.count(),
    )


async def _settle(cluster: gateway_cluster.GatewayCluster) -> None:
    """Ends all trouble, and lets VMs find out what is so."""
    cluster.store.failure = ""
    cluster.network.cuts.clear()
    for node in (*cluster.vms.values(), *cluster.targets.values()):
        if node.process.is_frozen:
            node.process.resume()
    await asyncio.sleep(restore_checks.SETTLE_S)


async def _begin_later(schedule: Schedule, kind: _Fault) -> None:
    await asyncio.sleep(schedule.rng.uniform(0.0, _DURATION_S))
    await kind(schedule)


async def _call_later(
    schedule: Schedule, caller: gateway_caller.Caller, number: int
) -> gateway_caller.CallResult:
    rng = schedule.rng
    call = gateway_schedules.make_call(rng, schedule.cluster, number)
    if rng.random() < 0.5:
        route = rng.choice(("open", "unsafe", "safe"))
        call = dataclasses.replace(
            call,
            route=route,
            prompt_tokens=0,
            output_tokens=0,
            time_limit_ms=2_000.0,
        )
    if rng.random() < 0.3:
        call = dataclasses.replace(call, key=REMOVED_KEY)
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _take_copies(schedule: Schedule) -> None:
    while True:
        schedule.copies.append(schedule.cluster.store.take_snapshot())
        del schedule.copies[:-_COPIES]
        await asyncio.sleep(_COPY_EVERY_S)


async def _inject_fault(schedule: Schedule) -> None:
    await gateway_schedules.inject_fault(schedule.cluster, schedule.rng)


async def _restore(schedule: Schedule) -> None:
    """Has the store go back, at times after a while of answering nobody."""
    rng, store = schedule.rng, schedule.cluster.store
    copy = rng.choice(schedule.copies)
    away_s = rng.choice((0.0, 0.0, 0.4, 1.5, 4.0))
    if away_s:
        with gateway_schedules.record_disturbance(
            schedule.cluster, gateway_cluster.STORE_NAME
        ):
            store.failure = rng.choice(("busy", "reset", "silent"))
            await asyncio.sleep(away_s)
            store.failure = ""
    store.restore(copy)
    # No copy of what was lost is left.
    schedule.copies = [copy]
    schedule.record.note_restored()
    await asyncio.sleep(rng.uniform(0.0, _REWRITE_S))
    cluster = schedule.cluster
    cluster.rewrite_settings()
    for node in cluster.targets.values():
        if node.state == gateway_cluster.UNLISTED:
            cluster.unlist_target(node)
    schedule.record.note_rewritten()
    if rng.random() < 0.7:
        # Revisions are below those of before the restore for a while.
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        await _leave(schedule)


async def _leave(schedule: Schedule) -> None:
    """Has a target leave, with or without a word, and starts another."""
    node = schedule.choose_target()
    if node is None:
        return
    cluster, rng = schedule.cluster, schedule.rng
    replica = node.replica
    if rng.random() < 0.5:
        cluster.drain_target(node)
    else:
        cluster.stop_listing(node)
    schedule.record.note_leaving(replica)
    await asyncio.sleep(rng.uniform(3.0, 10.0))
    if node.replica is not replica:
        return
    if not node.process.is_dead:
        cluster.kill(node)
    node.state = gateway_cluster.UNLISTED
    cluster.unlist_target(node)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    if node.replica is replica:
        cluster.start_target(node)


async def _change_settings(schedule: Schedule) -> None:
    cluster = schedule.cluster
    if schedule.rng.random() < 0.4 and not schedule.is_removed:
        schedule.is_removed = True
        cluster.keys.pop("w2")
        schedule.record.note_removed_key()
    cluster.publish()


async def _cut_from_store(schedule: Schedule) -> None:
    """Keeps some VMs from the store for a while."""
    cluster, rng = schedule.cluster, schedule.rng
    names = sorted(cluster.vms)
    chosen = rng.sample(names, rng.randint(1, len(names)))
    cuts = [
        virtual_network.Cut(name, gateway_cluster.STORE_NAME) for name in chosen
    ]
    cluster.network.cuts.extend(cuts)
    began_s = asyncio.get_running_loop().time()
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    ended_s = asyncio.get_running_loop().time()
    for cut in cuts:
        if cut in cluster.network.cuts:
            cluster.network.cuts.remove(cut)
    cluster.disturbances.extend(
        gateway_cluster.Disturbance(name, began_s, ended_s) for name in chosen
    )


def main(*, first: int = 1, count: int = 20, jobs: int = 1) -> int:
    """Plays many schedules.

    Args:
        first: First seed.
        count: Number of seeds.
        jobs: Seeds that are played at once, each by a process.
    """
    return schedule_runner.run_all(run_schedule, first, count, jobs)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
