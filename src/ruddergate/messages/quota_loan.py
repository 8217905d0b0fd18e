"""Lending parts of limits between agents of a hall."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLoanRequest:
    """Asks a peer to lend part of a workspace's limit.

    Attributes:
        borrower: The asking VM.
        workspace: The workspace.
        fraction: Part of the fleet's limit that is asked for.
        valid_ms: Time from the asking for which it is wanted.
    """

    borrower: str
    workspace: str
    fraction: float
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLoanReply:
    """The answer: the part that the lender has given up, perhaps 0."""

    workspace: str
    fraction: float
