"""Targets that were removed from the list, and what may bring them back.

A store that is restored from an older copy lists targets again that were
removed since. Such an entry says nothing: a target that lives writes a new one.
"""

import dataclasses

from ruddergate.fleet import target as targets

# Removals that are remembered, the oldest are forgotten first. A copy is some
# seconds old; this many go in a minute of a fast release of a large fleet.
REMOVED_MOST = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    """The last entry of a target that was removed.

    Attributes:
        born_ms: The life that it was of.
        sequence: Its number.
        is_binding: Whether the store was restored since.
    """

    born_ms: int
    sequence: int
    is_binding: bool = False


class Removals:
    """Removed targets by name; owned by the list of targets."""

    def __init__(self) -> None:
        self._removed: dict[str, _Removal] = {}

    def note_removed(self, target: targets.Target) -> None:
        """Notes the last entry of a target that went off the list."""
        self._removed.pop(target.target_id, None)
        self._removed[target.target_id] = _Removal(
            target.born_ms, target.sequence
        )
        if len(self._removed) > REMOVED_MOST:
            del self._removed[next(iter(self._removed))]

    def note_restored(self) -> None:
        """Has removals bind that the store may have lost."""
        for target_id, removal in self._removed.items():
            self._removed[target_id] = dataclasses.replace(
                removal, is_binding=True
            )

    def is_stale(self, target: targets.Target) -> bool:
        """Returns whether an entry was written before its target's removal."""
        removal = self._find_binding(target)
        if removal is None or _is_unnumbered(target, removal):
            return False
        return target.sequence <= removal.sequence

    def is_uncertain(self, target: targets.Target) -> bool:
        """Returns whether an entry does not tell if it is stale."""
        removal = self._find_binding(target)
        return removal is not None and _is_unnumbered(target, removal)

    def _find_binding(self, target: targets.Target) -> _Removal | None:
        """Returns the removal of the same life that binds, if there is one."""
        removal = self._removed.get(target.target_id)
        if removal is None or not removal.is_binding:
            return None
        return removal if target.born_ms <= removal.born_ms else None

    def note_listed(self, target: targets.Target) -> None:
        """Forgets the removal of a target that is listed again."""
        self._removed.pop(target.target_id, None)


def _is_unnumbered(target: targets.Target, removal: _Removal) -> bool:
    """Returns whether the entries of a target have no numbers to compare."""
    return target.sequence == 0 and removal.sequence == 0
