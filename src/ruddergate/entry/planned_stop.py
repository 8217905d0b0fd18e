"""State of a planned stop: what is still accepted, and until when."""

import math


class PlannedStop:
    """The planned stop of one process, which may not have begun.

    It has two phases. At first everything is accepted, since the load balancer
    has not noticed the stop. Then no request is read that was not being sent
    already, and one that can't finish by the end of the stop is refused.

    Attributes:
        is_stopping: Whether the stop has begun.
        is_accepting: Whether further requests are read.
        ends_ms: Monotonic time at which requests that are still open are cut.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.is_accepting = True
        self.ends_ms = math.inf

    def begin(self, ends_ms: float) -> None:
        """Begins the first phase."""
        self.is_stopping = True
        self.ends_ms = ends_ms

    def stop_accepting(self) -> None:
        """Begins the second phase."""
        self.is_accepting = False

    def must_refuse(self, deadline_ms: float) -> bool:
        """Returns whether a request that has just been read is refused."""
        return not self.is_accepting and deadline_ms > self.ends_ms
