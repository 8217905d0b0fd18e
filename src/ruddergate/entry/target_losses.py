"""Losses of targets and halls, found by this VM or reported by peers."""

from collections.abc import Callable
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import loss_reports
from ruddergate.decisions import reachability
from ruddergate.entry import ended_incarnations
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import loss_report
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
            since_ms = self._reachability.find_first_failure_ms(hall, now_ms)
            is_reported = self._loss_reports.note_hall_unreachable(
                hall, since_ms, now_ms
            )
            self._log.warning(
                "Hall {} is unreachable.", hall, is_reported=is_reported
            )
        self._loss_reports.note_unreachable(
            hall, target.incarnation, True, now_ms
        )

    def note_ended(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target's incarnation has certainly ended."""
        self._loss_reports.note_unreachable(
            target.hall, target.incarnation, False, now_ms
        )
        self.ended.note(target.incarnation, now_ms)

    def note_answered(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target has responded."""
        self.ended.refute(target.incarnation)
        self._reachability.note_reached(target.hall)
        self._loss_reports.note_reached(target.hall, target.incarnation, now_ms)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether a hall is to be avoided now."""
        return self._reachability.is_suspect(hall, now_ms)

    def summarize(self, now_ms: float) -> loss_report.LossReport:
        """Returns the losses to report to peers now."""
        return self._loss_reports.summarize(now_ms)

    def merge_gossip(
        self,
        report: loss_report.LossReport,
        find_estimate: Callable[
            [incarnations.Incarnation], estimates.Estimate | None
        ],
        now_ms: float,
    ) -> None:
        """Avoids for a short time what peers reported as unreachable."""
        for name in report.terminated:
            self.ended.note(incarnations.parse_incarnation(name), now_ms)
        for name in (*report.terminated, *report.unresponsive):
            estimate = find_estimate(incarnations.parse_incarnation(name))
            if estimate is not None:
                pause_ms = self._rng.uniform(*loss_reports.AVOID_RANGE_MS)
                estimate.note_reported_lost(now_ms, pause_ms)
        for hall in report.unreachable_halls:
            if self._reachability.note_reported(hall, now_ms):
                self._log.warning("Hall {} is unreachable for peers.", hall)
