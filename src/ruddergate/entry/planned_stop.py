"""State of a planned stop: what is still accepted, and until when."""

import math

# A request that no target has is answered this long before the process ends.
ANSWER_MARGIN_MS = 250.0
# Time to write the last answers: several turns of the event loop, and less than
# what is left until the process is killed.
LAST_WRITE_MS = 100.0


class PlannedStop:
    """The planned stop of one process, which may not have begun.

    It has two phases. At first everything is accepted, since the load balancer
    has not noticed the stop. Then no request is read that was not being sent
    already, and one that can't finish by the end of the stop is refused.

    If the process was suspended when the signal came, the time of the signal is
    known only within bounds. What is accepted follows from the earliest one, so
    that the process isn't killed before it has answered; what a target has is
    ended according to the latest one, as it may still finish.

    Attributes:
        is_stopping: Whether the stop has begun.
        is_accepting: Whether further requests are read.
        killed_ms: Earliest monotonic time at which the process may be killed.
        ends_ms: Monotonic time at which responses under way are cut.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.is_accepting = True
        self.killed_ms = math.inf
        self.ends_ms = math.inf

    def begin(self, earliest_ms: float, now_ms: float, limit_ms: float) -> None:
        """Begins the first phase.

        Args:
            earliest_ms: Earliest time at which the signal may have come.
            now_ms: Current time.
            limit_ms: Time from the signal to the end of the stop.
        """
        self.is_stopping = True
        self.killed_ms = earliest_ms + limit_ms
        self.ends_ms = now_ms + limit_ms

    @property
    def answer_waiting_ms(self) -> float:
        """Time by which requests that no target has must be answered.

        Infinite before the stop.
        """
        return self.killed_ms - ANSWER_MARGIN_MS

    @property
    def answer_all_ms(self) -> float:
        """Time by which all requests must be answered.

        Infinite before the stop.
        """
        return self.ends_ms - LAST_WRITE_MS

    def stop_accepting(self) -> None:
        """Begins the second phase."""
        self.is_accepting = False

    def must_refuse(self, deadline_ms: float) -> bool:
        """Returns whether a request that has just been read is refused."""
        return not self.is_accepting and deadline_ms > self.killed_ms
