"""Which losses of targets a VM tells its peers, and which it takes from them.

Many VMs before many targets find each loss many times over: seven engines that
died in a fleet of 195 VMs cost each VM calls of its own until their entries
lapsed. What one VM found is a hint for the others: they pass a target over for
a moment, each for another time, so that it is tried later and by few. A VM
that is itself cut off finds all others out of reach; it tells a loss only in a
hall that it has lately reached, and to nobody that the cut keeps it from.
"""

from collections.abc import Iterable

from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import loss_report

# A loss is told for so long: two rounds of digests miss it at most once, and
# what was found in a cut is forgotten soon after its end.
TOLD_MS = 1_200.0
# A hall counts as reached for so long after an answer from there.
REACHED_MS = 2_000.0
# Losses that are told at once. More than this is more likely this VM's fault.
TOLD_MOST = 16
# How long a target is passed over that a peer found lost, drawn from this
# range: the first VM that tries it again tells the others how it fared.
PAUSE_MS = (600.0, 1_800.0)


class LossesFound:
    """Losses that this VM has found; owned by the scheduler task."""

    def __init__(self) -> None:
        self._gone: dict[incarnations.Incarnation, float] = {}
        self._silent: dict[incarnations.Incarnation, float] = {}
        self._halls: dict[str, float] = {}
        self._reached_ms: dict[str, float] = {}

    def note_reached(
        self, hall: str, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a target has answered."""
        self._reached_ms[hall] = now_ms
        self._gone.pop(incarnation, None)
        self._silent.pop(incarnation, None)
        self._halls.pop(hall, None)

    def note_lost(
        self,
        hall: str,
        incarnation: incarnations.Incarnation,
        is_silent: bool,
        now_ms: float,
    ) -> bool:
        """Notes a target that is not there; returns whether it is told."""
        reached_ms = self._reached_ms.get(hall, float("-inf"))
        if now_ms - reached_ms > REACHED_MS:
            return False
        found = self._silent if is_silent else self._gone
        found[incarnation] = now_ms
        return True

    def note_hall_lost(self, hall: str, now_ms: float) -> None:
        """Notes a hall that seems cut off."""
        self._halls[hall] = now_ms

    def summarize(self, now_ms: float) -> loss_report.LossReport:
        """Returns what peers are to be told now."""
        for found in (self._gone, self._silent, self._halls):
            _forget_old(found, now_ms)
        if not self._gone and not self._silent and not self._halls:
            return loss_report.EMPTY
        if len(self._gone) + len(self._silent) > TOLD_MOST:
            return loss_report.EMPTY
        return loss_report.LossReport(
            tuple(map(incarnations.format_incarnation, self._gone)),
            tuple(map(incarnations.format_incarnation, self._silent)),
            tuple(self._halls),
        )


def _forget_old(found: dict, now_ms: float) -> None:
    for name, at_ms in list(found.items()):
        if now_ms - at_ms > TOLD_MS:
            del found[name]


def select_for(
    told: loss_report.LossReport, is_same_hall: bool
) -> loss_report.LossReport:
    """Returns what of a peer's news holds for this VM.

    What did not answer a VM of another hall may well answer here.
    """
    if is_same_hall:
        return told
    return loss_report.LossReport(terminated=told.terminated)


def find_new(
    told: loss_report.LossReport, before: loss_report.LossReport
) -> loss_report.LossReport:
    """Returns what a peer did not tell already in its digest before."""
    return loss_report.LossReport(
        _without(told.terminated, before.terminated),
        _without(told.unresponsive, before.unresponsive),
        _without(told.unreachable_halls, before.unreachable_halls),
    )


def merge(news: Iterable[loss_report.LossReport]) -> loss_report.LossReport:
    """Returns several peers' news as one, each name once."""
    terminated: dict[str, None] = {}
    unresponsive: dict[str, None] = {}
    unreachable_halls: dict[str, None] = {}
    for each in news:
        terminated.update(dict.fromkeys(each.terminated))
        unresponsive.update(dict.fromkeys(each.unresponsive))
        unreachable_halls.update(dict.fromkeys(each.unreachable_halls))
    return loss_report.LossReport(
        tuple(terminated), tuple(unresponsive), tuple(unreachable_halls)
    )


def _without(
    names: tuple[str, ...], others: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(name for name in names if name not in others)
