"""Random schedules in which targets leave, or want no calls for a while.

`python -m standins.withdrawal_schedules --first 1 --count 100` plays many,
among faults of VMs, halls, targets and, more often than elsewhere, of the
store, so that answers are often the only way to know. It prints the seeds in
which a VM sent calls to a target that had told it not to, or a promise was
broken.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import functools
import random
import sys

import cyclopts

from ruddergate.fleet import life as lives
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
# A VM that lies tells its words again after this time.
_FALSE_GOSSIP_INTERVAL_S = 0.4
# A VM that has passed on that a target leaves sends it no calls that come later
# than this.
DRAIN_GRACE_S = 2.0
# What was on its way when a target refused is borne for so long.
IN_FLIGHT_S = 0.5
# Calls of a VM that a target bears within a time in which it wants none.
MAX_BACKOFF_CALLS = 2
_TIMES = ("0.3", "1", "2.5", "6", "-1", "soon", "1e9")


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleResult:
    """What came of a schedule.

    Attributes:
        broken: What went wrong, a sentence each.
        statuses: How often callers got each status.
        counts: How often each way to know of a leaving was taken.
    """

    broken: list[str]
    statuses: dict[int, int]
    counts: collections.Counter[str]


def run_schedule(seed: int) -> ScheduleResult:
    """Plays one schedule."""
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
) -> ScheduleResult:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    ways: collections.Counter[str] = collections.Counter()
    kinds = (
        *[gateway_schedules.inject_fault] * _FAULTS,
        *[functools.partial(_drain_target, ways)] * _DRAINS,
        *[_fail_store] * _OUTAGES,
        *[functools.partial(_send_false_gossip, ways)] * _FALSE_GOSSIPS,
    )
    faults = [
        asyncio.ensure_future(_begin_later(kind, cluster, rng))
        for kind in kinds
    ]
    calls = [_call_later(cluster, caller, rng, n) for n in range(_CALLS)]
    got = await asyncio.gather(*calls)
    for fault in faults:
        fault.cancel()
    # What was set aside for the last calls must lapse by itself.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, got)
    broken += find_calls_after_drain(cluster, got)
    broken += find_calls_during_backoff(cluster, got)
    await _settle(cluster)
    broken += drain_coverage.find_wrongly_draining(cluster)
    ways += drain_coverage.count_events_seen(cluster.all_gateways)
    return ScheduleResult(broken, gateway_schedules.count_statuses(got), ways)


async def _settle(cluster: gateway_cluster.GatewayCluster) -> None:
    """Ends all trouble, and lets VMs find out what is so."""
    cluster.store.failure = ""
    cluster.network.cuts.clear()
    for node in (*cluster.vms.values(), *cluster.targets.values()):
        if node.process.is_frozen:
            node.process.resume()
    await asyncio.sleep(drain_coverage.SETTLE_S)


async def _begin_later(kind, cluster, rng) -> None:  # noqa: ANN001
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
    ways: collections.Counter[str],
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
        ways[drain_coverage.RESTARTED_UNLISTED] += 1
        cluster.kill(node)
        cluster.start_target(node)
    # The list is told late, or not at all, as while the store is away.
    replica = node.replica
    word = rng.choice(("1", "1", "1", "true", ""))
    if not replica.has_announced_draining:
        # A target that has said it does not unsay it.
        replica.draining_hint = word
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    if not replica.started_ms and rng.random() < 0.3:
        ways[drain_coverage.LATE_START_FIELD] += 1
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
    ways: collections.Counter[str],
    cluster: gateway_cluster.GatewayCluster,
    rng: random.Random,
) -> None:
    """Has a peer tell of some targets, again and again, that they leave."""
    ways[drain_coverage.FALSE_GOSSIP] += 1
    names = rng.sample(sorted(cluster.targets), 2)
    replicas = [cluster.targets[name].replica for name in names]
    lives_told = [lives.Life(each.name, each.started_ms) for each in replicas]
    words = tuple(map(lives.format_life, lives_told))
    for number in range(1, rng.randrange(2, 20)):
        await faulty_peer.announce_draining(cluster, number, words)
        await asyncio.sleep(_FALSE_GOSSIP_INTERVAL_S)


async def _shed_load(
    replica: platform_replica.PlatformReplica, rng: random.Random
) -> None:
    replica.faults.retry_after = rng.choice(_TIMES)
    replica.faults.refuse = rng.uniform(0.3, 1.0)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    replica.faults.refuse = 0.0


def find_calls_after_drain(
    cluster: gateway_cluster.GatewayCluster,
    got: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns calls that a VM sent to a target that had told it to leave."""
    by_id = {each.call.request_id: each for each in got}
    heads = _find_heads(cluster, by_id.values())
    broken: list[str] = []
    for replica in cluster.all_replicas:
        told_s = _find_told(replica, heads, by_id.values())
        for arrival in replica.arrivals:
            call = by_id[arrival.request_id]
            vm = call.call.vm
            since_s = told_s.get(vm, float("inf"))
            is_late = call.sent_s > since_s + DRAIN_GRACE_S
            if is_late and gateway_schedules.ran_undisturbed(
                cluster, vm, since_s, arrival.at_s
            ):
                late_ms = round((arrival.at_s - since_s) * 1_000.0)
                broken.append(
                    f"{arrival.request_id} reached {replica.name} {late_ms} ms "
                    f"after {vm} had passed on that it leaves"
                )
    return broken


