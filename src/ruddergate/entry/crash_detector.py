"""The tasks that find out whether targets have ended under calls.

A connection that breaks off says little: answers get lost and connections are
reset while their targets live. Where nobody listens any more, or a younger life
does, the life that had the call is over.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from ruddergate.entry import lost_call
from ruddergate.fleet import life as lives
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# A target from which nothing came back is asked again after these pauses: a
# packet is lost now and then, and a VM that is slow reads answers late. One
# behind a cut stays silent, and nothing is concluded.
_REPROBE_PAUSES_MS = (300.0, 1_000.0)


@dataclasses.dataclass(slots=True)
class _Probe:
    """A target that is being asked, and the calls that wait to know."""

    task: asyncio.Task
    lost: list[lost_call.LostCall]


class CrashDetector:
    """Asks each target once for all the calls that it lost together.

    Args:
        probe: Asks a target for a sign of life.
        on_crash: Is told each call under which a target ended.
        on_target_ended: Is told each target that has ended, once.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        probe: Callable[[targets.Target], Awaitable[orders.Told]],
        on_crash: Callable[[lost_call.LostCall], None],
        on_target_ended: Callable[[targets.Target], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._probe = probe
        self._on_crash = on_crash
        self._on_target_ended = on_target_ended
        self._metrics = metrics
        self._probes: dict[lives.Life, _Probe] = {}
        self._log = logs.make_logger("attempt")

    def on_lost_call(self, lost: lost_call.LostCall) -> None:
        """Has it found out whether a call's target has ended."""
        life = lost.target.life
        probe = self._probes.get(life)
        if probe is not None:
            probe.lost.append(lost)
            return
        task = asyncio.ensure_future(self._probe_target(lost.target))
        self._probes[life] = _Probe(task, [lost])

    async def _probe_target(self, target: targets.Target) -> None:
        told = await self._probe_repeatedly(target)
        probe = self._probes.pop(target.life)
        if not _has_ended(target.life, told):
            return
        self._metrics.targets_ended.inc({})
        self._on_target_ended(target)
        streams = max(each.streams for each in probe.lost)
        streams = max(streams, float(len(probe.lost)))
        for each in probe.lost:
            self._log.warning(
                "Target {} has ended under a call.",
                target.target_id,
                request_id=each.request_id,
                content=each.content,
                born_ms=target.born_ms,
                streams=streams,
                there_ms=round(each.there_ms),
                hall=target.hall,
            )
            self._on_crash(each)

    async def _probe_repeatedly(self, target: targets.Target) -> orders.Told:
        """Asks until something comes back, a few times at most."""
        told = await self._probe(target)
        for pause_ms in _REPROBE_PAUSES_MS:
            if told.sign is not orders.Sign.SILENT:
                break
            await asyncio.sleep(pause_ms / 1000.0)
            told = await self._probe(target)
        return told


def _has_ended(life: lives.Life, told: orders.Told) -> bool:
    """Returns whether a life is certainly over."""
    if told.sign is orders.Sign.GONE:
        return True
    is_younger = told.born_ms > life.born_ms > lives.BORN_UNKNOWN
    return told.sign is orders.Sign.ALIVE and is_younger
