"""Finds items that engines still hold although no request needs them."""

from collections.abc import Iterable
import dataclasses

# Time after an item's expiry: covers clock drift and the delivery of the last
# answer.
EXPIRY_GRACE_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldItem:
    """A stream, reservation or export as an engine lists it.

    Attributes:
        item_id: The engine's name for it.
        owner: VM and incarnation of the entry that it belongs to.
        age_ms: Age on the engine's own clock.
        expiry_age_ms: Age from which its owner no longer needs it.
    """

    item_id: str
    owner: str
    age_ms: float
    expiry_age_ms: float


def find_expired(items: Iterable[HeldItem]) -> tuple[str, ...]:
    """Returns the items that no request can still need.

    An item expires with the time limit of its request, so requests of a VM that
    is only partitioned are never swept. The owner, and whether it seems dead,
    plays no part.
    """
    return tuple(
        item.item_id
        for item in items
        if item.age_ms > item.expiry_age_ms + EXPIRY_GRACE_MS
    )
