"""Parts of fleet-wide limits: the sum over VMs never exceeds the limit.

Each hall has its part in the tree. Inside a hall, a VM's base is an equal
part, counted over every VM of the hall that it knows of from any source; a
fresh VM's base is nothing until all listed VMs of its hall have answered it,
which means that they know of it and have lowered theirs. On top of that, VMs
lend each other parts: the lender lowers its own part before it answers, and
takes it back only after the time for which it was asked.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

LOAN_VALID_MS = 4_000.0
# Covers the difference in rate of two VMs' clocks.
LOAN_MARGIN_MS = 200.0
# A lender keeps this much above its own use.
KEPT_ABOVE_USE = 1.25


def hall_fraction(
    hall: str, hall_percent: Mapping[str, float], halls: Iterable[str]
) -> float:
    """Returns a hall's part of a limit.

    Args:
        hall: The hall.
        hall_percent: Parts set in the tree; empty means equal parts.
        halls: Every hall ever seen in the list.
    """
    if hall_percent:
        return hall_percent.get(hall, 0.0) / 100.0
    known = set(halls) | {hall}
    return 1.0 / len(known)


def base_fraction(
    listed: Iterable[str],
    known: Iterable[str],
    answered: Iterable[str],
    own_id: str,
) -> float:
    """Returns a VM's part of its hall's part, before lending.

    Args:
        listed: VMs of the hall in the published list.
        known: VMs of the hall known from gossip or contact.
        answered: VMs that have answered this incarnation.
        own_id: This VM.
    """
    listed = set(listed)
    if own_id not in listed or not listed - {own_id} <= set(answered):
        return 0.0
    return 1.0 / len(listed | set(known))


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    fraction: float
    until_ms: float


class LoanBook:
    """Loans that one VM has given and taken; owned by its agent."""

    def __init__(self) -> None:
        self._given: dict[str, list[_Loan]] = {}
        self._taken: dict[str, list[_Loan]] = {}

    def find_fraction(
        self, workspace: str, base: float, now_ms: float
    ) -> float:
        """Returns the part that this VM may use now."""
        given = _sum(self._given, workspace, now_ms)
        taken = _sum(self._taken, workspace, now_ms)
        return max(0.0, base - given) + taken

    def lend(
        self,
        workspace: str,
        base: float,
        used: float,
        wanted: float,
        valid_ms: float,
        now_ms: float,
    ) -> float:
        """Gives up part of what is not used; returns how much.

        Args:
            workspace: The workspace.
            base: This VM's base.
            used: Part that this VM's recent demand takes.
            wanted: Part that is asked for.
            valid_ms: Time for which it is asked for.
            now_ms: Monotonic time.
        """
        own = base - _sum(self._given, workspace, now_ms)
        spare = own - used * KEPT_ABOVE_USE
        fraction = max(0.0, min(wanted, spare / 2.0))
        if fraction > 0.0:
            until_ms = now_ms + valid_ms + LOAN_MARGIN_MS
            loans = self._given.setdefault(workspace, [])
            loans.append(_Loan(fraction, until_ms))
        return fraction

    def borrow(
        self, workspace: str, fraction: float, asked_ms: float, valid_ms: float
    ) -> None:
        """Notes what a peer lent; it counts from the time of asking."""
        if fraction > 0.0:
            loans = self._taken.setdefault(workspace, [])
            loans.append(_Loan(fraction, asked_ms + valid_ms))

    def find_next_expiry_ms(self, workspace: str, now_ms: float) -> float:
        """Returns when a taken loan next ends; infinity without any."""
        ends = [
            loan.until_ms
            for loan in self._taken.get(workspace, ())
            if loan.until_ms > now_ms
        ]
        return min(ends, default=float("inf"))

    def list_open_loans(self, now_ms: float) -> list[str]:
        """Returns the workspaces with loans that still count."""
        for loans in (self._given, self._taken):
            for workspace in list(loans):
                live = [x for x in loans[workspace] if x.until_ms > now_ms]
                if live:
                    loans[workspace] = live
                else:
                    del loans[workspace]
        return sorted(set(self._given) | set(self._taken))


def _sum(
    loans: Mapping[str, list[_Loan]], workspace: str, now_ms: float
) -> float:
    return sum(
        loan.fraction
        for loan in loans.get(workspace, ())
        if loan.until_ms > now_ms
    )
