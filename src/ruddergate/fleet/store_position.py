"""A position in the history of the platform's store."""

import dataclasses

# Used when the store, or a peer of an earlier release, reports no epoch.
EPOCH_UNKNOWN = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Orders what the store has published, by epoch and then by revision.

    A store that is restored from an older copy reuses revisions, so a revision
    alone does not define an order.

    Attributes:
        epoch: Increases with each restore; EPOCH_UNKNOWN if not reported.
        revision: The store's change counter within the epoch.
    """

    epoch: int
    revision: int

    def describe(self) -> dict[str, int]:
        """Returns the position as log fields."""
        return {"known_epoch": self.epoch, "known_revision": self.revision}
