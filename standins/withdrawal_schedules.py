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
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import faulty_peer
from standins import platform_replica
from standins import schedule_runner
from standins import virtual_process
from standins import drain_coverage

_CALLS = 160
_DURATION_S = 20.0
_FAULTS = 4
_WITHDRAWALS = 5
_OUTAGES = 2
_LIES = 1
# A VM that lies tells its words again after this time.
_LIE_EVERY_S = 0.4
# A VM that has passed on that a target leaves sends it no calls that come later
# than this.
LEAVE_S = 2.0
# What was on its way when a target refused is borne for so long.
UNDER_WAY_S = 0.5
# Calls of a VM that a target bears within a time in which it wants none.
QUIET_MOST = 2
_TIMES = ("0.3", "1", "2.5", "6", "-1", "soon", "1e9")


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """What came of a schedule.

    Attributes:
        broken: What went wrong, a sentence each.
        statuses: How often callers got each status.
        counts: How often each way to know of a leaving was taken.
    """

    broken: list[str]
    statuses: dict[int, int]
    counts: collections.Counter[str]


def play(seed: int) -> Played:
    """Plays one schedule."""
    chance = random.Random(f"withdrawals {seed}")
    layout = gateway_cluster.Layout(
        vms=chance.choice((1, 3, 6, 9)),
        halls=chance.choice((1, 3)),
        engines=chance.choice((3, 6, 12)),
        services=chance.choice((1, 3, 6)),
        seed=seed,
        is_strict=chance.random() < 0.3,
        reuses_names=chance.random() < 0.5,
    )
    return virtual_process.run(lambda: _play(layout, chance))


async def _play(
    layout: gateway_cluster.Layout, chance: random.Random
) -> Played:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    ways: collections.Counter[str] = collections.Counter()
    kinds = (
        *[gateway_schedules.play_fault] * _FAULTS,
        *[functools.partial(_withdraw_target, ways)] * _WITHDRAWALS,
        *[_trouble_store] * _OUTAGES,
        *[functools.partial(_lie, ways)] * _LIES,
    )
    faults = [
        asyncio.ensure_future(_begin_later(kind, cluster, chance))
        for kind in kinds
    ]
    calls = [_call_later(cluster, caller, chance, n) for n in range(_CALLS)]
    got = await asyncio.gather(*calls)
    for fault in faults:
        fault.cancel()
    # What was set aside for the last calls must lapse by itself.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, got)
    broken += find_calls_after_leaving(cluster, got)
    broken += find_calls_in_quiet(cluster, got)
    await _rest(cluster)
    broken += drain_coverage.find_wrongly_withdrawn(cluster)
    ways += drain_coverage.count_ways(cluster.all_gateways)
    return Played(broken, gateway_schedules.count_statuses(got), ways)


async def _rest(cluster: gateway_cluster.GatewayCluster) -> None:
    """Ends all trouble, and lets VMs find out what is so."""
    cluster.store.failure = ""
    cluster.network.cuts.clear()
    for node in (*cluster.vms.values(), *cluster.targets.values()):
        if node.process.is_frozen:
            node.process.wake()
    await asyncio.sleep(drain_coverage.REST_S)


async def _begin_later(kind, cluster, chance) -> None:  # noqa: ANN001
    await asyncio.sleep(chance.uniform(0.0, _DURATION_S))
    await kind(cluster, chance)


async def _call_later(
    cluster: gateway_cluster.GatewayCluster,
    caller: gateway_caller.Caller,
    chance: random.Random,
    number: int,
) -> gateway_caller.CallResult:
    call = gateway_schedules.make_call(chance, cluster, number)
    if chance.random() < 0.3:
        call = dataclasses.replace(
            call, route="open", prompt_tokens=0, output_tokens=0
        )
    await asyncio.sleep(chance.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _trouble_store(
    cluster: gateway_cluster.GatewayCluster, chance: random.Random
) -> None:
    await gateway_schedules.trouble_store(cluster, chance, 3.0, 9.0)


async def _withdraw_target(
    ways: collections.Counter[str],
    cluster: gateway_cluster.GatewayCluster,
    chance: random.Random,
) -> None:
    node = cluster.targets[chance.choice(sorted(cluster.targets))]
    if node.process.is_dead:
        return
    if chance.random() < 0.4:
        await _shed(node.replica, chance)
        return
    if chance.random() < 0.3:
        ways[drain_coverage.BACK_UNLISTED] += 1
        cluster.kill(node)
        cluster.start_target(node)
    # The list is told late, or not at all, as while the store is away.
    replica = node.replica
    word = chance.choice(("1", "1", "1", "true", ""))
    if not replica.has_announced_draining:
        # A target that has said it does not unsay it.
        replica.draining_hint = word
    await asyncio.sleep(chance.uniform(0.5, 8.0))
    if not replica.started_ms and chance.random() < 0.3:
        ways[drain_coverage.START_LATE] += 1
        replica.started_ms = round(asyncio.get_running_loop().time() * 1_000.0)
        await asyncio.sleep(chance.uniform(0.5, 8.0))
    if node.process.is_dead or node.replica is not replica:
        return
    cluster.kill(node)
    cluster.unlist_target(node)
    await asyncio.sleep(chance.uniform(0.2, 2.0))
    if node.process.is_dead:
        cluster.start_target(node)


async def _lie(
    ways: collections.Counter[str],
    cluster: gateway_cluster.GatewayCluster,
    chance: random.Random,
) -> None:
    """Has a peer tell of some targets, again and again, that they leave."""
    ways[drain_coverage.LIED] += 1
    names = chance.sample(sorted(cluster.targets), 2)
    replicas = [cluster.targets[name].replica for name in names]
    lives_told = [lives.Life(each.name, each.born_ms) for each in replicas]
    words = tuple(map(lives.format_life, lives_told))
    for number in range(1, chance.randrange(2, 20)):
        await faulty_peer.tell_leaving(cluster, number, words)
        await asyncio.sleep(_LIE_EVERY_S)


async def _shed(
    replica: platform_replica.PlatformReplica, chance: random.Random
) -> None:
    replica.faults.retry_after = chance.choice(_TIMES)
    replica.faults.refuse = chance.uniform(0.3, 1.0)
    await asyncio.sleep(chance.uniform(1.0, 6.0))
    replica.faults.refuse = 0.0


def find_calls_after_leaving(
    cluster: gateway_cluster.GatewayCluster, got: Iterable[gateway_caller.CallResult]
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
            is_late = call.sent_s > since_s + LEAVE_S
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
    cluster: gateway_cluster.GatewayCluster, got: Iterable[gateway_caller.CallResult]
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


def find_calls_in_quiet(
    cluster: gateway_cluster.GatewayCluster, got: Iterable[gateway_caller.CallResult]
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
                and told.at_s + UNDER_WAY_S < each.at_s < until_s
                and gateway_schedules.ran_undisturbed(
                    cluster, vm, told.at_s, each.at_s
                )
            ]
            if len(within) > QUIET_MOST:
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
    return schedule_runner.play_all(play, first, count, jobs)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
