"""Counts and reports the connections that were ended for a server's limits."""

import collections

from ruddergate import environment
from ruddergate.http import connections
from ruddergate.telemetry import logs

_LOG_INTERVAL_MS = 1_000.0


class EndedConnections:
    """The connections that one process has ended.

    Args:
        env: Clock.

    Attributes:
        counts: Their number, by cause.
    """

    def __init__(self, env: environment.Environment) -> None:
        self.counts: collections.Counter[connections.Cause] = (
            collections.Counter()
        )
        self._env = env
        self._logged_ms = -_LOG_INTERVAL_MS
        self._log = logs.make_logger("entry")

    def note(self, connection: connections.Connection) -> None:
        """Counts a connection; logs at most one of them a second."""
        self.counts[connection.cause] += 1
        now_ms = self._env.now_ms()
        if now_ms - self._logged_ms < _LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._log.warning(
            "Connection ended: {}.",
            connection.cause.value,
            held_bytes=connection.held_bytes,
            age_ms=round(connection.find_age_s() * 1000.0),
            is_handled=connection.is_handled,
            peer=connection.writer.get_extra_info("peername"),
            total=self.counts[connection.cause],
        )
