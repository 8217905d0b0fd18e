"""What a target says of itself beside an answer's result."""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from ruddergate.fleet import incarnation as incarnations


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """Said in one answer: to a call, an order or a question.

    Attributes:
        life: The life that answered, as known when it was asked; where the
            answer itself tells when the target started, the life it tells of.
        is_leaving: Whether it takes no new work.
        quiet_ms: For how long it wants no calls of this VM; None if it does
            not say.
        unread: What it said that has no meaning, a sentence each.
        request_id: The call that it answered, or empty.
        is_dated: Whether the answer itself tells when the target started.
        rate_limit_per_s: Requests a second that it takes from all VMs together;
            None if it names no limit.
        is_unlimited: Whether it certainly names no limit; neither a limit nor
            this where the limit it names is malformed.
        is_call: Whether it answered a call, and no order or probe.
        sent_ms: When the request was sent that it answered.
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
"""Takes a statement in; called before anyone sees the answer it came with."""


def ignore(said: Hints) -> None:
    """Stands where nobody hears what targets say."""
