"""When the target of an attempt last showed that it is alive.

Its response shows that, and else health probes. A target that shows nothing may
have died without a word, or may just be paused.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math

from ruddergate import environment
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs

# A sign of life this old needs no probe to confirm it.
FRESH_MS = 300.0


class TargetLiveness:
    """Signs of life of one target; one for each attempt that needs them.

    Args:
        env: Clock.
        target: The target.
        probe: Sends a health probe to a target.
        request_id: Id of the request, for the log.

    Attributes:
        target_id: Id of the target.
        request_id: Id of the request.
        missed_probes: Probes without a response since the last sign of life.
    """

    def __init__(
        self,
        env: environment.Environment,
        target: targets.Target,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        request_id: str,
    ) -> None:
        self.target_id = target.target_id
        self.request_id = request_id
        self.missed_probes = 0
        self._env = env
        self._target = target
        self._probe = probe
        self._alive_ms = env.now_ms()
        # From when on events are evidence.
        self._trusted_from_ms = -math.inf
        self._probing: asyncio.Task | None = None
        self._log = logs.make_logger("memory")

    def note_event(self) -> None:
        """Records that an event of the response was read."""
        now_ms = self._env.now_ms()
        if now_ms >= self._trusted_from_ms:
            self._note_alive(now_ms)

    def note_late_timer(self, due_ms: float) -> None:
        """Records that a timer of this VM ran much later than it was due.

        The VM was suspended, and the events that it reads as it goes on were
        sent before: those read since the timer was due are no evidence.
        """
        self._alive_ms = min(self._alive_ms, due_ms)
        self._trusted_from_ms = self._env.now_ms() + FRESH_MS

    def silent_ms(self) -> float:
        """Returns the age of the last sign of life."""
        return self._env.now_ms() - self._alive_ms

    async def check(self) -> None:
        """Probes the target unless it has just shown that it is alive.

        Several callers share one probe.
        """
        if self.silent_ms() <= FRESH_MS:
            return
        if self._probing is None:
            self._probing = asyncio.ensure_future(self._probe_target())
        await asyncio.wait({self._probing})

    def _note_alive(self, at_ms: float) -> None:
        if self.missed_probes:
            self._log_change("responds again")
        self.missed_probes = 0
        self._alive_ms = max(self._alive_ms, at_ms)

    async def _probe_target(self) -> None:
        sent_ms = self._env.now_ms()
        try:
            result = await self._probe(self._target)
        finally:
            self._probing = None
        if result.status is orders.ProbeStatus.ALIVE:
            self._note_alive(sent_ms)
            return
        self.missed_probes += 1
        if self.missed_probes == 1:
            self._log_change(f"missed a probe ({result.status.value})")

    def _log_change(self, change: str) -> None:
        self._log.info(
            "Target {} {}.",
            self.target_id,
            change,
            request_id=self.request_id,
            hall=self._target.hall,
            missed=self.missed_probes,
            silent_ms=round(self.silent_ms()),
        )
