"""Digests of several gateways in one datagram."""

import msgspec

from ruddergate.messages import load_digest


class LoadBundle(msgspec.Struct, frozen=True, array_like=True):
    """Digests on their way to peers.

    Attributes:
        sender: Where the sender of this datagram takes datagrams (HOST:PORT);
            it may be none of those whose digests these are.
        for_group: Whether the receiver is to pass them on to its group; else
            they are for the receiver alone.
        digests: The digests, at most one of a gateway.
    """

    sender: str
    for_group: bool
    digests: tuple[load_digest.LoadDigest, ...]
