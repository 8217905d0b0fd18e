"""Targets that were removed from the list, and what may bring them back.

A store that is restored from an older copy lists targets again that were
removed since. Such an entry says nothing: a target that lives writes it anew.
Heartbeats that tell nothing new are no changes in the store, so they are seen
only where the whole list is read twice.
"""

import dataclasses

from ruddergate.fleet import target as targets

# Removals that are remembered, the oldest are forgotten first. A copy is some
# seconds old; this many go in a minute of a fast release of a large fleet.
REMOVED_MOST = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    """A target that was removed.

    Attributes:
        born_ms: The life that was listed last.
        is_binding: Whether the store was restored since.
        copied_sequence: Number of its entry in the copy; None until it is read.
    """

    started_ms: int
    is_binding: bool = False
    copied_sequence: int | None = None


class Removals:
    """Removed targets by name; owned by the list of targets."""

    def __init__(self) -> None:
        self._removed: dict[str, _Removal] = {}

    def note_removed(self, target: targets.Target) -> None:
        """Notes that a target went off the list."""
        self._removed.pop(target.target_id, None)
        self._removed[target.target_id] = _Removal(target.started_ms)
        if len(self._removed) > REMOVED_MOST:
            del self._removed[next(iter(self._removed))]

    def note_restored(self) -> None:
        """Has removals bind that the store may have lost."""
        for target_id, removal in self._removed.items():
            self._removed[target_id] = _Removal(removal.started_ms, True)

    def take_entry(self, target: targets.Target, is_all: bool) -> bool:
        """Takes in an entry; returns whether it was written since a restore.

        Args:
            target: The entry.
            is_all: Whether it stands in a list of everything, where it may be
                the copy's, or among changes.
        """
        name = target.target_id
        removal = self._removed.get(name)
        if removal is None:
            return True
        is_younger = target.started_ms > removal.started_ms
        if is_younger or not (removal.is_binding and is_all):
            del self._removed[name]
            return True
        copied = removal.copied_sequence
        if copied is None:
            self._removed[name] = dataclasses.replace(
                removal, copied_sequence=target.sequence
            )
            return False
        if target.sequence <= copied:
            return False
        del self._removed[name]
        return True
