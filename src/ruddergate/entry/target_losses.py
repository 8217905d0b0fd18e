"""Losses of targets and halls, found by this VM or reported by peers."""

from collections.abc import Callable
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import loss_reports
from ruddergate.decisions import reachability
from ruddergate.entry import ended_incarnations
from ruddergate.fleet import bad_news
from ruddergate.fleet import life as lives
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs


class TargetLosses:
    """Tracks lost targets and halls; owned by the scheduler task.

    Args:
        rng: Draws how long a target that a peer reported is avoided.

    Attributes:
        ended: Incarnations of targets that have ended.
    """

    def __init__(self, rng: random.Random) -> None:
        self.ended = ended_incarnations.EndedIncarnations()
        self._rng = rng
        self._loss_reports = loss_reports.LossReports()
        self._reachability = reachability.Reachability()
        self._log = logs.make_logger("scheduler")

    def note_unreachable(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target did not respond."""
        hall = target.hall
        if self._reachability.note_connect_failure(
            hall, target.target_id, now_ms
        ):
            self._log.warning("Hall {} is unreachable.", hall)
            self._loss_reports.note_hall_unreachable(hall, now_ms)
        self._loss_reports.note_unreachable(hall, target.life, True, now_ms)

    def note_ended(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target's incarnation has certainly ended."""
        self._loss_reports.note_unreachable(
            target.hall, target.life, False, now_ms
        )
        self.ended.note(target.life)

    def note_answered(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target has responded."""
        self._reachability.note_reached(target.hall)
        self._loss_reports.note_reached(target.hall, target.life, now_ms)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether a hall is to be avoided now."""
        return self._reachability.is_suspect(hall, now_ms)

    def summarize(self, now_ms: float) -> bad_news.BadNews:
        """Returns the losses to report to peers now."""
        return self._loss_reports.summarize(now_ms)

    def merge_gossip(
        self,
        report: bad_news.BadNews,
        find_estimate: Callable[[lives.Life], estimates.Estimate | None],
        now_ms: float,
    ) -> None:
        """Avoids for a short time what peers reported as unreachable."""
        for name in report.gone:
            self.ended.note(lives.parse_life(name))
        for name in (*report.gone, *report.silent):
            estimate = find_estimate(lives.parse_life(name))
            if estimate is not None:
                pause_ms = self._rng.uniform(*loss_reports.AVOID_RANGE_MS)
                estimate.note_reported_lost(now_ms, pause_ms)
        for hall in report.halls:
            if self._reachability.note_reported(hall, now_ms):
                self._log.warning("Hall {} is unreachable for peers.", hall)
