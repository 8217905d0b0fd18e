"""Checks from the requests that reached replicas that rate limits were kept.

Every window of 4 s is checked. Orders and probes count as requests, too.
"""

import bisect
from collections.abc import Iterable

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_schedules
from standins import platform_replica

WINDOW_S = 4.0
# A limit is enforced this long after it was first announced.
ENFORCEMENT_S = 3.0
# A VM is bound by an answer that it relayed at least this long before.
RELAY_S = 0.5
# Maximum requests in a window: FACTOR times those of the limit, plus SLACK.
FACTOR = 1.5
SLACK = 5.0


def find_excess(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns windows in which VMs that knew a limit sent more than it allows.

    Calls of a VM that was restarted, frozen or cut off meanwhile don't count.
    """
    by_id = {each.call.request_id: each for each in results}
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
        counted_s: When the calls that count arrived. Its orders and probes all
            count.
    """
    if not replica.limits:
        return []
    enforced_from_s = replica.limits[0].at_s + ENFORCEMENT_S
    at_s = sorted([*counted_s, *replica.order_times_s, *replica.probe_times_s])
    broken: list[str] = []
    for index, start_s in enumerate(at_s):
        if start_s < enforced_from_s:
            continue
        end = bisect.bisect_left(at_s, start_s + WINDOW_S)
        requests_max = _find_requests_max(replica.limits, start_s)
        if end - index > requests_max:
            broken.append(
                f"{replica.name} received {end - index} requests in "
                f"{WINDOW_S:.0f} s from {start_s:.3f} s on; "
                f"allowed {requests_max:.1f}"
            )
    return broken


def find_rate(
    limits: list[platform_replica.AnnouncedLimit], at_s: float
) -> float:
    """Returns the limit announced at a time; infinity for none."""
    rates = [each.rate_per_s for each in limits if each.at_s <= at_s]
    return rates[-1] if rates else float("inf")


def _find_requests_max(
    limits: list[platform_replica.AnnouncedLimit], start_s: float
) -> float:
    """Returns the maximum requests in a window.

    A limit that has just been lowered is enforced after the same time as one
    that is announced for the first time, so the highest limit of that time
    counts.
    """
    since_s = start_s - ENFORCEMENT_S
    end_s = start_s + WINDOW_S
    rates = [find_rate(limits, since_s)]
    rates += [each.rate_per_s for each in limits if since_s < each.at_s < end_s]
    return FACTOR * WINDOW_S * max(rates) + SLACK


def _find_relayed(
    replica: platform_replica.PlatformReplica,
    by_id: dict[str, gateway_caller.CallResult],
) -> dict[str, float]:
    """Returns when each VM first relayed an answer that announced a limit."""
    relayed_at_s: dict[str, float] = {}
    for request_id in replica.limit_answer_times_s:
        result = by_id.get(request_id)
        if result is None or "server-limit" not in result.headers:
            continue
        at_s = result.sent_s + (result.first_ms or result.took_ms) / 1_000.0
        vm = result.call.vm
        relayed_at_s[vm] = min(at_s, relayed_at_s.get(vm, float("inf")))
    return relayed_at_s


def _is_bound(
    cluster: gateway_cluster.GatewayCluster,
    result: gateway_caller.CallResult,
    arrival: platform_replica.Arrival,
    relayed_at_s: dict[str, float],
) -> bool:
    vm = result.call.vm
    since_s = relayed_at_s.get(vm, float("inf"))
    return arrival.at_s >= since_s + RELAY_S and (
        gateway_schedules.ran_undisturbed(cluster, vm, since_s, arrival.at_s)
    )
