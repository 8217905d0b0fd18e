"""Losses of targets and halls, found by this VM or reported by peers."""

from collections.abc import Callable
from collections.abc import Iterable
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
        rng: Draws how long a target that a peer reported is avoided, and which
            VMs verify such reports.
        verify: Called with a target that was reported as terminated, to find
            out whether it responds to this VM, and whether this VM reported it.
        on_refuted: Called with each incarnation that was found to be alive
            after such a report, and whether this VM has found it.
        count_peers: Returns the number of known peers.

    Attributes:
        ended: Incarnations of targets that have ended.
    """

    def __init__(
        self,
        rng: random.Random,
        verify: Callable[
            [targets.Target, bool], None
        ] = lambda target, is_own: None,
        on_refuted: Callable[
            [incarnations.Incarnation, bool], None
        ] = lambda incarnation, is_own: None,
        count_peers: Callable[[], int] = lambda: 0,
    ) -> None:
        self.ended = ended_incarnations.EndedIncarnations()
        self._rng = rng
        self._verify = verify
        self._on_refuted = on_refuted
        self._count_peers = count_peers
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

    def note_flooding(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target sent a response without end.

        Peers avoid it for a moment, as if it did not respond. Its hall is
        reachable, though.
        """
        is_reported = self._loss_reports.note_unreachable(
            target.hall, target.incarnation, True, now_ms
        )
        self._log.warning(
            "Target {} sent a response without end.",
            target.target_id,
            born_ms=target.started_ms,
            hall=target.hall,
            is_reported=is_reported,
        )

    def note_ended(self, target: targets.Target, now_ms: float) -> None:
        """Records that a target's incarnation seems to have ended.

        Without a report to peers none of them could refute it, so only what is
        reported is believed.
        """
        is_reported = self._loss_reports.note_unreachable(
            target.hall, target.incarnation, False, now_ms
        )
        if is_reported:
            self.ended.note(target.incarnation, now_ms)
            self._verify(target, True)
        self._log.info(
            "Target {} seems to have ended.",
            target.target_id,
            born_ms=target.started_ms,
            hall=target.hall,
            is_reported=is_reported,
        )

    def note_end_confirmed(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Records that nothing listens where a target reported as ended was."""
        is_refuted = self._loss_reports.is_refuted(incarnation, now_ms)
        if not is_refuted and not self.ended.is_recent(incarnation, now_ms):
            self.ended.note(incarnation, now_ms)

    def note_end_uncertain(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Records that something listens where a target seemed to have ended.

        It may be another target, so this refutes no report and is not gossiped.
        But the refused connections are outdated, and they were all that showed
        the end.
        """
        if not self.ended.is_recent(incarnation, now_ms):
            return
        self.ended.refute(incarnation, now_ms)
        self._log.info(
            "Target {} may be alive, as something listens at its address.",
            incarnation.target_id,
            born_ms=incarnation.started_ms,
        )

    def note_answered(self, target: targets.Target, at_ms: float) -> None:
        """Records that a target has responded, and when it last did."""
        self.ended.refute(target.incarnation, at_ms)
        self._reachability.note_reached(target.hall)
        is_refutation = self._loss_reports.note_reached(
            target.hall, target.incarnation, at_ms
        )
        if is_refutation:
            self._apply_refutation(target.incarnation, True)

    def is_refuted(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether the end of a target was refuted just now."""
        return self._loss_reports.is_refuted(incarnation, now_ms)

    def is_end_reported(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether a report that a target ended stands."""
        return self._loss_reports.is_suspected(incarnation, now_ms)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether a hall is to be avoided now."""
        return self._reachability.is_suspect(hall, now_ms)

    def summarize(self, now_ms: float) -> loss_report.LossReport:
        """Returns the losses to report to peers now."""
        return self._loss_reports.summarize(now_ms)

    def summarize_refuted(self, now_ms: float) -> tuple[str, ...]:
        """Returns the refuted ends to report to peers now."""
        return self._loss_reports.summarize_refuted(now_ms)

    def merge_refuted(self, names: Iterable[str], now_ms: float) -> None:
        """Drops beliefs in ends that peers have refuted."""
        for name in names:
            incarnation = incarnations.parse_incarnation(name)
            if not self._loss_reports.is_refuted(incarnation, now_ms):
                self._loss_reports.note_refuted(incarnation, now_ms)
                self._apply_refutation(incarnation, False)

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
            incarnation = incarnations.parse_incarnation(name)
            self._merge_terminated(
                incarnation, find_estimate(incarnation), now_ms
            )
        for name in (*report.terminated, *report.unresponsive):
            estimate = find_estimate(incarnations.parse_incarnation(name))
            if estimate is not None:
                pause_ms = self._rng.uniform(*loss_reports.AVOID_RANGE_MS)
                estimate.note_reported_lost(now_ms, pause_ms)
        for hall in report.unreachable_halls:
            if self._reachability.note_reported(hall, now_ms):
                self._log.warning("Hall {} is unreachable for peers.", hall)

    def _merge_terminated(
        self,
        incarnation: incarnations.Incarnation,
        estimate: estimates.Estimate | None,
        now_ms: float,
    ) -> None:
        """Verifies a peer's report of an end, or takes it over.

        A VM that is using the target believes the report only once it has found
        the same.
        """
        if self._loss_reports.is_refuted(incarnation, now_ms):
            return
        is_using = estimate is not None and estimate.own_streams() > 0
        if not is_using:
            self.ended.note(incarnation, now_ms)
        if estimate is None:
            return
        self._loss_reports.note_suspected(estimate.target.incarnation, now_ms)
        if loss_reports.choose_verifier(
            self._count_peers(), is_using, self._rng
        ):
            self._verify(estimate.target, False)

    def _apply_refutation(
        self, incarnation: incarnations.Incarnation, is_own: bool
    ) -> None:
        """Drops the belief that a target has ended."""
        self.ended.refute(incarnation)
        self._log.info(
            "Target {} is alive, though it was reported as ended.",
            incarnation.target_id,
            born_ms=incarnation.started_ms,
            is_own=is_own,
        )
        self._on_refuted(incarnation, is_own)