def _find_heads(
    cluster: gateway_cluster.GatewayCluster,
    got: Iterable[gateway_caller.CallResult],
) -> dict[str, platform_replica.PlatformReplica]:
    """Returns whose head each caller got, of those that say of leaving.

    A call may have been sent to others before, and its stream may have gone on
    elsewhere. The signature names the replica; the life is the one that ran it.
    """
    heads: dict[str, platform_replica.PlatformReplica] = {}
    for each in got:
        if each.headers.get("server-leaving") != "1":
            continue
        request_id = each.call.request_id
        signature = each.headers.get("x-replica-signature", "")
        for replica in cluster.all_replicas:
            is_named = signature == f"{replica.name}.{request_id}"
            ran = any(run.request_id == request_id for run in replica.runs)
            if is_named and ran:
                heads.setdefault(request_id, replica)
    return heads


def _find_told(
    replica: platform_replica.PlatformReplica,
    heads: dict[str, platform_replica.PlatformReplica],
    got: Iterable[gateway_caller.CallResult],
) -> dict[str, float]:
    """Returns when each VM first passed on that a replica leaves.

    Args:
        replica: One life of a replica.
        heads: Whose head the callers of each call got, see `_find_heads`.
        got: What callers got.
    """
    told_s: dict[str, float] = {}
    for each in got:
        if heads.get(each.call.request_id) is not replica:
            continue
        at_s = each.sent_s + (each.first_ms or each.took_ms) / 1_000.0
        vm = each.call.vm
        told_s[vm] = min(at_s, told_s.get(vm, float("inf")))
    return told_s


def find_calls_during_backoff(
    cluster: gateway_cluster.GatewayCluster,
    got: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns where a VM sent too much within a time that was told it."""
    vms = {each.call.request_id: each.call.vm for each in got}
    broken: list[str] = []
    for replica in cluster.all_replicas:
        for told in replica.arrivals:
            vm = vms[told.request_id]
            until_s = told.at_s + told.backoff_s
            within = [
                each
                for each in replica.arrivals
                if vms[each.request_id] == vm
                and told.at_s + IN_FLIGHT_S < each.at_s < until_s
                and gateway_schedules.ran_undisturbed(
                    cluster, vm, told.at_s, each.at_s
                )
            ]
            if len(within) > MAX_BACKOFF_CALLS:
                broken.append(
                    f"{vm} sent {replica.name} {len(within)} calls within "
                    f"{told.backoff_s} s for which it wanted none"
                )
    return broken


def main(*, first: int = 1, count: int = 20, jobs: int = 1) -> int:
    """Plays many schedules, and counts the ways that they took.

    Args:
        first: First seed.
        count: Number of seeds.
        jobs: Seeds that are played at once, each by a process.
    """
    return schedule_runner.run_all(run_schedule, first, count, jobs)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
