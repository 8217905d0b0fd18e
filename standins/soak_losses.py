"""Check of the soak for requests that gateways leave without an answer."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math

from standins import gateway_caller
from standins import gateway_guarantees
from standins import platform_replica
from standins import soak_draining
from standins import soak_gateways
from standins import soak_links
from standins import soak_proxy

STOP_CHECKS = "calls that were open as their gateway had to stop"
_EXCUSED_FROM_S = soak_gateways.GRACE_S * 5.0 / 6.0
# Proxies and callers share a process, so that what they see is a little late.
_TOLERANCE_S = 0.05


def find_violations(
    gateways: soak_gateways.SoakGateways,
    caller_proxies: Sequence[soak_proxy.Proxy],
    replica_proxies: Iterable[
        tuple[platform_replica.PlatformReplica, soak_proxy.Proxy]
    ],
    link_losses: Sequence[soak_links.LinkLoss],
    stalls: Sequence[tuple[float, float]],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns calls that a gateway ended without a complete answer.

    Only what neither the gateway's process, the way to it, nor a replica that
    the call had reached can explain counts.

    Args:
        gateways: The gateways.
        caller_proxies: The proxy before each gateway.
        replica_proxies: The replicas, each with the proxy before it.
        link_losses: Gateways that lost their links, and when.
        stalls: When callers and proxies did not run.
        all_responses: Responses to callers, with the gateway that sent them.
        counts: Counters by name, to which the calls that were open when their
            gateway was told to stop are added.
    """
    replicas = [
        (replica, proxy, {each.request_id for each in replica.arrivals})
        for replica, proxy in replica_proxies
    ]
    violations = []
    for number, response in all_responses:
        from_s = response.sent_s
        to_s = from_s + response.took_ms / 1_000.0
        stops = [each for each in gateways.stops if each.gateway == number]
        counts[STOP_CHECKS] += any(from_s < each.at_s < to_s for each in stops)
        limit_ms = gateway_guarantees.find_first_limit_ms(response)
        if not gateway_guarantees.is_unanswered(response, limit_ms):
            continue
        if (
            _was_interrupted(gateways.interruptions, number, from_s, to_s)
            or _had_no_links(link_losses, number, from_s, to_s)
            or _overlaps(caller_proxies[number].disruptions, from_s, to_s)
            or _overlaps(stalls, from_s, to_s)
        ):
            continue
        request_id = response.call.request_id
        reached = [
            (replica, proxy)
            for replica, proxy, arrived in replicas
            if request_id in arrived
        ]
        if any(
            request_id in replica.broken_off
            or _overlaps(proxy.disruptions, from_s, to_s)
            or _was_at_work_to_the_end(replica, response, stops)
            for replica, proxy in reached
        ):
            continue
        if reached or not gateway_guarantees.is_crossing(response):
            violations.append(
                f"{request_id} ({response.call.route}) at gateway {number} was "
                f"left without a complete answer after {response.took_ms:.0f} "
                f"ms, sent to {len(reached)} replicas"
            )
    return violations


def _was_interrupted(
    interruptions: Iterable[soak_draining.Interruption],
    number: int,
    from_s: float,
    to_s: float,
) -> bool:
    """Returns whether anything but a planned stop disturbed a gateway."""
    return any(
        each.gateway == number
        and not each.is_planned
        and from_s - gateway_guarantees.CONTACT_S
        < each.at_s
        < to_s + _TOLERANCE_S
        for each in interruptions
    )


def _had_no_links(
    losses: Iterable[soak_links.LinkLoss],
    number: int,
    from_s: float,
    to_s: float,
) -> bool:
    return any(
        number in each.gateways
        and each.from_s < to_s
        and from_s - gateway_guarantees.CONTACT_S < each.to_s
        for each in losses
    )


def _overlaps(
    intervals: Iterable[tuple[float, float]], from_s: float, to_s: float
) -> bool:
    return any(
        begin_s < to_s + _TOLERANCE_S and from_s < end_s + _TOLERANCE_S
        for begin_s, end_s in intervals
    )


def _was_at_work_to_the_end(
    replica: platform_replica.PlatformReplica,
    response: gateway_caller.CallResult,
    stops: Iterable[soak_draining.Interruption],
) -> bool:
    """Returns whether a stop had no more time for a replica's work."""
    ended_s = response.sent_s + response.took_ms / 1_000.0
    work_ended_s = replica.ended_s.get(response.call.request_id, math.inf)
    return any(
        response.sent_s <= each.at_s + gateway_guarantees.EXCUSED_SENT_S
        and min(ended_s, work_ended_s) >= each.at_s + _EXCUSED_FROM_S
        for each in stops
    )
