"""The last changes of what the store published, for peers that ask for them.

A change is known by the store's revisions between which it came, all of one
epoch. Applying one twice does no harm: it holds the last state of each target
that it names.
"""

import collections
import dataclasses

from ruddergate.fleet import target as targets

# Answers of the store that are kept; at one each second they go back as far as
# the store's own history does.
MAX_STEPS = 32
# Entries told in one answer: 24 of them take about 2.5 KB. An asker that has
# missed more reads the store.
MAX_ROWS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What changed between two revisions.

    Attributes:
        since: The store's revision behind which it begins.
        until: The store's revision up to which it goes.
        is_unreadable: Whether it holds what this VM could not read; others
            are to read it for themselves.
        listed: Entries of targets, in order.
        gone: Names of targets that went off the list.
        spoilt: Names whose entry is none of a target.
    """

    since: int
    until: int
    is_unreadable: bool
    listed: tuple[targets.Target, ...] = ()
    removed: tuple[str, ...] = ()
    malformed: tuple[str, ...] = ()


class ChangeLog:
    """Steps in order; owned by one task."""

    def __init__(self) -> None:
        self._steps: collections.deque[Step] = collections.deque(
            maxlen=MAX_STEPS
        )

    def note(self, step: Step) -> None:
        """Adds a step; one that does not follow the last drops those before."""
        if self._steps and step.since != self._steps[-1].until:
            self._steps.clear()
        if step.until > step.since:
            self._steps.append(step)

    def restart(self) -> None:
        """Drops all steps, when everything was read anew."""
        self._steps.clear()

    def find_since(self, position: int, until: int) -> Step | None:
        """Returns all changes between two revisions as one step.

        Returns:
            The step, or None if it is not known, can't be read, is too large
            to be told, or begins behind its end.
        """
        if position > until:
            return None
        if position == until:
            return Step(until, until, False)
        wanted = [each for each in self._steps if each.until > position]
        if not wanted or wanted[0].since > position:
            return None
        if wanted[-1].until != until:
            return None
        if any(each.is_unreadable for each in wanted):
            return None
        rows = tuple(row for each in wanted for row in each.listed)
        removed, malformed = _find_ends(wanted)
        if len(rows) + len(removed) + len(malformed) > MAX_ROWS:
            return None
        return Step(position, until, False, rows, removed, malformed)


def _find_ends(
    steps: list[Step],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the names that are off the list, or spoilt, after all steps."""
    removed: dict[str, None] = {}
    malformed: dict[str, None] = {}
    for each in steps:
        for row in each.listed:
            removed.pop(row.target_id, None)
            malformed.pop(row.target_id, None)
        for target_id in each.removed:
            removed[target_id] = None
            malformed.pop(target_id, None)
        for target_id in each.malformed:
            malformed[target_id] = None
            removed.pop(target_id, None)
    return tuple(removed), tuple(malformed)
