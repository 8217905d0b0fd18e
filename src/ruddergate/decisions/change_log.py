"""Changelog of what the store published, for peers that ask for changes.

A step holds what changed between two revisions of the store, both of one epoch.
Applying a step twice does no harm: it holds the last state of each target that
it names.
"""

import collections
import dataclasses

from ruddergate.fleet import target as targets

# Steps that are kept, one for each response of the store; at one a second they
# go back as far as the store's own history does.
MAX_STEPS = 32
# Entries in one reply: 24 of them take about 2.5 KB. A requester that has
# missed more reads the store.
MAX_ROWS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What changed between two revisions.

    Attributes:
        since: The store's revision after which the step begins.
        until: The store's revision with which it ends.
        is_unreadable: Whether it holds what this VM could not read; other VMs
            must read it from the store.
        listed: Entries of targets, in order.
        removed: Names of targets that were removed from the list.
        malformed: Names whose entry is not that of a target.
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
        """Adds a step; drops the earlier ones if it does not follow the last.

        A step without a new revision is not added.
        """
        if self._steps and step.since != self._steps[-1].until:
            self._steps.clear()
        if step.until > step.since:
            self._steps.append(step)

    def restart(self) -> None:
        """Drops all steps, after everything was read anew."""
        self._steps.clear()

    def find_since(self, revision: int, until: int) -> Step | None:
        """Returns all changes between two revisions as one step.

        Args:
            revision: The revision after which it begins.
            until: The revision with which it ends.

        Returns:
            The step, or None if it is not known, could not be read, is too
            large for a reply, or would begin after its end.
        """
        if revision > until:
            return None
        if revision == until:
            return Step(until, until, False)
        steps = [each for each in self._steps if each.until > revision]
        if not steps or steps[0].since > revision:
            return None
        if steps[-1].until != until:
            return None
        if any(each.is_unreadable for each in steps):
            return None
        rows = tuple(row for each in steps for row in each.listed)
        removed, malformed = _find_last_states(steps)
        if len(rows) + len(removed) + len(malformed) > MAX_ROWS:
            return None
        return Step(revision, until, False, rows, removed, malformed)


def _find_last_states(
    steps: list[Step],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the names that are removed, or malformed, after all steps."""
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
