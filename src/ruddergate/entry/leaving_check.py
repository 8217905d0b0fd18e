"""The task that asks targets of which it is in doubt whether they leave.

A sign of life is no work, and its answer says whether the target leaves and, in
most cases, when it started.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from ruddergate import environment
from ruddergate.decisions import withdrawals
from ruddergate.entry import view as views
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

_NEVER_MS = float("inf")
# What is left of a pause may round to nothing, so that it would end at once.
_PAUSE_LEAST_MS = 1.0


class LeavingCheck:
    """Asks each target in doubt until it has answered.

    What an answer says of leaving is heard as all that targets say is; this
    takes in that it says nothing of it.

    Args:
        outside: Clock.
        withdrawn: Which lives of targets take no calls.
        view: The list of targets.
        ask_sign: Asks a target for a sign of life.
        note_staying: Is called when targets turned out not to leave.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        outside: environment.Environment,
        withdrawn: withdrawals.Withdrawals,
        view: views.View,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        note_staying: Callable[[], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._outside = outside
        self._withdrawn = withdrawn
        self._view = view
        self._ask_sign = probe
        self._note_staying = note_staying
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._log = logs.make_logger("target")

    def look(self) -> None:
        """Has it looked whether any target is to be asked."""
        if len(self._withdrawn.doubts):
            self._changed.set()

    async def run(self) -> None:
        """Asks until cancelled; sleeps while nothing is in doubt."""
        while True:
            await self._wait()
            await self._ask_due()

    async def _wait(self) -> None:
        """Returns when a target is to be asked, or when that may be."""
        due_ms = self._withdrawn.doubts.find_next_ms()
        left_ms = max(_PAUSE_LEAST_MS, due_ms - self._outside.now_ms())
        wait_s = None if due_ms == _NEVER_MS else left_ms / 1000.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        self._changed.clear()

    async def _ask_due(self) -> None:
        due = self._withdrawn.doubts.find_due(self._outside.now_ms())
        listed = {each.incarnation: each for each in self._view.listing.targets}
        asked = [
            listed[incarnation] for incarnation in due if incarnation in listed
        ]
        for incarnation in due:
            self._withdrawn.doubts.put_off(incarnation, self._outside.now_ms())
        told = await asyncio.gather(*map(self._ask, asked))
        if any(told):
            self._note_staying()

    async def _ask(self, target: targets.Target) -> bool:
        """Returns whether a target turned out not to leave."""
        told = await self._ask_sign(target)
        is_its_own = told.started_ms in (
            incarnations.START_UNKNOWN,
            target.started_ms,
        )
        if not told.refutes_draining or not is_its_own:
            return False
        now_ms = self._outside.now_ms()
        if not self._withdrawn.note_staying(target.incarnation, now_ms):
            return False
        self._metrics.leavings_denied.inc({})
        self._log.info(
            "Target {} does not leave, as it was asked.",
            target.target_id,
            born_ms=target.started_ms,
        )
        return True
