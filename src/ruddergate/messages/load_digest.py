"""A gateway's own work on targets, told to its peers in one datagram."""

import dataclasses

from ruddergate.fleet import dispatched


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest:
    """What one gateway has running, as it stood when this was sent.

    Attributes:
        sender: Where the sender takes datagrams (HOST:PORT).
        incarnation: Name of this run of the sender.
        number: Rises with each digest of an incarnation.
        peers: Some peers that the sender has lately heard (HOST:PORT).
        rows: Its work on targets; targets without any are left out.
    """

    sender: str
    incarnation: str
    number: int
    peers: tuple[str, ...]
    rows: tuple[dispatched.Dispatched, ...]
