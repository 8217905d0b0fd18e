"""The digest that agents gossip."""

import dataclasses

from ruddergate.fleet import dispatched


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRow:
    """What the sender knows about one VM.

    Attributes:
        vm_id: The VM.
        hall: Its hall.
        incarnation: Incarnation of its agent; increases with each start.
        heartbeat: Counter that only that agent increments.
        age_ms: Time since that agent incremented it, as far as the sender
            knows.
        draining: Whether it announced that it is shutting down as planned.
        revision: Revision of the settings tree in force there.
        service_age_ms: Time since that agent last got a response from the
            configuration service.
    """

    vm_id: str
    hall: str
    incarnation: int
    heartbeat: int
    age_ms: float
    draining: bool
    revision: int
    service_age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """A digest of bounded size; the reply to a digest is another digest.

    Attributes:
        sender: The VM of the sender.
        hall: The sender's hall.
        revision: Revision of the settings tree in force at the sender.
        listing_version: Version of the sender's listing.
        listing_age_ms: Time since the platform last confirmed that listing.
        members: Rows of some VMs; the sender's own row is first.
        dispatched: Work in flight from the sender's entry, by target.
    """

    sender: str
    hall: str
    revision: int
    listing_version: int
    listing_age_ms: float
    members: tuple[MemberRow, ...]
    dispatched: tuple[dispatched.Dispatched, ...]
