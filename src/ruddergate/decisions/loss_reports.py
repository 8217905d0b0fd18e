"""Which unreachable targets a VM reports, and which reports it applies.

With many VMs and many targets, each loss would be found many times over, at the
cost of requests. A loss that one VM found is a hint for the others: they avoid
the target for a moment, each for a different time, so that it is tried later
and by few of them. A VM that is itself cut off finds all targets unreachable,
so it reports a loss only in a hall that it has reached within HALL_REACHED_MS;
and its digests do not reach the VMs that it is cut off from.

A VM that is cut off from a pool, in a way that refuses connections, cannot tell
that from a crash of the pool. As in SWIM, a report that a target has terminated
is therefore refuted by any VM to which the target responds after it.
"""

from collections.abc import Iterable
import random

from ruddergate.decisions import peer_groups
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import loss_report

# How long a loss is reported. Two rounds of digests miss it at most once, and
# what was found while a hall was cut off is dropped soon after.
REPORT_DURATION_MS = 1_200.0
# A hall counts as reached for this time after a response from there.
HALL_REACHED_MS = 2_000.0
# Targets reported at once. If there are more, this VM is more likely at fault,
# and it reports nothing.
MAX_REPORTED = 16
# How long a target that a peer reported is avoided, drawn from this range: the
# first VM that tries it again then reports the result to the others.
AVOID_RANGE_MS = (600.0, 1_800.0)
# After a refutation no report of a termination is believed for this time, as
# some are still on their way, and VMs that are cut off repeat theirs.
REFUTED_MS = 2_000.0
# Responses within this time refute a report. A later one is no news to peers,
# which have dropped it by then.
REFUTABLE_MS = 5_000.0
# VMs that verify a report although they are not using the target. In a small
# fleet all do, as few of them may reach it.
MIN_VERIFIERS = 6


