"""Random schedules with parts of prompts that crash engines.

`python -m standins.poison_part_schedules --first 1 --count 100` runs many.
Requests with such a part, no two alike, are sent to any VM, evenly or in
bursts, among other requests and faults of VMs, the store, halls and targets.
The part stands first or later, alone or beside a companion; it may have been
harmless before; it may crash its engine after the first event. It prints the
seeds in which too many such requests reached engines, another request was
refused as if it were one, or a guarantee was violated.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import random

from standins import fatal_schedules
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import platform_replica
from standins import schedule_runner
from standins import virtual_process

_SOUND_CALLS = 260
_POISON_CALLS = 40
_FAULTS = 4
_DURATION_S = 22.0
_WARM_UP_S = 6.0
_RETRY_S = 0.3
_BURST_SIZE = 5
_BURST_S = 0.05
# After so many crashes, VMs in touch must know the part.
_CRASHES = 5
# From twice GOSSIP_S on, harmless requests begin to be answered at least this
# often, against before. Fewer than the sample are not compared.
_MIN_SHARE = 0.5
_MIN_SAMPLE = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Poison:
    """A part of prompts that crashes engines.

    Attributes:
        part: Its name.
        parts: The shared parts of the prompts that hold it, in order.
        from_s: When it begins to crash engines, from the start of the calls.
        is_bursty: Whether requests with it come in bursts.
        prompt_tokens: Length of the prompts.
    """

    part: str
    parts: tuple[str, ...]
    from_s: float
    is_bursty: bool
    prompt_tokens: int


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    rng = random.Random(f"poison part {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((2, 4, 6, 9, 20)),
        halls=rng.choice((1, 3)),
        engines=rng.choice((9, 12, 18)),
        seed=seed,
        reuses_names=rng.random() < 0.5,
    )
    return virtual_process.run(lambda: _run(layout, rng))


def _draw_poison(rng: random.Random, number: int) -> Poison:
    part = f"poison-{number}"
    others = rng.choice((["system"], ["system", "companion"], ["system", "d1"]))
    parts = [*others]
    parts.insert(rng.randrange(len(parts) + 1), part)
    has_turned = rng.random() < 0.3
    return Poison(
        part,
        tuple(parts),
        _WARM_UP_S + (rng.uniform(2.0, 8.0) if has_turned else 0.0),
        rng.random() < 0.4,
        rng.choice((2_000, 5_000, 5_000, 45_000)),
    )


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random
) -> schedule_runner.Result:
    cluster = gateway_cluster.GatewayCluster(layout)
    cluster.poison_delay_s = rng.choice((None, None, 0.03, 0.1))
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    poisons = [_draw_poison(rng, n) for n in range(rng.choice((1, 1, 2)))]
    faults = [
        asyncio.ensure_future(_inject_fault(cluster, rng))
        for _ in range(rng.randrange(_FAULTS + 1))
    ]
    began_s = asyncio.get_running_loop().time()
    for each in poisons:
        asyncio.get_running_loop().call_later(
            each.from_s, cluster.poison_parts.add, each.part
        )
    sound = [_send_sound(cluster, caller, rng, n) for n in range(_SOUND_CALLS)]
    tries = [
        _send_poison(cluster, caller, rng, each, number, delay_s)
        for each in poisons
        for number, delay_s in enumerate(_draw_delays_s(rng, each))
    ]
    results = await asyncio.gather(*sound)
    attempts = [each for one in await asyncio.gather(*tries) for each in one]
    for fault in faults:
        fault.cancel()
    # Reservations for the last calls must expire by themselves.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, [*results, *attempts])
    broken += fatal_schedules.find_wrongly_refused(results)
    for each in poisons:
        runs = [
            run
            for run in cluster.list_runs_with_part(each.part)
            if run.at_s >= began_s + each.from_s
        ]
        broken += fatal_schedules.find_late_runs(
            cluster, each.part, runs, _CRASHES, attempts
        )
        broken += _find_lost_share(cluster, runs, attempts, results)
    return schedule_runner.Result(
        broken, {}, gateway_schedules.count_statuses(results)
    )


def _draw_delays_s(rng: random.Random, poison: Poison) -> list[float]:
    """Returns when requests with a part are sent."""
    if not poison.is_bursty:
        return [
            rng.uniform(_WARM_UP_S, _DURATION_S) for _ in range(_POISON_CALLS)
        ]
    begins_s = [
        rng.uniform(_WARM_UP_S, _DURATION_S)
        for _ in range(_POISON_CALLS // _BURST_SIZE)
    ]
    return [
        begin_s + rng.uniform(0.0, _BURST_S)
        for begin_s in begins_s
        for _ in range(_BURST_SIZE)
    ]


async def _send_sound(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    number: int,
) -> gateway_caller.CallResult:
    call = gateway_schedules.make_call(rng, cluster, number)
    call = dataclasses.replace(
        call,
        body=b"call %d" % number,
        parts=("system", rng.choice(("d1", "d2", "d3"))),
    )
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _send_poison(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    poison: Poison,
    number: int,
    delay_s: float,
) -> list[gateway_caller.CallResult]:
    """Sends a request with the part, and retries it once after it failed."""
    await asyncio.sleep(delay_s)
    results: list[gateway_caller.CallResult] = []
    for attempt in range(2):
        call = gateway_caller.Call(
            request_id=f"{poison.part} {number} {attempt}",
            route="short",
            vm=rng.choice(sorted(cluster.vms)),
            prompt_tokens=poison.prompt_tokens,
            output_tokens=400,
            body=b"%s %d" % (poison.part.encode(), number),
            parts=poison.parts,
        )
        results.append(await caller.send(call))
        if results[-1].status == 200 and results[-1].is_complete:
            break
        await asyncio.sleep(_RETRY_S)
    return results


async def _inject_fault(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    kinds = (*gateway_schedules.FAULT_KINDS, fatal_schedules.crash_target)
    await rng.choice(kinds)(cluster, rng)


def _find_lost_share(
    cluster: gateway_cluster.GatewayCluster,
    runs: Sequence[platform_replica.Run],
    attempts: Sequence[gateway_caller.CallResult],
    results: Sequence[gateway_caller.CallResult],
) -> list[str]:
    """Returns a violation if harmless requests begin much less often.

    Args:
        cluster: The cluster.
        runs: Runs of requests with a part, in order of time.
        attempts: Results of all requests with one.
        results: Results of requests without one.
    """
    if not runs:
        return []
    known_s = runs[:_CRASHES][-1].at_s + 2.0 * fatal_schedules.GOSSIP_S
    before = _list_begun(cluster, results, 0.0, runs[0].at_s)
    last_s = max(each.sent_s for each in attempts)
    after = _list_begun(cluster, results, known_s, last_s)
    if min(len(before), len(after)) < _MIN_SAMPLE:
        return []
    before_share = sum(before) / len(before)
    after_share = sum(after) / len(after)
    if after_share >= _MIN_SHARE * before_share:
        return []
    return [
        f"{after_share:.2f} of harmless requests begin, "
        f"{before_share:.2f} did before"
    ]


def _list_begun(
    cluster: gateway_cluster.GatewayCluster,
    results: Sequence[gateway_caller.CallResult],
    from_s: float,
    to_s: float,
) -> list[bool]:
    """Returns for each stream at a VM in touch whether it began."""
    return [
        each.status == 200
        for each in results
        if each.call.prompt_tokens
        and from_s <= each.sent_s < to_s
        and gateway_schedules.ran_undisturbed(
            cluster,
            each.call.vm,
            each.sent_s - fatal_schedules.GOSSIP_S,
            each.sent_s + each.took_ms / 1000.0,
        )
    ]


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
