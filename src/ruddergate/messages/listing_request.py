"""Asks a peer for its list of VMs and targets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ListingRequest:
    """A request for the list; the answer is a `FleetView`.

    Attributes:
        version: Version of the list at the sender.
    """

    version: int
