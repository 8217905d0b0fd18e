"""Load digests of several gateways in one datagram."""

import msgspec

from ruddergate.messages import load_digest


class LoadBundle(msgspec.Struct, frozen=True, array_like=True):
    """Load digests sent to a peer.

    Attributes:
        sender: Address at which the sender receives datagrams (HOST:PORT);
            the sender may relay digests without adding its own.
        for_group: Whether the receiver is to relay them to its group; if not,
            they are for the receiver alone.
        digests: The digests, at most one per gateway.
    """

    sender: str
    for_group: bool
    digests: tuple[load_digest.LoadDigest, ...]
