"""Tells whether a sentence on a matter is another than the last one."""

# Matters of which the last sentence is kept; what comes after is told each
# time. A name and a sentence take about 200 bytes.
_MAX_KEYS = 1_024


class RepeatFilter:
    """The last sentence on each matter, so that logs tell changes only."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def is_new(self, key: str, message: str) -> bool:
        """Returns whether a sentence is to be told, and notes it."""
        if self._last.get(key) == message:
            return False
        if key in self._last or len(self._last) < _MAX_KEYS:
            self._last[key] = message
        return True

    def forget(self, key: str) -> None:
        """Has the next sentence on a matter told, whatever it is."""
        self._last.pop(key, None)
