"""Splits the bytes of an event stream at event boundaries."""

import re

from ruddergate.relay import response_event as response_events

_END = b"\n\n"
_ID = re.compile(rb"^id: ?(.*)$", re.MULTILINE)
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
        search_from = max(0, len(self._buffer) - len(_END) + 1)
        self._buffer += data
        end = self._buffer.rfind(_END, search_from)
        if end < 0:
            return None
        complete = bytes(self._buffer[: end + len(_END)])
        del self._buffer[: end + len(_END)]
        ids = [each for each in _ID.findall(complete) if each.strip()]
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return response_events.StreamEvents(complete, self._last_id)

    def is_between_events(self) -> bool:
        """Returns whether no partial event is buffered."""
        return not self._buffer.strip()

    def is_too_long(self) -> bool:
        """Returns whether the partial event exceeds the longest event."""
        return len(self._buffer) > MAX_EVENT_BYTES
