"""A connection to a target that a peer carries.

The requester connects to the peer and sends a DetourRequest. The peer connects
to the target and replies. The requester then sends DetourBegin, and from there
on bytes for the target; the peer replies again, and from there on sends the
target's bytes in chunks, so that the end of a chunk of length 0 tells a regular
end from the end of the peer.
"""

import dataclasses
import enum


class DetourResult(enum.StrEnum):
    """What became of a connection through a peer.

    Attributes:
        CONNECTED: The target accepted the connection.
        STARTED: The first bytes were sent to the target.
        REFUSED: Nothing listens at the target's address, as seen over a link
            that works.
        UNREACHABLE: The peer could not reach the target.
        BUSY: The peer carries as many connections as it can.
        NOT_LISTED: No target is listed at this address.
        NOT_ADMITTED: The target accepts no requests now. Nothing was sent.
        LATE: The first bytes were on their way for too long. Nothing was sent.
    """

    CONNECTED = "connected"
    STARTED = "started"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    NOT_LISTED = "not_listed"
    NOT_ADMITTED = "not_admitted"
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class DetourRequest:
    """Asks a peer for a connection to a target.

    Attributes:
        sender: Address at which the requester receives datagrams.
        address: Address of the target (HOST:PORT).
        is_order: Whether it is for an order or a health probe, which a target
            also accepts while it drains.
    """

    sender: str
    address: str
    is_order: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DetourBegin:
    """Precedes the first bytes for the target.

    Attributes:
        waited_ms: Time since the requester received CONNECTED.
    """

    waited_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DetourReply:
    """The peer's reply.

    Attributes:
        result: A value of DetourResult.
        detail: One sentence for logs.
    """

    result: str
    detail: str
