"""Random schedules in which some calls end the engines that run them.

`python -m standins.fatal_schedules --first 1 --count 100` plays many: fatal
contents come again and again at any VM, among other calls and faults of VMs,
the store, halls and targets, some of which start again under their names. It
prints the seeds in which a fatal content was sent on for too long, another one
was refused for it, or a promise was broken.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import random
import sys

import cyclopts

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import virtual_process

_FATAL = (b"fatal 0", b"fatal 1")
_CALLS = 80
_TRIES = 8
_FAULTS = 6
_DURATION_S = 20.0
# A caller comes back once, after this time.
_RETRY_S = 0.3
# A VM that was undisturbed for so long knows what the others know.
GOSSIP_S = 3.0
# A run begins so long before the end that it brings about, at most.
_END_S = 0.3
# Sends that are borne after that: as many as a fleet that starts anew needs.
MAX_LATE_RUNS = 3


def run_schedule(seed: int) -> tuple[list[str], dict[int, int]]:
    """Plays one schedule; returns what went wrong and counts of statuses."""
    rng = random.Random(f"fatal {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((2, 4, 6, 9, 20)),
        halls=rng.choice((1, 3)),
        engines=rng.choice((6, 12, 18)),
        seed=seed,
        reuses_names=rng.random() < 0.5,
    )
    return virtual_process.run(lambda: _run(layout, rng))


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random
) -> tuple[list[str], dict[int, int]]:
    cluster = gateway_cluster.GatewayCluster(layout)
    cluster.poison_bodies.update(_FATAL)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    faults = [
        asyncio.ensure_future(_inject_fault(cluster, rng))
        for _ in range(_FAULTS)
    ]
    calls = [_call_later(cluster, caller, rng, n) for n in range(_CALLS)]
    fatal = [
        _try_later(cluster, caller, rng, body, n)
        for body in _FATAL
        for n in range(_TRIES)
    ]
    got = await asyncio.gather(*calls)
    tries = [each for one in await asyncio.gather(*fatal) for each in one]
    for fault in faults:
        fault.cancel()
    # What was set aside for the last calls must lapse by itself.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, [*got, *tries])
    broken += _find_blamed(got)
    for body in _FATAL:
        broken += _find_late(cluster, body, tries)
    return broken, gateway_schedules.count_statuses(got)


async def _call_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    number: int,
) -> gateway_caller.CallResult:
    call = gateway_schedules.make_call(rng, cluster, number)
    call = dataclasses.replace(call, body=b"call %d" % number)
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _try_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    body: bytes,
    number: int,
) -> list[gateway_caller.CallResult]:
    """Sends a fatal call, and once more after it has failed."""
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    got = []
    for attempt in range(2):
        call = gateway_caller.Call(
            request_id=f"{body.decode()} {number} {attempt}",
            route="short",
            vm=rng.choice(sorted(cluster.vms)),
            prompt_tokens=5_000,
            output_tokens=400,
            body=body,
        )
        got.append(await caller.send(call))
        await asyncio.sleep(_RETRY_S)
    return got


async def _inject_fault(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    kinds = (*gateway_schedules.FAULT_KINDS, _crash_target, _write_nonsense)
    await rng.choice(kinds)(cluster, rng)


async def _crash_target(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    if not node.process.is_dead:
        cluster.crash_target(node)


async def _write_nonsense(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    nonsense = rng.choice((b"\xff", b"[]", b'{"state":"gone"}'))
    cluster.store.put_bytes(f"servers/{node.replica.name}", nonsense)


def _find_blamed(got: Iterable[gateway_caller.CallResult]) -> list[str]:
    return [
        f"{each.call.request_id} is refused for what others did"
        for each in got
        if b"quarantined" in each.body
    ]


def _find_late(
    cluster: gateway_cluster.GatewayCluster,
    body: bytes,
    tries: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns whether a fatal content was sent for too long."""
    vms = {each.call.request_id: each.call.vm for each in tries}
    runs = cluster.list_runs(body)
    if len(runs) < 3:
        return []
    known_s = runs[2].at_s + _END_S + GOSSIP_S
    late = [
        run
        for run in runs
        if run.at_s > known_s
        and gateway_schedules.ran_undisturbed(
            cluster, vms[run.request_id], run.at_s - GOSSIP_S, run.at_s
        )
    ]
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [f"{body.decode()} was sent {len(late)} times too late"]


def main(*, first: int = 1, count: int = 20) -> int:
    """Plays many schedules.

    Args:
        first: First seed.
        count: Number of seeds.
    """
    return gateway_schedules.run_seeds(
        run_schedule, range(first, first + count)
    )


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
