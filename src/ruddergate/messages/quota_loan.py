"""Loans of quota between agents of a hall."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLoanRequest:
    """Asks a peer to lend a share of a workspace's limit.

    Attributes:
        borrower: The requesting VM.
        workspace: The workspace.
        fraction: Requested share of the fleet-wide limit.
        valid_ms: Requested duration of the loan, from the request on.
    """

    borrower: str
    workspace: str
    fraction: float
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLoanReply:
    """The reply: the share that the lender has given up, possibly 0."""

    workspace: str
    fraction: float
