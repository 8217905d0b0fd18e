"""The task that probes targets suspected of draining.

A health probe causes no work on the target. Its response says whether the
target is draining and, in most cases, when it started.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from ruddergate import environment
from ruddergate.decisions import draining
from ruddergate.entry import view as views
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

_NEVER_MS = float("inf")
# What is left of a pause may round to zero, and the loop would not yield.
_MIN_PAUSE_MS = 1.0


class DrainCheck:
    """Probes each suspected target until it has answered.

    A response that says the target is draining is applied with all other
    response hints. This class only handles responses that refute a suspicion.

    Args:
        env: Clock.
        drain_state: Which incarnations of targets accept no requests.
        view: The list of targets.
        probe: Sends a health probe to a target.
        on_refuted: Called when a suspicion was refuted.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        env: environment.Environment,
        drain_state: draining.DrainState,
        view: views.View,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        on_refuted: Callable[[], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._drain_state = drain_state
        self._view = view
        self._probe = probe
        self._on_refuted = on_refuted
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._log = logs.make_logger("target")

    def wake(self) -> None:
        """Makes the task look for suspected targets now."""
        if len(self._drain_state.suspects):
            self._changed.set()

    async def run(self) -> None:
        """Probes until cancelled; sleeps while no target is suspected."""
        while True:
            await self._wait()
            await self._probe_due()

    async def _wait(self) -> None:
        """Waits until a probe is due or a suspicion may have been added."""
        due_ms = self._drain_state.suspects.find_next_due_ms()
        left_ms = max(_MIN_PAUSE_MS, due_ms - self._env.now_ms())
        wait_s = None if due_ms == _NEVER_MS else left_ms / 1000.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        self._changed.clear()

    async def _probe_due(self) -> None:
        due = self._drain_state.suspects.find_due(self._env.now_ms())
        listed = {each.incarnation: each for each in self._view.listing.targets}
        probed = [
            listed[incarnation] for incarnation in due if incarnation in listed
        ]
        for incarnation in due:
            self._drain_state.suspects.postpone(incarnation, self._env.now_ms())
        refuted = await asyncio.gather(*map(self._probe_target, probed))
        if any(refuted):
            self._on_refuted()

    async def _probe_target(self, target: targets.Target) -> bool:
        """Probes a target; returns whether that refuted the suspicion."""
        result = await self._probe(target)
        is_same_incarnation = result.started_ms in (
            incarnations.START_UNKNOWN,
            target.started_ms,
        )
        if not result.refutes_draining or not is_same_incarnation:
            return False
        now_ms = self._env.now_ms()
        if not self._drain_state.note_refuted(target.incarnation, now_ms):
            return False
        self._metrics.drains_refuted.inc({})
        self._log.info(
            "Target {} is not draining, as a probe shows.",
            target.target_id,
            born_ms=target.started_ms,
        )
        return True
