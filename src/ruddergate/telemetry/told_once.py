"""Tells whether a sentence on a matter is another than the last one."""

# Matters of which the last sentence is kept; what comes after is told each
# time. A name and a sentence take about 200 bytes.
_KEPT_MOST = 1_024


class ToldOnce:
    """The last sentence on each matter, so that logs tell changes only."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def is_new(self, matter: str, sentence: str) -> bool:
        """Returns whether a sentence is to be told, and notes it."""
        if self._last.get(matter) == sentence:
            return False
        if matter in self._last or len(self._last) < _KEPT_MOST:
            self._last[matter] = sentence
        return True

    def forget(self, matter: str) -> None:
        """Has the next sentence on a matter told, whatever it is."""
        self._last.pop(matter, None)
