"""Checks, by what came to replicas, that a rate limit was kept.

All windows of 4 s count. Orders and probes count as requests, too.
"""

import bisect
from collections.abc import Iterable

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_schedules
from standins import platform_replica

WINDOW_S = 4.0
# A limit binds so long after it was first named.
ENFORCEMENT_S = 3.0
# A VM is bound by an answer that it passed on at least so long before.
RELAY_S = 0.5
# Requests that a window may have: so many times those of the limit, and these.
FACTOR = 1.5
SLACK = 5.0


def find_excess(
    cluster: gateway_cluster.GatewayCluster,
    all_got: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns windows in which VMs that knew a limit sent more than it allows.

    Restarts, freezes and cuts of a VM excuse it.
    """
    by_id = {each.call.request_id: each for each in all_got}
    broken: list[str] = []
    for replica in cluster.all_replicas:
        relayed_at_s = _find_relayed(replica, by_id)
        counted_s = [
            each.at_s
            for each in replica.arrivals
            if _is_bound(cluster, by_id[each.request_id], each, relayed_at_s)
        ]
        broken += find_replica_excess(replica, counted_s)
    return broken


def find_replica_excess(
    replica: platform_replica.PlatformReplica, counted_s: Iterable[float]
) -> list[str]:
    """Returns windows with more requests than a replica's limit allows.

    Args:
        replica: One incarnation of a replica.
        counted_s: When calls came that count; its orders and probes do.
    """
    if not replica.limits:
        return []
    binds_s = replica.limits[0].at_s + ENFORCEMENT_S
    at_s = sorted([*counted_s, *replica.order_times_s, *replica.probe_times_s])
    broken: list[str] = []
    for index, begin_s in enumerate(at_s):
        if begin_s < binds_s:
            continue
        end = bisect.bisect_left(at_s, begin_s + WINDOW_S)
        allowed = _find_allowed(replica.limits, begin_s)
        if end - index > allowed:
            broken.append(
                f"{replica.name} got {end - index} requests in "
                f"{WINDOW_S:.0f} s from {begin_s:.3f} s on; "
                f"allowed {allowed:.1f}"
            )
    return broken


def find_rate(
    limits: list[platform_replica.AnnouncedLimit], at_s: float
) -> float:
    """Returns the limit in force at a time; infinity for none."""
    named = [each.rate_per_s for each in limits if each.at_s <= at_s]
    return named[-1] if named else float("inf")


def _find_allowed(
    limits: list[platform_replica.AnnouncedLimit], begin_s: float
) -> float:
    """Returns what a window may have.

    A limit that has just been lowered binds after the same time as one that is
    named for the first time, so the highest one of that time counts.
    """
    since_s = begin_s - ENFORCEMENT_S
    end_s = begin_s + WINDOW_S
    rates = [find_rate(limits, since_s)]
    rates += [each.rate_per_s for each in limits if since_s < each.at_s < end_s]
    return FACTOR * WINDOW_S * max(rates) + SLACK


def _find_relayed(
    replica: platform_replica.PlatformReplica,
    by_id: dict[str, gateway_caller.CallResult],
) -> dict[str, float]:
    """Returns when each VM first passed on an answer that named a limit."""
    relayed_at_s: dict[str, float] = {}
    for request_id in replica.limit_answer_times_s:
        got = by_id.get(request_id)
        if got is None or "server-limit" not in got.headers:
            continue
        at_s = got.sent_s + (got.first_ms or got.took_ms) / 1_000.0
        vm = got.call.vm
        relayed_at_s[vm] = min(at_s, relayed_at_s.get(vm, float("inf")))
    return relayed_at_s


def _is_bound(
    cluster: gateway_cluster.GatewayCluster,
    got: gateway_caller.CallResult,
    arrival: platform_replica.Arrival,
    relayed_at_s: dict[str, float],
) -> bool:
    vm = got.call.vm
    since_s = relayed_at_s.get(vm, float("inf"))
    return arrival.at_s >= since_s + RELAY_S and (
        gateway_schedules.ran_undisturbed(cluster, vm, since_s, arrival.at_s)
    )