class LossReports:
    """Losses that this VM has found; owned by the scheduler task."""

    def __init__(self) -> None:
        self._terminated: dict[incarnations.Incarnation, float] = {}
        self._unresponsive: dict[incarnations.Incarnation, float] = {}
        self._unreachable_halls: dict[str, float] = {}
        self._reached_ms: dict[str, float] = {}
        # When targets were last reported as terminated, by this VM or a peer.
        self._suspected: dict[incarnations.Incarnation, float] = {}
        # When such reports were refuted, by this VM and by any.
        self._own_refuted: dict[incarnations.Incarnation, float] = {}
        self._refuted: dict[incarnations.Incarnation, float] = {}

    def note_reached(
        self, hall: str, incarnation: incarnations.Incarnation, at_ms: float
    ) -> bool:
        """Notes that a target has responded.

        Args:
            hall: Its data hall.
            incarnation: The incarnation that responded.
            at_ms: When it last did.

        Returns:
            Whether that refutes a report that it has terminated.
        """
        self._reached_ms[hall] = at_ms
        self._terminated.pop(incarnation, None)
        self._unresponsive.pop(incarnation, None)
        self._unreachable_halls.pop(hall, None)
        suspected_ms = self._suspected.get(incarnation)
        if suspected_ms is None or at_ms <= suspected_ms:
            return False
        del self._suspected[incarnation]
        if at_ms - suspected_ms > REFUTABLE_MS:
            return False
        self._own_refuted[incarnation] = at_ms
        self.note_refuted(incarnation, at_ms)
        return True

    def note_suspected(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a peer reported a target as terminated."""
        _drop_older(self._suspected, now_ms - REFUTABLE_MS)
        self._suspected[incarnation] = now_ms

    def is_suspected(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether a report that a target terminated can be refuted."""
        suspected_ms = self._suspected.get(incarnation, float("-inf"))
        return now_ms - suspected_ms <= REFUTABLE_MS

    def note_refuted(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a target responded after it was reported as terminated."""
        _drop_older(self._refuted, now_ms - REFUTED_MS)
        self._terminated.pop(incarnation, None)
        self._refuted[incarnation] = now_ms

    def is_refuted(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether the end of a target was refuted just now."""
        refuted_ms = self._refuted.get(incarnation, float("-inf"))
        return now_ms - refuted_ms <= REFUTED_MS

    def note_unreachable(
        self,
        hall: str,
        incarnation: incarnations.Incarnation,
        is_unresponsive: bool,
        now_ms: float,
    ) -> bool:
        """Notes that a target is unreachable.

        Args:
            hall: Its data hall.
            incarnation: The incarnation that was tried.
            is_unresponsive: Whether nothing came back at all; otherwise the
                connection was refused or another target answered.
            now_ms: Time.

        Returns:
            Whether it will be reported.
        """
        reached_ms = self._reached_ms.get(hall, float("-inf"))
        if now_ms - reached_ms > HALL_REACHED_MS:
            return False
        if is_unresponsive:
            self._unresponsive[incarnation] = now_ms
            return True
        if self.is_refuted(incarnation, now_ms):
            return False
        self._terminated[incarnation] = now_ms
        self.note_suspected(incarnation, now_ms)
        return len(self._terminated) <= MAX_REPORTED

    def note_hall_unreachable(
        self, hall: str, since_ms: float, now_ms: float
    ) -> bool:
        """Notes a hall that seems cut off.

        Args:
            hall: The hall.
            since_ms: When targets of it were first found unreachable.
            now_ms: Time.

        Returns:
            Whether it will be reported. If no hall was reached since then, this
            VM may be the one that is cut off.
        """
        if all(at_ms < since_ms for at_ms in self._reached_ms.values()):
            return False
        self._unreachable_halls[hall] = now_ms
        return True

    def summarize(self, now_ms: float) -> loss_report.LossReport:
        """Returns the losses to report to peers now."""
        for losses in (
            self._terminated,
            self._unresponsive,
            self._unreachable_halls,
        ):
            _drop_older(losses, now_ms - REPORT_DURATION_MS)
        terminated = _format_names(self._terminated)
        unresponsive = _format_names(self._unresponsive)
        halls = tuple(self._unreachable_halls)
        if len(terminated) + len(unresponsive) > MAX_REPORTED:
            terminated, unresponsive, halls = (), (), ()
        if not terminated and not unresponsive and not halls:
            return loss_report.EMPTY
        return loss_report.LossReport(terminated, unresponsive, halls)

    def summarize_refuted(self, now_ms: float) -> tuple[str, ...]:
        """Returns the refuted ends to report to peers now."""
        if not self._own_refuted:
            return ()
        _drop_older(self._own_refuted, now_ms - REPORT_DURATION_MS)
        return _format_names(self._own_refuted)


def choose_verifier(peers: int, is_using: bool, rng: random.Random) -> bool:
    """Returns whether this VM verifies a report that a target has terminated.

    Args:
        peers: Number of known peers.
        is_using: Whether this VM has requests at the target.
        rng: Draws a few VMs of a large fleet.
    """
    if is_using or peers <= peer_groups.MAX_FULL_MESH_VMS:
        return True
    return rng.random() < MIN_VERIFIERS / peers


def _format_names(
    losses: Iterable[incarnations.Incarnation],
) -> tuple[str, ...]:
    return tuple(map(incarnations.format_incarnation, losses))


def _drop_older(losses: dict, than_ms: float) -> None:
    for name, at_ms in list(losses.items()):
        if at_ms < than_ms:
            del losses[name]


def select_applicable(
    report: loss_report.LossReport, is_same_hall: bool
) -> loss_report.LossReport:
    """Returns the part of a peer's report that applies to this VM.

    A target that did not respond to a VM of another hall may respond here.
    """
    if is_same_hall:
        return report
    return loss_report.LossReport(terminated=report.terminated)


def find_new(
    report: loss_report.LossReport, previous: loss_report.LossReport
) -> loss_report.LossReport:
    """Returns what a peer's report adds to that of its previous digest."""
    return loss_report.LossReport(
        _without(report.terminated, previous.terminated),
        _without(report.unresponsive, previous.unresponsive),
        _without(report.unreachable_halls, previous.unreachable_halls),
    )


def merge(reports: Iterable[loss_report.LossReport]) -> loss_report.LossReport:
    """Returns the reports of several peers as one, each name once."""
    terminated: dict[str, None] = {}
    unresponsive: dict[str, None] = {}
    halls: dict[str, None] = {}
    for each in reports:
        terminated.update(dict.fromkeys(each.terminated))
        unresponsive.update(dict.fromkeys(each.unresponsive))
        halls.update(dict.fromkeys(each.unreachable_halls))
    return loss_report.LossReport(
        tuple(terminated), tuple(unresponsive), tuple(halls)
    )


def _without(
    names: tuple[str, ...], others: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(name for name in names if name not in others)
