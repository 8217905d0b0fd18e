"""Progress of a relayed request over all its attempts."""

import dataclasses
import enum
import math

from ruddergate import outcomes
from ruddergate.fleet import incarnation as incarnations
from ruddergate.relay import response_event as response_events


class Stage(enum.StrEnum):
    """What becomes of a request at the moment; stable names for logs.

    It is in the hands of a target while it is sent or streaming.
    """

    WAITING = "waiting"  # For its first attempt.
    PREPARING = "preparing"  # An attempt has begun and is not sent.
    SENT = "sent"  # No event of the response has come.
    STREAMING = "streaming"
    RETRYING = "retrying"  # Between two attempts.


@dataclasses.dataclass(slots=True)
class CurrentStage:
    """The stage of one request."""

    stage: Stage = Stage.WAITING

    @property
    def is_sent(self) -> bool:
        """Whether a target has the request, and may run it."""
        return self.stage in (Stage.SENT, Stage.STREAMING)


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request that its attempts share.

    Attributes:
        last_event_id: Id of the last event that the caller has, or empty.
        ran: Whether any attempt ran the request, as far as known.
        counted_attempts: Number of attempts that sent the request, without
            those that failed because of a helper.
        sent_targets: Targets that were sent the request in any attempt.
        has_begun: Whether any target has begun to respond.
        begun_ms: Monotonic time at which the first one did.
        has_lasted: Whether a response went on for so long that the request
            does not crash targets.
        interrupted: Targets that were lost after that.
        uncounted: Those of them that crashed, which do not count against the
            limit of the route.
        unsent_attempts: Number of attempts that ended before the request was
            sent.
        has_head: Whether the caller has the head of the response.
        excluded: Targets that must not be tried again.
        error_response: A target's own error response, which the caller gets if
            all retries fail.
        faulted_helpers: Helpers that the last target reported as failed, in
            order.
        helper_failures: How often the request was retried because of that.
        pinned_target_id: The target that the retry has to use, or empty.
        current: The stage of the request, which copies of this share.
    """

    last_event_id: str
    ran: outcomes.Ran = outcomes.Ran.NOT_RUN
    counted_attempts: int = 0
    sent_targets: frozenset[str] = frozenset()
    has_begun: bool = False
    begun_ms: float = math.inf
    has_lasted: bool = False
    interrupted: frozenset[incarnations.Incarnation] = frozenset()
    uncounted: frozenset[incarnations.Incarnation] = frozenset()
    unsent_attempts: int = 0
    has_head: bool = False
    excluded: frozenset[str] = frozenset()
    error_response: response_events.CompleteResponse | None = None
    faulted_helpers: tuple[str, ...] = ()
    helper_failures: int = 0
    pinned_target_id: str = ""
    current: CurrentStage = dataclasses.field(default_factory=CurrentStage)

    def note_begun(self, now_ms: float) -> None:
        """Records that a target has begun to respond."""
        self.has_begun = True
        self.begun_ms = min(self.begun_ms, now_ms)

    def count_targets_used(
        self, sending_to: frozenset[str] = frozenset()
    ) -> int:
        """Returns how many targets count against the limit of the route.

        Args:
            sending_to: Targets that the request is being sent to now.
        """
        used = max(
            self.counted_attempts + len(sending_to),
            len(self.sent_targets | sending_to),
        )
        return used - len(self.uncounted)
