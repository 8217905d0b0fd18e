"""The tasks that find out whether targets crashed while serving requests.

A broken connection shows little: responses get lost and connections are reset
while their targets are alive. If nothing listens at the address any more, or a
later incarnation does, the incarnation that had the request has ended.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

from ruddergate.entry import attempt_log
from ruddergate.entry import lost_call
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# A target that did not respond is probed again after these delays: packets are
# lost, and a slow VM reads responses late. A target behind a network partition
# stays silent, and nothing is concluded.
_REPROBE_PAUSES_MS = (300.0, 1_000.0)
# How long a request waits for the verdict on its target: one probe.
VERDICT_TIMEOUT_MS = 200.0
# Ended incarnations that are remembered.
_MAX_KEPT = 512


@dataclasses.dataclass(slots=True)
class _Probe:
    """A target being probed, and the requests it lost.

    Attributes:
        task: The task that probes it.
        lost: The requests.
        reported: Set when a request is reported. The next probe is then sent at
            once: a target that was only silent before may have ended just now.
    """

    task: asyncio.Task
    lost: list[lost_call.LostCall]
    reported: asyncio.Event


class CrashDetector:
    """Probes each target once for all the requests that it lost together.

    Args:
        probe: Sends a health probe to a target.
        on_crash: Called with each request during which a target ended.
        on_target_ended: Called once with each target that has ended.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        on_crash: Callable[[lost_call.LostCall], None],
        on_target_ended: Callable[[targets.Target], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._probe = probe
        self._on_crash = on_crash
        self._on_target_ended = on_target_ended
        self._metrics = metrics
        self._probes: dict[incarnations.Incarnation, _Probe] = {}
        # Incarnations that have ended, the latest last.
        self._ended: dict[incarnations.Incarnation, None] = {}
        self._log = logs.make_logger("attempt")

    def on_lost_call(self, lost: lost_call.LostCall) -> None:
        """Starts to find out whether the target of a lost request has ended."""
        incarnation = lost.target.incarnation
        probe = self._probes.get(incarnation)
        if probe is not None:
            # A request is reported when its target falls silent, and again if
            # the target is given up.
            if all(each.request_id != lost.request_id for each in probe.lost):
                probe.lost.append(lost)
            probe.reported.set()
            return
        reported = asyncio.Event()
        task = asyncio.ensure_future(self._probe_target(lost.target, reported))
        self._probes[incarnation] = _Probe(task, [lost], reported)

    async def has_ended(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether an incarnation that lost a request has ended.

        This waits a short time for the verdict; without one it returns False.
        """
        probe = self._probes.get(incarnation)
        if probe is not None:
            await asyncio.wait(
                (probe.task,), timeout=VERDICT_TIMEOUT_MS / 1000.0
            )
        return incarnation in self._ended

    def refute(self, incarnation: incarnations.Incarnation) -> None:
        """Records that an incarnation is alive after all."""
        self._ended.pop(incarnation, None)

    async def _probe_target(
        self, target: targets.Target, reported: asyncio.Event
    ) -> None:
        try:
            result = await self._probe_repeatedly(target, reported)
        finally:
            probe = self._probes.pop(target.incarnation)
        if not _has_ended(target.incarnation, result):
            return
        self._ended[target.incarnation] = None
        if len(self._ended) > _MAX_KEPT:
            del self._ended[next(iter(self._ended))]
        self._metrics.ended_targets.inc({})
        self._on_target_ended(target)
        streams = max(each.streams for each in probe.lost)
        streams = max(streams, float(len(probe.lost)))
        for each in probe.lost:
            self._log.warning(
                "Target {} ended while serving a request.",
                target.target_id,
                request_id=each.request_id,
                content=each.fingerprint,
                parts=each.shared_parts[: attempt_log.MAX_LOGGED_PARTS],
                born_ms=target.started_ms,
                streams=streams,
                there_ms=round(each.since_sent_ms),
                hall=target.hall,
            )
            self._on_crash(each)

    async def _probe_repeatedly(
        self, target: targets.Target, reported: asyncio.Event
    ) -> orders.ProbeResult:
        """Probes a few times at most, until the target responds.

        Args:
            target: The target.
            reported: Ends a pause between two probes.
        """
        result = await self._probe(target)
        for pause_ms in _REPROBE_PAUSES_MS:
            if result.status is not orders.ProbeStatus.NO_RESPONSE:
                break
            reported.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / 1000.0):
                    await reported.wait()
            result = await self._probe(target)
        return result


def _has_ended(
    incarnation: incarnations.Incarnation, result: orders.ProbeResult
) -> bool:
    """Returns whether an incarnation has certainly ended."""
    if result.status is orders.ProbeStatus.NOT_LISTENING:
        return True
    is_later = (
        result.started_ms > incarnation.started_ms > incarnations.START_UNKNOWN
    )
    return result.status is orders.ProbeStatus.ALIVE and is_later
