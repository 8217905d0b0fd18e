"""Memory that engines hold for nobody."""

from collections.abc import Iterable
import dataclasses

# Beyond an item's lapse: covers clock drift and the last answer's way.
EXPIRY_GRACE_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldItem:
    """A stream, reservation or export as an engine lists it.

    Attributes:
        item_id: The engine's name for it.
        owner: VM and incarnation of the entry that it belongs to.
        age_ms: Age on the engine's own clock.
        lapse_ms: Age at which its owner has no more use for it.
    """

    item_id: str
    owner: str
    age_ms: float
    expiry_age_ms: float


def find_expired(items: Iterable[HeldItem]) -> tuple[str, ...]:
    """Returns the items that no request can still need.

    An item lapses with the time limit of its request, so a request of a VM
    that is only cut off is never swept. Who the owner is, and whether it
    seems dead, plays no part.
    """
    return tuple(
        item.item_id
        for item in items
        if item.age_ms > item.expiry_age_ms + EXPIRY_GRACE_MS
    )
