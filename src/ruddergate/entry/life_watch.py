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
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# A target from which nothing came back is asked again after these pauses: a
# packet is lost now and then, and a VM that is slow reads answers late. One
# behind a cut stays silent, and nothing is concluded.
_ASK_AGAIN_MS = (300.0, 1_000.0)


@dataclasses.dataclass(slots=True)
class _Question:
    """A target that is being asked, and the calls that wait to know."""

    task: asyncio.Task
    lost: list[lost_call.LostCall]


class LifeWatch:
    """Asks each target once for all the calls that it lost together.

    Args:
        ask_sign: Asks a target for a sign of life.
        note_ended: Is told each call under which a target ended.
        note_life: Is told each target that has ended, once.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        note_ended: Callable[[lost_call.LostCall], None],
        note_life: Callable[[targets.Target], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._ask_sign = probe
        self._note_ended = note_ended
        self._note_life = note_life
        self._metrics = metrics
        self._questions: dict[incarnations.Incarnation, _Question] = {}
        self._log = logs.make_logger("attempt")

    def post(self, lost: lost_call.LostCall) -> None:
        """Has it found out whether a call's target has ended."""
        incarnation = lost.target.incarnation
        question = self._questions.get(incarnation)
        if question is not None:
            question.lost.append(lost)
            return
        task = asyncio.ensure_future(self._find_out(lost.target))
        self._questions[incarnation] = _Question(task, [lost])

    async def _find_out(self, target: targets.Target) -> None:
        told = await self._ask_again(target)
        question = self._questions.pop(target.incarnation)
        if not _has_ended(target.incarnation, told):
            return
        self._metrics.targets_ended.inc({})
        self._note_life(target)
        streams = max(each.streams for each in question.lost)
        streams = max(streams, float(len(question.lost)))
        for each in question.lost:
            self._log.warning(
                "Target {} has ended under a call.",
                target.target_id,
                request_id=each.request_id,
                content=each.content,
                born_ms=target.started_ms,
                streams=streams,
                there_ms=round(each.there_ms),
                hall=target.hall,
            )
            self._note_ended(each)

    async def _ask_again(self, target: targets.Target) -> orders.ProbeResult:
        """Asks until something comes back, a few times at most."""
        told = await self._ask_sign(target)
        for pause_ms in _ASK_AGAIN_MS:
            if told.status is not orders.ProbeStatus.NO_RESPONSE:
                break
            await asyncio.sleep(pause_ms / 1000.0)
            told = await self._ask_sign(target)
        return told


def _has_ended(
    incarnation: incarnations.Incarnation, told: orders.ProbeResult
) -> bool:
    """Returns whether a life is certainly over."""
    if told.status is orders.ProbeStatus.NOT_LISTENING:
        return True
    is_younger = (
        told.started_ms > incarnation.started_ms > incarnations.START_UNKNOWN
    )
    return told.status is orders.ProbeStatus.ALIVE and is_younger
