"""Checks of the soak for replicas that announce rate limits."""

from collections.abc import Iterable
from collections.abc import Sequence

from standins import gateway_caller
from standins import platform_replica
from standins import rate_limit_check
from standins import soak_draining


def find_violations(
    replicas: Iterable[platform_replica.PlatformReplica],
    interruptions: Sequence[soak_draining.Interruption],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
) -> list[str]:
    """Returns windows in which gateways sent more than a limit allows.

    Args:
        replicas: All replicas that ran.
        interruptions: Interruptions of gateways.
        all_responses: Responses to callers, with the gateway that sent them.
    """
    gateways = {
        response.call.request_id: gateway for gateway, response in all_responses
    }
    violations: list[str] = []
    for replica in replicas:
        relayed_s = _find_relayed(replica, all_responses)
        counted_s = [
            each.at_s
            for each in replica.arrivals
            if _is_bound(
                gateways.get(each.request_id, -1),
                each.at_s,
                relayed_s,
                interruptions,
            )
        ]
        violations += rate_limit_check.find_replica_excess(replica, counted_s)
    return violations


def _find_relayed(
    replica: platform_replica.PlatformReplica,
    all_responses: Iterable[tuple[int, gateway_caller.CallResult]],
) -> dict[int, float]:
    """Returns when each gateway first relayed a response with a limit."""
    relayed_s: dict[int, float] = {}
    for gateway, response in all_responses:
        is_its_own = response.call.request_id in replica.limit_answer_times_s
        if is_its_own and "server-limit" in response.headers:
            at_s = response.sent_s + response.took_ms / 1_000.0
            known_s = relayed_s.get(gateway, float("inf"))
            relayed_s[gateway] = min(at_s, known_s)
    return relayed_s


def _is_bound(
    gateway: int,
    at_s: float,
    relayed_s: dict[int, float],
    interruptions: Iterable[soak_draining.Interruption],
) -> bool:
    since_s = relayed_s.get(gateway, float("inf"))
    was_interrupted = any(
        each.gateway == gateway and since_s < each.at_s < at_s
        for each in interruptions
    )
    return at_s >= since_s + rate_limit_check.RELAY_S and not was_interrupted
