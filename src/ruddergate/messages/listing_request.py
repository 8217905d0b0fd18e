"""Requests a peer's listing of VMs and targets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ListingRequest:
    """A request for the listing; the reply is a `FleetView`.

    Attributes:
        version: Version of the listing at the sender.
    """

    version: int
