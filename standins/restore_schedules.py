"""Random schedules in which the store is restored from snapshots.

`python -m standins.restore_schedules --first 1 --count 100` runs many. Targets
drain, are removed and start before and after a restore, settings change and
keys are removed, among faults of VMs, halls and targets; some VMs can't reach
the store. It prints the seeds in which a guarantee was violated.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import random
from typing import TypeAlias

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
_DRAINS = 3
_SETTINGS = 3
_CUTS = 2
# Interval between snapshots; a restore uses one of the last _SNAPSHOTS.
_SNAPSHOT_INTERVAL_S = 1.0
_SNAPSHOTS = 10
# Lost changes are written again within this time after a restore.
_REWRITE_MAX_S = 0.8
# The key that is removed in some schedules; gateway_cluster.KEY stays.
REMOVED_KEY = gateway_cluster.REMOVED_KEY

Fault: TypeAlias = Callable[["Schedule"], Awaitable[None]]


class Schedule:
    """One run.

    Attributes:
        cluster: The cluster of the run.
        rng: Random number generator of the schedule.
        record: Events of the run, for the checks.
        snapshots: Snapshots of the store, the oldest first.
        is_key_removed: Whether REMOVED_KEY is removed.
    """

    def __init__(
        self, cluster: gateway_cluster.GatewayCluster, rng: random.Random
    ) -> None:
        self.cluster = cluster
        self.rng = rng
        self.record = restore_checks.Record(cluster)
        self.snapshots: list[platform_store.Snapshot] = []
        self.is_key_removed = False

    def choose_target(self) -> gateway_cluster.Node | None:
        """Returns a ready target that may be drained, if there is one."""
        ready = [
            node
            for name, node in sorted(self.cluster.targets.items())
            if node.state == "ready" and not node.process.is_dead
        ]
        # At least one target of each kind stays, so that calls can be served.
        kinds = [node.name.split("-")[0] for node in ready]
        candidates = [
            node
            for node, kind in zip(ready, kinds, strict=True)
            if kinds.count(kind) > 1
        ]
        return self.rng.choice(candidates) if candidates else None


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
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
    kinds = (
        *[inject_fault] * _FAULTS,
        *[restore] * _RESTORES,
        *[drain_target] * _DRAINS,
        *[change_settings] * _SETTINGS,
        *[cut_from_store] * _CUTS,
    )
    return virtual_process.run(lambda: run_kinds(layout, rng, kinds))


async def run_kinds(
    layout: gateway_cluster.Layout,
    rng: random.Random,
    kinds: Sequence[Fault],
) -> schedule_runner.Result:
    """Runs calls beside events of the given kinds, at random times."""
    cluster = gateway_cluster.GatewayCluster(layout)
    cluster.keys["w2"] = [REMOVED_KEY]
    await cluster.start()
    schedule = Schedule(cluster, rng)
    background = [
        asyncio.ensure_future(schedule.record.sample()),
        asyncio.ensure_future(_take_snapshots(schedule)),
    ]
    faults = [
        asyncio.ensure_future(_inject_later(schedule, kind)) for kind in kinds
    ]
    caller = gateway_caller.Caller(cluster)
    calls = [_call_later(schedule, caller, number) for number in range(_CALLS)]
    results = await asyncio.gather(*calls)
    for task in (*faults, *background):
        task.cancel()
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, results)
    broken += schedule.record.find_broken(results)
    await _settle(cluster)
    broken += restore_checks.find_unlisted(cluster)
    return schedule_runner.Result(
        broken,
        schedule.record.count(),
        gateway_schedules.count_statuses(results),
    )


async def _settle(cluster: gateway_cluster.GatewayCluster) -> None:
    """Ends all faults, and waits until VMs know the current state."""
    cluster.store.failure = ""
    cluster.network.cuts.clear()
    for node in (*cluster.vms.values(), *cluster.targets.values()):
        if node.process.is_frozen:
            node.process.resume()
    await asyncio.sleep(restore_checks.SETTLE_S)


async def _inject_later(schedule: Schedule, kind: Fault) -> None:
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


async def _take_snapshots(schedule: Schedule) -> None:
    while True:
        schedule.snapshots.append(schedule.cluster.store.take_snapshot())
        del schedule.snapshots[:-_SNAPSHOTS]
        await asyncio.sleep(_SNAPSHOT_INTERVAL_S)


async def inject_fault(schedule: Schedule) -> None:
    """Injects a fault of a VM, a hall, a target or the store."""
    await gateway_schedules.inject_fault(schedule.cluster, schedule.rng)


async def restore(schedule: Schedule) -> None:
    """Restores the store from a snapshot, at times after an outage of it."""
    rng, store = schedule.rng, schedule.cluster.store
    snapshot = rng.choice(schedule.snapshots)
    outage_s = rng.choice((0.0, 0.0, 0.4, 1.5, 4.0))
    if outage_s:
        with gateway_schedules.record_disturbance(
            schedule.cluster, gateway_cluster.STORE_NAME
        ):
            store.failure = rng.choice(("busy", "reset", "silent"))
            await asyncio.sleep(outage_s)
            store.failure = ""
    store.restore(snapshot)
    # Later snapshots are lost, too.
    schedule.snapshots = [snapshot]
    schedule.record.record_restore()
    await asyncio.sleep(rng.uniform(0.0, _REWRITE_MAX_S))
    cluster = schedule.cluster
    cluster.rewrite_settings()
    for node in cluster.targets.values():
        if node.state == gateway_cluster.UNLISTED:
            cluster.unlist_target(node)
    schedule.record.record_rewrite()
    if rng.random() < 0.7:
        # Revisions stay below those from before the restore for some time.
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        await drain_target(schedule)


async def drain_target(schedule: Schedule) -> None:
    """Drains a target or removes its entry, then restarts the target."""
    node = schedule.choose_target()
    if node is None:
        return
    cluster, rng = schedule.cluster, schedule.rng
    replica = node.replica
    if rng.random() < 0.5:
        cluster.drain_target(node)
    else:
        cluster.stop_listing(node)
    schedule.record.record_drain(replica)
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


async def change_settings(schedule: Schedule) -> None:
    """Publishes settings, at times without the removed key."""
    cluster = schedule.cluster
    if schedule.rng.random() < 0.4 and not schedule.is_key_removed:
        schedule.is_key_removed = True
        cluster.keys.pop("w2")
        schedule.record.record_key_removal()
    cluster.publish()


async def cut_from_store(schedule: Schedule) -> None:
    """Cuts some VMs off from the store for 0.5 to 6 s."""
    cluster, rng = schedule.cluster, schedule.rng
    names = sorted(cluster.vms)
    chosen = rng.sample(names, rng.randint(1, len(names)))
    cuts = [
        virtual_network.Cut(name, gateway_cluster.STORE_NAME) for name in chosen
    ]
    cluster.network.cuts.extend(cuts)
    with contextlib.ExitStack() as stack:
        # Also if the run ends before the cut does.
        for name in chosen:
            stack.enter_context(
                gateway_schedules.record_disturbance(cluster, name)
            )
        await asyncio.sleep(rng.uniform(0.5, 6.0))
    for cut in cuts:
        if cut in cluster.network.cuts:
            cluster.network.cuts.remove(cut)


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
