"""The fleet as an agent sees it."""

import dataclasses

from ruddergate.fleet import listing


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The published listing and its age.

    Attributes:
        listing: VMs and targets.
        age_ms: Time since the platform last confirmed the listing.
        settled_ms: Time since the set of listed VMs last changed.
    """

    listing: listing.Listing
    age_ms: float
    settled_ms: float
