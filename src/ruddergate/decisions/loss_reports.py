"""Which unreachable targets a VM reports, and which reports it applies.

With many VMs and many targets, each loss is found many times over: seven
engines that died in a fleet of 195 VMs cost each VM requests of its own until
their entries expired. A loss that one VM found is a hint for the others: they
avoid the target for a moment, each for a different time, so that it is tried
later and by few of them. A VM that is itself cut off finds all targets
unreachable, so it reports a loss only in a hall that it has reached within
HALL_REACHED_MS; and its digests do not reach the VMs that it is cut off from.
"""

from collections.abc import Iterable

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


class LossReports:
    """Losses that this VM has found; owned by the scheduler task."""

    def __init__(self) -> None:
        self._terminated: dict[incarnations.Incarnation, float] = {}
        self._unresponsive: dict[incarnations.Incarnation, float] = {}
        self._unreachable_halls: dict[str, float] = {}
        self._reached_ms: dict[str, float] = {}

    def note_reached(
        self, hall: str, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a target has responded."""
        self._reached_ms[hall] = now_ms
        self._terminated.pop(incarnation, None)
        self._unresponsive.pop(incarnation, None)
        self._unreachable_halls.pop(hall, None)

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
        losses = self._unresponsive if is_unresponsive else self._terminated
        losses[incarnation] = now_ms
        return True

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
            _drop_expired(losses, now_ms)
        if (
            not self._terminated
            and not self._unresponsive
            and not self._unreachable_halls
        ):
            return loss_report.EMPTY
        if len(self._terminated) + len(self._unresponsive) > MAX_REPORTED:
            return loss_report.EMPTY
        return loss_report.LossReport(
            tuple(map(incarnations.format_incarnation, self._terminated)),
            tuple(map(incarnations.format_incarnation, self._unresponsive)),
            tuple(self._unreachable_halls),
        )


def _drop_expired(losses: dict, now_ms: float) -> None:
    for name, at_ms in list(losses.items()):
        if now_ms - at_ms > REPORT_DURATION_MS:
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
