"""Detects halls that seem cut off, from connections that failed."""

import dataclasses

# A hall is suspect if connections to MIN_TARGETS targets of it fail within this
# time.
WINDOW_MS = 2_000.0
# A single target may just have died.
MIN_TARGETS = 2
# A suspect hall is avoided for this time, which doubles up to the maximum each
# time that it is found unreachable again; network cuts last some seconds.
MIN_AVOID_MS = 800.0
MAX_AVOID_MS = 3_200.0


@dataclasses.dataclass(slots=True)
class _Hall:
    failed_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    avoid_ms: float = MIN_AVOID_MS
    suspect_until_ms: float = float("-inf")


class Reachability:
    """Halls that one VM avoids; owned by the scheduler task."""

    def __init__(self) -> None:
        self._halls: dict[str, _Hall] = {}

    def note_connect_failure(
        self, hall: str, target_id: str, now_ms: float
    ) -> bool:
        """Notes a connection to a target that failed.

        Returns:
            Whether that made the hall suspect.
        """
        state = self._halls.setdefault(hall, _Hall())
        state.failed_ms[target_id] = now_ms
        recent = sum(
            now_ms - at_ms <= WINDOW_MS for at_ms in state.failed_ms.values()
        )
        if recent < MIN_TARGETS or now_ms < state.suspect_until_ms:
            return False
        state.suspect_until_ms = now_ms + state.avoid_ms
        state.avoid_ms = min(MAX_AVOID_MS, state.avoid_ms * 2.0)
        return True

    def find_first_failure_ms(self, hall: str, now_ms: float) -> float:
        """Returns when the recent failures in a hall began."""
        state = self._halls.setdefault(hall, _Hall())
        recent = (
            at_ms
            for at_ms in state.failed_ms.values()
            if now_ms - at_ms <= WINDOW_MS
        )
        return min(recent, default=now_ms)

    def note_reported(self, hall: str, now_ms: float) -> bool:
        """Notes that a peer in this VM's hall reported a hall as unreachable.

        The time for which it is avoided does not grow, as this VM has not tried
        it itself.

        Returns:
            Whether that made the hall suspect.
        """
        state = self._halls.setdefault(hall, _Hall())
        if now_ms < state.suspect_until_ms:
            return False
        state.suspect_until_ms = now_ms + MIN_AVOID_MS
        return True

    def note_reached(self, hall: str) -> None:
        """Notes that a target of the hall has responded."""
        self._halls.pop(hall, None)

    def is_suspect(self, hall: str, now_ms: float) -> bool:
        """Returns whether to avoid the hall now."""
        state = self._halls.get(hall)
        return state is not None and now_ms < state.suspect_until_ms
