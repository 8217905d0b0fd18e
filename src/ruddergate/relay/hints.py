"""Hints about itself that a target sends along with a response."""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from ruddergate.fleet import incarnation as incarnations


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """The hints of one response, to a request, an order or a probe.

    Attributes:
        incarnation: The incarnation that responded, as known when the request
            was sent; if the response itself contains a start time, the
            incarnation with that start time.
        is_draining: Whether the target accepts no new work.
        backoff_ms: How long it wants this VM to send it no requests; None if
            not specified.
        problems: Hints that could not be parsed, one sentence each.
        request_id: Id of the request that it responded to, or empty.
        has_start_time: Whether the response itself contains a start time.
        rate_limit_per_s: Requests per second that it accepts from all VMs
            together; None if it specifies no limit.
        is_unlimited: Whether it certainly specifies no limit. If its limit is
            malformed, this is false and `rate_limit_per_s` is None.
        is_call: Whether it responded to a caller's request, not to an order or
            a probe.
        sent_ms: When the request that it responded to was sent.
    """

    incarnation: incarnations.Incarnation
    is_draining: bool = False
    backoff_ms: float | None = None
    problems: tuple[str, ...] = ()
    request_id: str = ""
    has_start_time: bool = False
    rate_limit_per_s: float | None = None
    is_unlimited: bool = False
    is_call: bool = False
    sent_ms: float = 0.0


OnHints: TypeAlias = Callable[[Hints], None]
"""Handles hints; called before anything else sees the response."""


def ignore_hints(hints: Hints) -> None:
    """Handler for use where hints don't matter."""
