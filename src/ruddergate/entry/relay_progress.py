"""How far a call that is passed on has come, over all its attempts."""

import dataclasses

from ruddergate import outcomes
from ruddergate.relay import response_event as response_events


@dataclasses.dataclass(slots=True)
class Progress:
    """What the attempts of one call leave behind.

    Attributes:
        last_id: Id of the last event that the caller has, or empty.
        ran: What all attempts together say about having run.
        sent: Tries that counted: all but those that a helper spoilt.
        sent_to: Targets that were sent the call in any of them.
        unreachable: Tries that ended before anything was sent.
        is_begun: Whether the caller has the answer's head.
        excluded: Targets that are not to be tried again.
        answer: A target's own failure, handed on if nothing better comes.
        blamed: Helpers that the last target blamed, in order.
        helpers_failed: How often a call went to a target again for that.
        pinned: The target that it goes to again, or empty.
    """

    last_event_id: str
    ran: outcomes.Ran = outcomes.Ran.NOT_RUN
    sent: int = 0
    sent_to: frozenset[str] = frozenset()
    unreachable: int = 0
    is_begun: bool = False
    excluded: frozenset[str] = frozenset()
    answer: response_events.CompleteResponse | None = None
    blamed: tuple[str, ...] = ()
    helpers_failed: int = 0
    pinned: str = ""

    def count_sent(self, also: frozenset[str] = frozenset()) -> int:
        """Returns how many of the targets allowed are used up.

        Args:
            also: Targets that are being sent the call.
        """
        return max(self.sent + len(also), len(self.sent_to | also))
