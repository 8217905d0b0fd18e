"""What the soak checks of targets that say in answers alone that they leave."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from standins import gateway_caller
from standins import platform_replica
from standins import withdrawal_schedules


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A time in which all answers of a replica said that it leaves.

    Attributes:
        replica: The replica.
        name: Its name then.
        from_s: When it began, on the loop's clock.
        to_s: When it ended.
    """

    replica: platform_replica.PlatformReplica
    name: str
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Upset:
    """A moment at which a gateway was stopped, paused or killed."""

    gateway: int
    at_s: float


def find_broken(
    leavings: Iterable[Leaving],
    upsets: Sequence[Upset],
    all_got: Sequence[tuple[int, gateway_caller.CallResult]],
) -> list[str]:
    """Returns calls that a gateway sent on although it had been told.

    Args:
        leavings: What replicas said, and when.
        upsets: What befell gateways.
        all_got: What callers got, with the gateway that they asked.
    """
    by_id = {got.call.request_id: each for each in all_got for got in each[1:]}
    broken: list[str] = []
    for leaving in leavings:
        for arrival in leaving.replica.arrivals:
            if not leaving.from_s < arrival.at_s < leaving.to_s:
                continue
            if arrival.request_id not in by_id:
                continue
            gateway, got = by_id[arrival.request_id]
            told_s = _find_told_s(leaving, gateway, all_got)
            was_upset = any(
                each.gateway == gateway and told_s < each.at_s < arrival.at_s
                for each in upsets
            )
            late_s = got.sent_s - told_s
            if late_s > withdrawal_schedules.DRAIN_GRACE_S and not was_upset:
                broken.append(
                    f"{arrival.request_id} reached {leaving.name} "
                    f"{late_s:.1f} s after gateway {gateway} was told"
                )
    return broken


def _find_told_s(
    leaving: Leaving,
    gateway: int,
    all_got: Iterable[tuple[int, gateway_caller.CallResult]],
) -> float:
    """Returns when a gateway had passed the first such answer on."""
    ends_s = [
        got.sent_s + got.took_ms / 1_000.0
        for asked, got in all_got
        if asked == gateway
        and got.headers.get("server-leaving") == "1"
        and got.headers.get("x-replica-signature", "").startswith(
            f"{leaving.name}."
        )
    ]
    return min(ends_s, default=float("inf"))
