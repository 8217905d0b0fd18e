"""Random schedules in which targets drain, or ask callers to back off.

`python -m standins.withdrawal_schedules --first 1 --count 100` runs many, among
faults of VMs, halls, targets and the store. The store fails more often than in
other schedules, so that hints in answers are often the only source. It prints
the seeds in which a VM sent calls to a target that had told it not to, or a
guarantee was violated.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import functools
import random

from ruddergate.fleet import incarnation as incarnations
from standins import drain_coverage
from standins import faulty_peer
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import platform_replica
from standins import schedule_runner
from standins import virtual_process

_CALLS = 160
_DURATION_S = 20.0
_FAULTS = 4
_DRAINS = 5
_OUTAGES = 2
_FALSE_GOSSIPS = 1
# A faulty peer repeats its false gossip after this time.
_FALSE_GOSSIP_INTERVAL_S = 0.4
# After a VM has relayed the draining hint of a target, no calls of it reach the
# target later than this, whenever it received them.
DRAIN_GRACE_S = 2.0
# Requests in flight when a target refused are tolerated for this time.
IN_FLIGHT_S = 0.5
# Calls of a VM that are tolerated within a target's backoff time.
MAX_BACKOFF_CALLS = 2
_RETRY_AFTER_VALUES = ("0.3", "1", "2.5", "6", "-1", "soon", "1e9")


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    rng = random.Random(f"withdrawals {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((1, 3, 6, 9)),
        halls=rng.choice((1, 3)),
        engines=rng.choice((3, 6, 12)),
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
    counts: collections.Counter[str] = collections.Counter()
    kinds = (
        *[gateway_schedules.inject_fault] * _FAULTS,
        *[functools.partial(_drain_target, counts)] * _DRAINS,
        *[_fail_store] * _OUTAGES,
        *[functools.partial(_send_false_gossip, counts)] * _FALSE_GOSSIPS,
    )
    faults = [
        asyncio.ensure_future(_inject_later(kind, cluster, rng))
        for kind in kinds
    ]
    calls = [_call_later(cluster, caller, rng, n) for n in range(_CALLS)]
    results = await asyncio.gather(*calls)
    for fault in faults:
        fault.cancel()
    # Reservations for the last calls must expire by themselves.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, results)
    broken += find_calls_after_drain(cluster, results)
    broken += find_calls_during_backoff(cluster, results)
    await _settle(cluster)
    broken += drain_coverage.find_wrongly_draining(cluster)
    counts += drain_coverage.count_coverage(cluster.all_gateways)
    return schedule_runner.Result(
        broken, counts, gateway_schedules.count_statuses(results)
    )


async def _settle(cluster: gateway_cluster.GatewayCluster) -> None:
    """Ends all faults, and waits until VMs know the current state."""
    cluster.store.failure = ""
    cluster.network.cuts.clear()
    for node in (*cluster.vms.values(), *cluster.targets.values()):
        if node.process.is_frozen:
            node.process.resume()
    await asyncio.sleep(drain_coverage.SETTLE_S)


async def _inject_later(kind, cluster, rng) -> None:  # noqa: ANN001
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    await kind(cluster, rng)


async def _call_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    rng: random.Random,
    number: int,
) -> gateway_caller.CallResult:
    call = gateway_schedules.make_call(rng, cluster, number)
    if rng.random() < 0.3:
        call = dataclasses.replace(
            call, route="open", prompt_tokens=0, output_tokens=0
        )
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _fail_store(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await gateway_schedules.fail_store(cluster, rng, 3.0, 9.0)


async def _drain_target(
    counts: collections.Counter[str],
    cluster: gateway_cluster.GatewayCluster,
    rng: random.Random,
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    if node.process.is_dead:
        return
    if rng.random() < 0.4:
        await _shed_load(node.replica, rng)
        return
    if rng.random() < 0.3:
        counts[drain_coverage.RESTARTED_UNLISTED] += 1
        cluster.kill(node)
        cluster.start_target(node)
    # The store learns of it late, or not at all, as in an outage of the store.
    replica = node.replica
    hint = rng.choice(("1", "1", "1", "true", ""))
    if not replica.has_announced_draining:
        # A target that has announced draining never takes it back.
        replica.draining_hint = hint
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    if not replica.started_ms and rng.random() < 0.3:
        counts[drain_coverage.LATE_START_FIELD] += 1
        replica.started_ms = round(asyncio.get_running_loop().time() * 1_000.0)
        await asyncio.sleep(rng.uniform(0.5, 8.0))
    if node.process.is_dead or node.replica is not replica:
        return
    cluster.kill(node)
    cluster.unlist_target(node)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    if node.process.is_dead:
        cluster.start_target(node)


async def _send_false_gossip(
    counts: collections.Counter[str],
    cluster: gateway_cluster.GatewayCluster,
    rng: random.Random,
) -> None:
    """Has a faulty peer gossip repeatedly that some targets are draining."""
    counts[drain_coverage.FALSE_GOSSIP] += 1
    names = rng.sample(sorted(cluster.targets), 2)
    replicas = [cluster.targets[name].replica for name in names]
    draining = [
        incarnations.Incarnation(each.name, each.started_ms)
        for each in replicas
    ]
    formatted = tuple(map(incarnations.format_incarnation, draining))
    for number in range(1, rng.randrange(2, 20)):
        await faulty_peer.announce_draining(cluster, number, formatted)
        await asyncio.sleep(_FALSE_GOSSIP_INTERVAL_S)


async def _shed_load(
    replica: platform_replica.PlatformReplica, rng: random.Random
) -> None:
    replica.faults.retry_after = rng.choice(_RETRY_AFTER_VALUES)
    replica.faults.refuse = rng.uniform(0.3, 1.0)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    replica.faults.refuse = 0.0


def find_calls_after_drain(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns calls that a VM sent to a target after relaying its hint."""
    by_id = {each.call.request_id: each for each in results}
    hinting = _find_hinting_replicas(cluster, by_id.values())
    broken: list[str] = []
    for replica in cluster.all_replicas:
        relayed_at_s = _find_relayed(replica, hinting, by_id.values())
        for arrival in replica.arrivals:
            vm = by_id[arrival.request_id].call.vm
            since_s = relayed_at_s.get(vm, float("inf"))
            is_late = arrival.at_s > since_s + DRAIN_GRACE_S
            if is_late and gateway_schedules.ran_undisturbed(
                cluster, vm, since_s, arrival.at_s
            ):
                late_ms = round((arrival.at_s - since_s) * 1_000.0)
                broken.append(
                    f"{arrival.request_id} reached {replica.name} {late_ms} ms "
                    f"after {vm} had relayed its draining hint"
                )
    return broken


