"""Counts use on one VM against its part of a fleet-wide limit."""

import dataclasses
import math

from ruddergate import outcomes
from ruddergate.settings import effective

# The rate is kept over this time: a VM's part of a small rate is so little
# that two requests close together would otherwise be one too many.
BURST_S = 5.0
# A fresh meter holds this much: a restart must not earn a whole burst.
INITIAL_TOKENS_S = 1.0
DEMAND_DECAY_MS = 2_000.0
_CONCURRENCY_RETRY_MS = 500.0
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class Meter:
    """Use of one limit on one VM.

    Attributes:
        at_ms: When `tokens` was brought up to date.
        tokens: Requests that may start now; None before the first.
        running: Requests taken in and not ended.
        refused_ms: When one was last refused.
    """

    updated_ms: float
    tokens: float | None = None
    running: int = 0
    last_refused_ms: float = float("-inf")

    def start(
        self, limit: effective.Limit, fraction: float, now_ms: float
    ) -> outcomes.NotServed | None:
        """Counts a request in, or returns why the limit forbids it."""
        allowed = limit.concurrency_max * fraction
        if math.isnan(allowed) or self.running + 1 > allowed + _ROUNDING:
            self.last_refused_ms = now_ms
            return _refuse("requests at once", _CONCURRENCY_RETRY_MS)
        if math.isfinite(limit.requests_per_s_max):
            rate = limit.requests_per_s_max * fraction
            earned = (now_ms - self.updated_ms) / 1000.0 * rate
            burst = max(1.0, rate * BURST_S)
            if self.tokens is None:
                self.tokens = max(1.0, rate * INITIAL_TOKENS_S)
            self.tokens = min(burst, self.tokens + earned)
            self.updated_ms = now_ms
            if self.tokens < 1.0 or rate <= 0.0:
                self.last_refused_ms = now_ms
                wait_ms = (1.0 - self.tokens) * 1000.0 / max(rate, 0.1)
                return _refuse("requests a second", wait_ms)
            self.tokens -= 1.0
        self.running += 1
        return None

    def end(self) -> None:
        """Counts a request out."""
        self.running -= 1


@dataclasses.dataclass(slots=True)
class Demand:
    """Recent arrivals of one workspace, smoothed.

    Attributes:
        per_s: Requests a second, as of `at_ms`.
        at_ms: When the last one arrived.
    """

    per_s: float = 0.0
    updated_ms: float = 0.0

    def note_arrival(self, now_ms: float) -> None:
        """Counts an arrival."""
        self.per_s = self.current_per_s(now_ms) + 1000.0 / DEMAND_DECAY_MS
        self.updated_ms = now_ms

    def current_per_s(self, now_ms: float) -> float:
        """Returns the recent demand in requests a second."""
        passed_ms = now_ms - self.updated_ms
        return self.per_s * math.exp(-passed_ms / DEMAND_DECAY_MS)


def _refuse(what: str, retry_after_ms: float) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.LIMIT_REACHED,
        f"the workspace's limit of {what} is reached",
        retry_after_ms,
    )
