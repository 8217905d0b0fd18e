"""Halls that seem cut off, from connections that did not come up."""

import dataclasses

# Targets of a hall out of reach within this time make the hall suspect.
WINDOW_MS = 2_000.0
# So many of them; one alone may just have died.
TARGETS_LEAST = 2
# A suspect hall is passed over for this long, twice as long each time that it
# turns out to be still out of reach; cuts last some seconds.
MIN_AVOID_MS = 800.0
MAX_AVOID_MS = 3_200.0


@dataclasses.dataclass(slots=True)
class _Hall:
    missed_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    pause_ms: float = MIN_AVOID_MS
    suspect_until_ms: float = float("-inf")


class Reachability:
    """What one VM finds of the halls; owned by the scheduler task."""

    def __init__(self) -> None:
        self._halls: dict[str, _Hall] = {}

    def note_connect_failure(
        self, hall: str, target_id: str, now_ms: float
    ) -> bool:
        """Notes a connection that did not come up.

        Returns whether the hall became suspect by it.
        """
        found = self._halls.setdefault(hall, _Hall())
        found.missed_ms[target_id] = now_ms
        recent = sum(
            now_ms - at_ms <= WINDOW_MS for at_ms in found.missed_ms.values()
        )
        if recent < TARGETS_LEAST or now_ms < found.suspect_until_ms:
            return False
        found.suspect_until_ms = now_ms + found.pause_ms
        found.pause_ms = min(MAX_AVOID_MS, found.pause_ms * 2.0)
        return True

    def note_reported(self, hall: str, now_ms: float) -> bool:
        """Notes that a peer beside this VM found a hall out of reach.

        Returns whether the hall became suspect by it. The pause does not grow:
        this VM has not tried it.
        """
        found = self._halls.setdefault(hall, _Hall())
        if now_ms < found.suspect_until_ms:
            return False
        found.suspect_until_ms = now_ms + MIN_AVOID_MS
        return True

    def note_reached(self, hall: str) -> None:
        """Notes that a target of the hall has answered."""
        self._halls.pop(hall, None)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether the hall is to be passed over now."""
        found = self._halls.get(hall)
        return found is not None and now_ms < found.suspect_until_ms
