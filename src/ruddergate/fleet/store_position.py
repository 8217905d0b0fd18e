"""A point in the history of the platform's store."""

import dataclasses

# Stands where the store, or a peer of an earlier release, names no epoch.
EPOCH_UNKNOWN = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Orders what the store has published, epoch first.

    A store that is restored from an older copy gives out revisions again, so a
    revision by itself is no order.

    Attributes:
        epoch: Rises with each restore; EPOCH_UNKNOWN if not named.
        revision: The store's counter of changes within the epoch.
    """

    epoch: int
    revision: int

    def describe(self) -> dict[str, int]:
        """Returns it as fields of a log line."""
        return {"known_epoch": self.epoch, "known_revision": self.revision}
