"""Tombstones of targets that were removed from the list.

A store that is restored from an older copy lists targets again that have been
removed since. Such an entry doesn't show that its target is live; a live target
writes its entry again. The store does not report a heartbeat that changes
nothing else as a change, so it is seen only by reading the whole list twice.
"""

import dataclasses

from ruddergate.fleet import target as targets

# Tombstones that are kept; the oldest are dropped first. A copy is some seconds
# old; a fast release of a large fleet removes this many targets in a minute.
MAX_TOMBSTONES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Tombstone:
    """A target that was removed.

    Attributes:
        started_ms: Start time of the incarnation that was listed last.
        is_binding: Whether the store was restored since, so that its entry may
            be the copy's.
        copied_sequence: Sequence number of its entry in the copy; None until
            that is read.
    """

    started_ms: int
    is_binding: bool = False
    copied_sequence: int | None = None


class Tombstones:
    """Removed targets by name; owned by the list of targets."""

    def __init__(self) -> None:
        self._tombstones: dict[str, _Tombstone] = {}

    def note_removed(self, target: targets.Target) -> None:
        """Notes that a target went off the list."""
        self._tombstones.pop(target.target_id, None)
        self._tombstones[target.target_id] = _Tombstone(target.started_ms)
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def note_store_restored(self) -> None:
        """Makes all tombstones binding, as the store may have lost removals."""
        for target_id, tombstone in self._tombstones.items():
            self._tombstones[target_id] = _Tombstone(tombstone.started_ms, True)

    def accept_entry(self, target: targets.Target, is_full_list: bool) -> bool:
        """Returns whether an entry was written by a live target.

        Drops the tombstone of an entry that is accepted. The first entry that
        may be the copy's is not accepted; a later one is if its sequence number
        is higher, as its target has written it since.

        Args:
            target: The entry.
            is_full_list: Whether it stands in a list of everything, where it
                may be the copy's, and not among changes.
        """
        name = target.target_id
        tombstone = self._tombstones.get(name)
        if tombstone is None:
            return True
        is_younger = target.started_ms > tombstone.started_ms
        if is_younger or not (tombstone.is_binding and is_full_list):
            del self._tombstones[name]
            return True
        copied = tombstone.copied_sequence
        if copied is None:
            self._tombstones[name] = dataclasses.replace(
                tombstone, copied_sequence=target.sequence
            )
            return False
        if target.sequence <= copied:
            return False
        del self._tombstones[name]
        return True
