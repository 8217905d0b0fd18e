"""What the soak checks of replicas that name rate limits."""

from collections.abc import Iterable
from collections.abc import Sequence

from standins import gateway_caller
from standins import platform_replica
from standins import rate_limit_check
from standins import soak_withdrawals


def find_broken(
    replicas: Iterable[platform_replica.PlatformReplica],
    upsets: Sequence[soak_withdrawals.Upset],
    all_got: Sequence[tuple[int, gateway_caller.CallResult]],
) -> list[str]:
    """Returns windows in which gateways sent more than a limit allows.

    Args:
        replicas: All that ran.
        upsets: What befell gateways.
        all_got: What callers got, with the gateway that they asked.
    """
    gateways = {got.call.request_id: gateway for gateway, got in all_got}
    broken: list[str] = []
    for replica in replicas:
        passed_on_s = _find_relayed(replica, all_got)
        counted_s = [
            each.at_s
            for each in replica.arrivals
            if _is_bound(
                gateways.get(each.request_id, -1),
                each.at_s,
                passed_on_s,
                upsets,
            )
        ]
        broken += rate_limit_check.find_replica_excess(replica, counted_s)
    return broken


def _find_relayed(
    replica: platform_replica.PlatformReplica,
    all_got: Iterable[tuple[int, gateway_caller.CallResult]],
) -> dict[int, float]:
    """Returns when each gateway first passed on an answer with a limit."""
    passed_on_s: dict[int, float] = {}
    for gateway, got in all_got:
        is_its_own = got.call.request_id in replica.limit_answer_times_s
        if is_its_own and "server-limit" in got.headers:
            at_s = got.sent_s + got.took_ms / 1_000.0
            known_s = passed_on_s.get(gateway, float("inf"))
            passed_on_s[gateway] = min(at_s, known_s)
    return passed_on_s


def _is_bound(
    gateway: int,
    at_s: float,
    passed_on_s: dict[int, float],
    upsets: Iterable[soak_withdrawals.Upset],
) -> bool:
    since_s = passed_on_s.get(gateway, float("inf"))
    was_upset = any(
        each.gateway == gateway and since_s < each.at_s < at_s
        for each in upsets
    )
    return at_s >= since_s + rate_limit_check.RELAY_S and not was_upset
