"""Losses of targets and halls that this VM finds, or is told of by peers."""

from collections.abc import Callable
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import losses_found
from ruddergate.decisions import reachability
from ruddergate.entry import life_ends
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import loss_report
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs


class TargetLosses:
    """What is known of losses; owned by the scheduler task.

    Args:
        chance: For how long what peers have lost is passed over.

    Attributes:
        ends: Tells of lives of targets that have ended.
    """

    def __init__(self, chance: random.Random) -> None:
        self.ends = life_ends.LifeEnds()
        self._chance = chance
        self._found = losses_found.LossesFound()
        self._reachability = reachability.Reachability()
        self._log = logs.make_logger("scheduler")

    def note_silent(self, target: targets.Target, now_ms: float) -> None:
        """Notes that nothing came back from a target."""
        hall = target.hall
        if self._reachability.note_missed(hall, target.target_id, now_ms):
            self._log.warning("Hall {} is out of reach.", hall)
            self._found.note_hall_lost(hall, now_ms)
        self._found.note_lost(hall, target.incarnation, True, now_ms)

    def note_gone(self, target: targets.Target, now_ms: float) -> None:
        """Notes that a target's life has certainly ended."""
        self._found.note_lost(target.hall, target.incarnation, False, now_ms)
        self.ends.note(target.incarnation)

    def note_answered(self, target: targets.Target, now_ms: float) -> None:
        """Notes that a target has answered."""
        self._reachability.note_reached(target.hall)
        self._found.note_reached(target.hall, target.incarnation, now_ms)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether a hall is to be passed over now."""
        return self._reachability.is_suspect(hall, now_ms)

    def summarize(self, now_ms: float) -> loss_report.LossReport:
        """Returns what peers are to be told now."""
        return self._found.summarize(now_ms)

    def take_told(
        self,
        told: loss_report.LossReport,
        find_estimate: Callable[
            [incarnations.Incarnation], estimates.Estimate | None
        ],
        now_ms: float,
    ) -> None:
        """Passes over for a moment what peers found out of reach."""
        for name in told.terminated:
            self.ends.note(incarnations.parse_incarnation(name))
        for name in (*told.terminated, *told.unresponsive):
            estimate = find_estimate(incarnations.parse_incarnation(name))
            if estimate is not None:
                pause_ms = self._chance.uniform(*losses_found.PAUSE_MS)
                estimate.note_told_lost(now_ms, pause_ms)
        for hall in told.unreachable_halls:
            if self._reachability.note_told(hall, now_ms):
                self._log.warning("Hall {} is out of reach of peers.", hall)
