"""Checks of the soak for replicas that drain by response headers only."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from standins import gateway_caller
from standins import gateway_guarantees
from standins import platform_replica
from standins import soak_proxy
from standins import withdrawal_schedules


@dataclasses.dataclass(frozen=True, slots=True)
class DrainPeriod:
    """A time in which a replica was draining, until it was replaced.

    Attributes:
        replica: The replica.
        name: Name of the replica at that time.
        from_s: Begin, on the monotonic clock.
        to_s: End, on the monotonic clock.
        proxy: The proxy before the replica.
    """

    replica: platform_replica.PlatformReplica
    name: str
    from_s: float
    to_s: float
    proxy: soak_proxy.Proxy

    def was_held_up(self, at_s: float) -> bool:
        """Returns whether the way to the replica may have made a call late."""
        return any(
            begin_s < at_s < end_s + gateway_guarantees.CONTACT_S
            for begin_s, end_s in self.proxy.disruptions
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Interruption:
    """A time at which a gateway was disturbed or came back.

    Gateways are stopped, paused, killed, started again, or partitioned from the
    store.

    Attributes:
        gateway: The gateway.
        at_s: When, on the monotonic clock.
        is_planned: Whether a planned stop began or was over.
    """

    gateway: int
    at_s: float
    is_planned: bool = False


def find_violations(
    drain_periods: Iterable[DrainPeriod],
    interruptions: Sequence[Interruption],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
) -> list[str]:
    """Returns calls sent to a draining replica by a gateway that knew of it.

    Args:
        drain_periods: Times in which replicas drained.
        interruptions: Interruptions of gateways.
        all_responses: Responses to callers, with the gateway that sent them.
    """
    by_id = {
        response.call.request_id: each
        for each in all_responses
        for response in each[1:]
    }
    violations: list[str] = []
    for period in drain_periods:
        for arrival in period.replica.arrivals:
            if not period.from_s < arrival.at_s < period.to_s:
                continue
            if arrival.request_id not in by_id:
                continue
            gateway, _ = by_id[arrival.request_id]
            relayed_s = _find_first_relayed_s(period, gateway, all_responses)
            was_interrupted = any(
                each.gateway == gateway and relayed_s < each.at_s < arrival.at_s
                for each in interruptions
            )
            late_s = arrival.at_s - relayed_s
            if (
                late_s > withdrawal_schedules.DRAIN_GRACE_S
                and not was_interrupted
                and not period.was_held_up(arrival.at_s)
            ):
                violations.append(
                    f"{arrival.request_id} reached {period.name} "
                    f"{late_s:.1f} s after gateway {gateway} saw it draining"
                )
    return violations


def _find_first_relayed_s(
    period: DrainPeriod,
    gateway: int,
    all_responses: Iterable[tuple[int, gateway_caller.CallResult]],
) -> float:
    """Returns when a gateway had first relayed a response that announced it."""
    ends_s = [
        response.sent_s + response.took_ms / 1_000.0
        for asked_gateway, response in all_responses
        if asked_gateway == gateway
        and response.headers.get("server-leaving") == "1"
        and response.headers.get("x-replica-signature", "").startswith(
            f"{period.name}."
        )
    ]
    return min(ends_s, default=float("inf"))
