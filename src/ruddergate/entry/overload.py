"""Detects that this process has more work than its processor time allows.

The platform may direct most new connections to one VM. A request that is read
there late is worse off than one whose connection is closed unread: its caller
tries another VM at once.
"""

import asyncio
from collections.abc import Callable

from ruddergate import environment
from ruddergate.telemetry import logs

# Time between two samples of the lag.
SAMPLE_INTERVAL_MS = 50.0
# New connections are closed unread from this smoothed lag on.
MAX_LAG_MS = 150.0
# A sample counts for at most this, so that a process that was suspended once
# is not taken for one that has too much work.
MAX_SAMPLE_MS = 400.0
# Weight of the latest sample.
_SMOOTHING = 0.3
_LOG_INTERVAL_MS = 1_000.0


class OverloadDetector:
    """Measures how late the event loop wakes up sleeping tasks.

    Args:
        env: Clock.

    Attributes:
        lag_ms: Smoothed lag.
        shed: Number of connections that were closed unread.
    """

    def __init__(self, env: environment.Environment) -> None:
        self.lag_ms = 0.0
        self.shed = 0
        self._env = env
        self._logged_ms = -_LOG_INTERVAL_MS
        self._log = logs.make_logger("overload")

    async def run(
        self, note_awake: Callable[[float], None] = lambda now_ms: None
    ) -> None:
        """Measures the lag until cancelled.

        Args:
            note_awake: Is called with the time of each sample.
        """
        while True:
            before_ms = self._env.now_ms()
            note_awake(before_ms)
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000.0)
            elapsed_ms = self._env.now_ms() - before_ms
            self.note_lag(elapsed_ms - SAMPLE_INTERVAL_MS)

    def note_lag(self, lag_ms: float) -> None:
        """Notes how much later than it should a task woke up."""
        sample_ms = min(MAX_SAMPLE_MS, max(0.0, lag_ms))
        self.lag_ms += _SMOOTHING * (sample_ms - self.lag_ms)

    def must_shed(self) -> bool:
        """Returns whether a new connection is to be closed; counts those."""
        if self.lag_ms < MAX_LAG_MS:
            return False
        self.shed += 1
        now_ms = self._env.now_ms()
        if now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._log.warning(
                "New connections are closed unread, as this VM is overloaded.",
                lag_ms=round(self.lag_ms),
                shed=self.shed,
            )
        return True
