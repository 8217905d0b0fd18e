"""Filters out log messages that repeat the previous one."""

# Keys whose last message is kept; messages of further keys always count as
# new. A key and its message take about 200 bytes.
_MAX_KEYS = 1_024


class RepeatFilter:
    """Keeps the last message for each key, so that only changes are logged."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def is_new(self, key: str, message: str) -> bool:
        """Returns whether a message differs from the key's last; records it."""
        if self._last.get(key) == message:
            return False
        if key in self._last or len(self._last) < _MAX_KEYS:
            self._last[key] = message
        return True

    def forget(self, key: str) -> None:
        """Drops a key's last message, so that the next one counts as new."""
        self._last.pop(key, None)
