"""The digest that agents exchange."""

import dataclasses

from ruddergate.fleet import dispatched


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRow:
    """What the sender knows of one VM.

    Attributes:
        vm_id: The VM.
        hall: Its hall.
        incarnation: Incarnation of its agent; a later one is higher.
        heartbeat: Counter that only that agent raises.
        age_ms: Time since that agent raised it, as far as the sender knows.
        leaving: Whether it said that it is in a planned stop.
        revision: Revision in force there.
        service_age_ms: Age of that agent's last answer from the
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
    """A digest of fixed greatest size; the answer to one is another.

    Attributes:
        sender: The sender's VM.
        hall: The sender's hall.
        revision: Revision of the tree in force at the sender.
        listing_version: Version of the sender's list.
        listing_age_ms: Age of the platform's last word that it is current.
        members: Rows of some VMs, the sender's own first.
        dispatched: The sender's entry's work on targets.
    """

    sender: str
    hall: str
    revision: int
    listing_version: int
    listing_age_ms: float
    members: tuple[MemberRow, ...]
    dispatched: tuple[dispatched.Dispatched, ...]
