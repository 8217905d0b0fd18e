"""Random schedules with poison requests, which crash the engines that run them.

`python -m standins.fatal_schedules --first 1 --count 100` runs many. Poison
requests are sent repeatedly to any VM, among other calls and faults of VMs, the
store, halls and targets, some of which restart under the same names. It prints
the seeds in which a poison request was sent on for too long, another request
was refused as if it were one, or a guarantee was violated.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import platform_replica
from standins import schedule_runner
from standins import virtual_process

_POISON_BODIES = (b"fatal 0", b"fatal 1")
_CALLS = 80
_POISON_CALLS = 8
_FAULTS = 6
_DURATION_S = 20.0
# After so many crashes, VMs in touch must know the request.
_CRASHES = 3
# A caller retries once, after this time.
_RETRY_S = 0.3
# A VM that ran undisturbed for this long knows what the others know.
GOSSIP_S = 3.0
# A poison request crashes its engine within this time after it began to run.
CRASH_S = 0.3
# Runs that are tolerated after that: as many as a restarted fleet needs to
# detect the request again.
MAX_LATE_RUNS = 3


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
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
) -> schedule_runner.Result:
    cluster = gateway_cluster.GatewayCluster(layout)
    cluster.poison_bodies.update(_POISON_BODIES)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    faults = [
        asyncio.ensure_future(_inject_fault(cluster, rng))
        for _ in range(_FAULTS)
    ]
    calls = [_call_later(cluster, caller, rng, n) for n in range(_CALLS)]
    poison = [
        _send_poison_later(cluster, caller, rng, body, n)
        for body in _POISON_BODIES
        for n in range(_POISON_CALLS)
    ]
    results = await asyncio.gather(*calls)
    attempts = [each for one in await asyncio.gather(*poison) for each in one]
    for fault in faults:
        fault.cancel()
    # Reservations for the last calls must expire by themselves.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, [*results, *attempts])
    broken += find_wrongly_refused(results)
    for body in _POISON_BODIES:
        runs = cluster.list_runs(body)
        broken += find_late_runs(
            cluster, body.decode(), runs, _CRASHES, attempts
        )
    return schedule_runner.Result(
        broken, {}, gateway_schedules.count_statuses(results)
    )


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


async def _send_poison_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    body: bytes,
    number: int,
) -> list[gateway_caller.CallResult]:
    """Sends a poison request, and retries it once after it has failed."""
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    results = []
    for attempt in range(2):
        call = gateway_caller.Call(
            request_id=f"{body.decode()} {number} {attempt}",
            route="short",
            vm=rng.choice(sorted(cluster.vms)),
            prompt_tokens=5_000,
            output_tokens=400,
            body=body,
        )
        results.append(await caller.send(call))
        await asyncio.sleep(_RETRY_S)
    return results


async def _inject_fault(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    kinds = (
        *gateway_schedules.FAULT_KINDS,
        crash_target,
        _write_malformed_entry,
    )
    await rng.choice(kinds)(cluster, rng)


async def crash_target(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    """Crashes a random target."""
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    if not node.process.is_dead:
        cluster.crash_target(node)


async def _write_malformed_entry(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    malformed = rng.choice((b"\xff", b"[]", b'{"state":"gone"}'))
    cluster.store.put_bytes(f"servers/{node.replica.name}", malformed)


def find_wrongly_refused(
    results: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns a violation for each harmless request that was refused."""
    return [
        f"{each.call.request_id} was refused, but is no poison request"
        for each in results
        if b"quarantined" in each.body
    ]


def find_late_runs(
    cluster: gateway_cluster.GatewayCluster,
    name: str,
    runs: Sequence[platform_replica.Run],
    crashes: int,
    attempts: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns a violation if poison requests were sent for too long.

    Args:
        cluster: The cluster.
        name: What they have in common.
        runs: Their runs, in order of time.
        crashes: After this many, VMs in touch must know them.
        attempts: Results of all poison requests.
    """
    if len(runs) < crashes:
        return []
    vms = {each.call.request_id: each.call.vm for each in attempts}
    known_s = runs[crashes - 1].at_s + CRASH_S + GOSSIP_S
    late_runs = [
        run
        for run in runs
        if run.at_s > known_s
        and gateway_schedules.ran_undisturbed(
            cluster, vms[run.request_id], run.at_s - GOSSIP_S, run.at_s
        )
    ]
    if len(late_runs) <= MAX_LATE_RUNS:
        return []
    return [f"{name} was sent {len(late_runs)} times too late"]


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
