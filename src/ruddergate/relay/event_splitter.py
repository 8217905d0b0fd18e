"""Splits the bytes of an event stream at event boundaries.

Lines end with LF, CR or CRLF, and an event ends with an empty line.
"""

import re

from ruddergate.relay import response_event as response_events

# The atomic groups keep a CRLF from counting as two line ends.
_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
_END_BYTES_MAX = 4
# A field with a value; the first line may begin with a byte order mark.
_ID = re.compile(rb"(?:\A(?:\xef\xbb\xbf)?|(?<=[\r\n]))id: ?([^\r\n]+)")
# The same where all lines end with LF, as almost always; it is cheaper.
_LF = b"\n"
_LF_ID = re.compile(rb"^(?:\xef\xbb\xbf)?id: ?(.+)$", re.MULTILINE)
_CR = b"\r"
# Longest event; those of engines hold some hundred bytes.
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._last_id = ""

    def feed(self, data: bytes) -> response_events.StreamEvents | None:
        """Adds bytes; returns the events that are now complete, if any."""
        # What was buffered before holds no end, but perhaps the start of one.
        search_from = max(0, len(self._buffer) - _END_BYTES_MAX + 1)
        self._buffer += data
        end = self._find_last_end(search_from)
        if end < 0:
            return None
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        pattern = _ID if _CR in complete else _LF_ID
        ids = [each for each in pattern.findall(complete) if _is_id(each)]
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return response_events.StreamEvents(complete, self._last_id)

    def _find_last_end(self, search_from: int) -> int:
        """Returns where the last complete event ends; -1 if there is none."""
        if _CR not in self._buffer:
            found_at = self._buffer.rfind(_LF + _LF, search_from)
            return found_at + 2 * len(_LF) if found_at >= 0 else -1
        end = -1
        for found in _END.finditer(self._buffer, search_from):
            end = found.end()
        return end

    def take_blank_rest(self) -> response_events.StreamEvents | None:
        """Returns line ends that belong to no event, if any are buffered."""
        if not self._buffer or not self.is_between_events():
            return None
        rest = bytes(self._buffer)
        self._buffer.clear()
        return response_events.StreamEvents(rest, self._last_id)

    def is_between_events(self) -> bool:
        """Returns whether no partial event is buffered."""
        return not self._buffer.strip()

    def is_too_long(self) -> bool:
        """Returns whether the partial event exceeds the longest event."""
        return len(self._buffer) > MAX_EVENT_BYTES


def _is_id(value: bytes) -> bool:
    return bool(value.strip()) and b"\0" not in value
