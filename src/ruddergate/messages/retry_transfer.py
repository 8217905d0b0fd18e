"""Second sends that gateways hand to each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTransferRequest:
    """Asks a peer for some of the second sends that it has saved up.

    Attributes:
        sender: Where the asking gateway takes datagrams (HOST:PORT).
        question: Name of this question; the answer repeats it.
        retries: Second sends that are asked for.
        is_great: Whether they are for prompts that are worth many short ones.
    """

    sender: str
    correlation_id: str
    retries: float
    is_large: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTransferReply:
    """The answer: what the lender has given up, perhaps 0.

    It is given for good. One that gets lost is spent by nobody.
    """

    correlation_id: str
    retries: float