def _find_hinting_replicas(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> dict[str, platform_replica.PlatformReplica]:
    """Returns the replica behind each answer whose head has a draining hint.

    A call may have been sent to other replicas before, and its stream may have
    been resumed on another one. The signature names the replica; its
    incarnation is the one that ran the call.
    """
    hinting: dict[str, platform_replica.PlatformReplica] = {}
    for each in results:
        if each.headers.get("server-leaving") != "1":
            continue
        request_id = each.call.request_id
        signature = each.headers.get("x-replica-signature", "")
        for replica in cluster.all_replicas:
            is_named = signature == f"{replica.name}.{request_id}"
            ran = any(run.request_id == request_id for run in replica.runs)
            if is_named and ran:
                hinting.setdefault(request_id, replica)
    return hinting


def _find_relayed(
    replica: platform_replica.PlatformReplica,
    hinting: dict[str, platform_replica.PlatformReplica],
    results: Iterable[gateway_caller.CallResult],
) -> dict[str, float]:
    """Returns when each VM first relayed the draining hint of a replica.

    Args:
        replica: One incarnation of a replica.
        hinting: Replica behind the answer to each call; see
            `_find_hinting_replicas`.
        results: What callers received.
    """
    relayed_at_s: dict[str, float] = {}
    for each in results:
        if hinting.get(each.call.request_id) is not replica:
            continue
        at_s = each.sent_s + (each.first_ms or each.took_ms) / 1_000.0
        vm = each.call.vm
        relayed_at_s[vm] = min(at_s, relayed_at_s.get(vm, float("inf")))
    return relayed_at_s


def find_calls_during_backoff(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns where a VM sent too many calls within a backoff time."""
    vms = {each.call.request_id: each.call.vm for each in results}
    broken: list[str] = []
    for replica in cluster.all_replicas:
        for arrival in replica.arrivals:
            vm = vms[arrival.request_id]
            until_s = arrival.at_s + arrival.backoff_s
            within = [
                each
                for each in replica.arrivals
                if vms[each.request_id] == vm
                and arrival.at_s + IN_FLIGHT_S < each.at_s < until_s
                and gateway_schedules.ran_undisturbed(
                    cluster, vm, arrival.at_s, each.at_s
                )
            ]
            if len(within) > MAX_BACKOFF_CALLS:
                broken.append(
                    f"{vm} sent {replica.name} {len(within)} calls within "
                    f"its backoff time of {arrival.backoff_s} s"
                )
    return broken


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
