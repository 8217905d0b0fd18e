"""Random schedules in which the store has more changes than a response holds.

`python -m standins.backlog_schedules --first 1 --count 100` runs many. Settings
change in quick succession; right after that a key or a target is removed, a
target drains, the store is away or restored, or a VM is suspended. The store
also loses some of its answers, leaves changes out of others, or rejects a hall.
It prints the seeds in which a guarantee was violated.
"""

import asyncio
import random

from standins import gateway_cluster
from standins import gateway_schedules
from standins import restore_schedules
from standins import schedule_runner
from standins import virtual_network
from standins import virtual_process

_FAULTS = 2
_STORMS = 4
_DRAINS = 2
_SETTINGS = 2
_PARTIAL_FAILURES = 2


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    rng = random.Random(f"backlogs {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((1, 2, 3, 4, 9)),
        halls=rng.choice((1, 1, 2, 3)),
        engines=3,
        services=rng.choice((3, 6)),
        seed=seed,
        reuses_names=rng.random() < 0.5,
        epoch=rng.choice(("1", "41")),
    )
    partial_failures = rng.choices(
        (_lose_answers, _delay_watches, _cut_hall_from_store),
        k=_PARTIAL_FAILURES,
    )
    kinds = (
        _limit_responses,
        *[restore_schedules.inject_fault] * _FAULTS,
        *[_publish_storm] * _STORMS,
        *[restore_schedules.drain_target] * _DRAINS,
        *[restore_schedules.change_settings] * _SETTINGS,
        restore_schedules.cut_from_store,
        *partial_failures,
    )
    return virtual_process.run(
        lambda: restore_schedules.run_kinds(layout, rng, kinds)
    )


async def _limit_responses(schedule: restore_schedules.Schedule) -> None:
    """Draws how much the store's responses hold, and how long they take."""
    rng, store = schedule.rng, schedule.cluster.store
    store.watch_events_max = rng.choice((1, 1, 2, 5))
    store.response_delay_s = rng.choice((0.0, 0.004, 0.05))


async def _publish_storm(schedule: restore_schedules.Schedule) -> None:
    """Publishes many changes in quick succession, and then something else."""
    rng, cluster = schedule.rng, schedule.cluster
    if cluster.store.watch_events_max is None:
        await _limit_responses(schedule)
    gap_s = rng.choice((0.01, 0.03, 0.06))
    for _ in range(rng.choice((8, 25, 60))):
        cluster.publish()
        await asyncio.sleep(gap_s)
    follow_up = rng.choice(
        (
            restore_schedules.change_settings,
            restore_schedules.change_settings,
            restore_schedules.drain_target,
            restore_schedules.drain_target,
            restore_schedules.inject_fault,
            restore_schedules.restore,
            _fail_store,
        )
    )
    await follow_up(schedule)


async def _lose_answers(schedule: restore_schedules.Schedule) -> None:
    """Loses a part of the store's answers, which must delay nothing."""
    store = schedule.cluster.store
    store.loses_answers = True
    await asyncio.sleep(schedule.rng.uniform(0.5, 6.0))
    store.loses_answers = False


async def _delay_watches(schedule: restore_schedules.Schedule) -> None:
    """Leaves the last changes out of responses that should have them."""
    store = schedule.cluster.store
    store.watch_revision_max = store.revision
    await asyncio.sleep(schedule.rng.uniform(0.2, 4.0))
    store.watch_revision_max = None


async def _cut_hall_from_store(schedule: restore_schedules.Schedule) -> None:
    """Cuts all VMs of a hall off from the store, as if it rejected them."""
    rng, cluster = schedule.rng, schedule.cluster
    hall = rng.choice(sorted({node.hall for node in cluster.vms.values()}))
    cut = virtual_network.Cut(hall, gateway_cluster.STORE_NAME)
    cluster.network.cuts.append(cut)
    with gateway_schedules.record_disturbance(cluster, hall):
        await asyncio.sleep(rng.uniform(0.5, 8.0))
    if cut in cluster.network.cuts:
        cluster.network.cuts.remove(cut)


async def _fail_store(schedule: restore_schedules.Schedule) -> None:
    await gateway_schedules.fail_store(schedule.cluster, schedule.rng, 2.0, 5.0)


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
