"""Shares of fleet-wide limits: the sum over VMs never exceeds the limit.

Each hall has its share, which the settings tree may set. Inside a hall, a VM's
base is an equal share, counted over every VM of the hall that it knows from any
source. A fresh VM's base is zero until all listed VMs of its hall have answered
it, because then they know of it and have lowered theirs. On top of that, VMs
lend each other quota: the lender lowers its own share before it replies, and
takes the quota back only after the time for which it was requested.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

LOAN_VALID_MS = 4_000.0
# Covers the drift between the clocks of two VMs during a loan.
LOAN_CLOCK_MARGIN_MS = 200.0
# A lender keeps its own use times this factor.
KEPT_USE_FACTOR = 1.25


def hall_fraction(
    hall: str, hall_percent: Mapping[str, float], halls: Iterable[str]
) -> float:
    """Returns a hall's share of a limit, from 0 to 1.

    Args:
        hall: The hall.
        hall_percent: Shares set in the tree; empty for equal shares.
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
    """Returns a VM's share of its hall's share, before loans.

    Args:
        listed: VMs of the hall in the published list.
        known: VMs of the hall known from gossip or contact.
        answered: VMs that have answered this incarnation of the VM.
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
    """Loans that one VM has granted and received; owned by its agent."""

    def __init__(self) -> None:
        self._granted: dict[str, list[_Loan]] = {}
        self._received: dict[str, list[_Loan]] = {}

    def find_fraction(
        self, workspace: str, base: float, now_ms: float
    ) -> float:
        """Returns the share that this VM may use now."""
        granted = _sum_open(self._granted, workspace, now_ms)
        received = _sum_open(self._received, workspace, now_ms)
        return max(0.0, base - granted) + received

    def lend(
        self,
        workspace: str,
        base: float,
        used: float,
        requested: float,
        valid_ms: float,
        now_ms: float,
    ) -> float:
        """Grants a loan of at most half of what this VM does not need.

        Args:
            workspace: The workspace.
            base: This VM's base share.
            used: Share that this VM's recent demand takes.
            requested: Share that is requested.
            valid_ms: Time for which it is requested.
            now_ms: Monotonic time.

        Returns:
            The share that is lent, or 0.
        """
        own = base - _sum_open(self._granted, workspace, now_ms)
        spare = own - used * KEPT_USE_FACTOR
        fraction = max(0.0, min(requested, spare / 2.0))
        if fraction > 0.0:
            until_ms = now_ms + valid_ms + LOAN_CLOCK_MARGIN_MS
            loans = self._granted.setdefault(workspace, [])
            loans.append(_Loan(fraction, until_ms))
        return fraction

    def borrow(
        self,
        workspace: str,
        fraction: float,
        requested_ms: float,
        valid_ms: float,
    ) -> None:
        """Notes what a peer lent; it counts from the time of the request."""
        if fraction > 0.0:
            loans = self._received.setdefault(workspace, [])
            loans.append(_Loan(fraction, requested_ms + valid_ms))

    def find_next_expiry_ms(self, workspace: str, now_ms: float) -> float:
        """Returns when the next received loan ends; infinity without any."""
        ends = [
            loan.until_ms
            for loan in self._received.get(workspace, ())
            if loan.until_ms > now_ms
        ]
        return min(ends, default=float("inf"))

    def list_open_loans(self, now_ms: float) -> list[str]:
        """Returns the workspaces with open loans; drops the expired ones."""
        for loans in (self._granted, self._received):
            for workspace in list(loans):
                open_loans = [
                    x for x in loans[workspace] if x.until_ms > now_ms
                ]
                if open_loans:
                    loans[workspace] = open_loans
                else:
                    del loans[workspace]
        return sorted(set(self._granted) | set(self._received))


def _sum_open(
    loans: Mapping[str, list[_Loan]], workspace: str, now_ms: float
) -> float:
    return sum(
        loan.fraction
        for loan in loans.get(workspace, ())
        if loan.until_ms > now_ms
    )
