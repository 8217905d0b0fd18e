"""Meters one VM's use of its share of a fleet-wide limit."""

import dataclasses
import math

from ruddergate import outcomes
from ruddergate.settings import effective

# The rate is enforced over this time: a VM's share of a small rate can be so
# little that two requests in quick succession would otherwise exceed it.
BURST_S = 5.0
# Seconds' worth of tokens in a new meter: a restart must not earn a whole
# burst.
INITIAL_TOKENS_S = 1.0
# Time constant of the exponential decay of the demand.
DEMAND_DECAY_MS = 2_000.0
_CONCURRENCY_RETRY_MS = 500.0
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class Meter:
    """Use of one limit on one VM.

    Attributes:
        updated_ms: When `tokens` was last updated.
        tokens: Requests that may start now; None before the first one.
        running: Requests that have started and not ended.
        last_refused_ms: When a request was last refused.
    """

    updated_ms: float
    tokens: float | None = None
    running: int = 0
    last_refused_ms: float = float("-inf")

    def start(
        self, limit: effective.Limit, fraction: float, now_ms: float
    ) -> outcomes.NotServed | None:
        """Counts a request, or returns a refusal if the limit is reached.

        Args:
            limit: The fleet-wide limit.
            fraction: This VM's share of it.
            now_ms: Monotonic time.
        """
        allowed = limit.concurrency_max * fraction
        if math.isnan(allowed) or self.running + 1 > allowed + _ROUNDING:
            self.last_refused_ms = now_ms
            return _refuse("concurrent requests", _CONCURRENCY_RETRY_MS)
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
                return _refuse("requests per second", wait_ms)
            self.tokens -= 1.0
        self.running += 1
        return None

    def end(self) -> None:
        """Stops counting a request that has ended."""
        self.running -= 1


@dataclasses.dataclass(slots=True)
class Demand:
    """Exponentially smoothed arrival rate of one workspace.

    Attributes:
        per_s: Requests per second as of `updated_ms`.
        updated_ms: When the last request arrived.
    """

    per_s: float = 0.0
    updated_ms: float = 0.0

    def note_arrival(self, now_ms: float) -> None:
        """Adds an arrival."""
        self.per_s = self.current_per_s(now_ms) + 1000.0 / DEMAND_DECAY_MS
        self.updated_ms = now_ms

    def current_per_s(self, now_ms: float) -> float:
        """Returns the recent demand in requests per second."""
        elapsed_ms = now_ms - self.updated_ms
        return self.per_s * math.exp(-elapsed_ms / DEMAND_DECAY_MS)


def _refuse(what: str, retry_after_ms: float) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.LIMIT_REACHED,
        f"the workspace's limit of {what} is reached",
        retry_after_ms,
    )
