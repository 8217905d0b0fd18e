"""Transfer of retry budget between gateways."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTransferRequest:
    """Asks a peer for part of its unused retry budget.

    Attributes:
        sender: Address at which the requester receives datagrams (HOST:PORT).
        correlation_id: Identifies the request; the reply repeats it.
        retries: Number of retries requested.
        is_large: Whether they are for large prompts, each of which counts as
            much as many short ones.
    """

    sender: str
    correlation_id: str
    retries: float
    is_large: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTransferReply:
    """The reply: the number of retries that the lender gave up, possibly 0.

    The transfer is final. If the reply gets lost, nobody spends these retries.
    """

    correlation_id: str
    retries: float
