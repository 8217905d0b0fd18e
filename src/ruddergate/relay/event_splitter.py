"""Splits the bytes of an event stream at event boundaries."""

import re

from ruddergate.relay import response_event as response_events

_END = b"\n\n"
_ID = re.compile(rb"^id: ?(.*)$", re.MULTILINE)


class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    def __init__(self) -> None:
        self._buffer = b""
        self._last_id = ""

    def feed(self, data: bytes) -> response_events.StreamEvents | None:
        """Adds bytes; returns the events that are now complete, if any."""
        data = self._buffer + data
        end = data.rfind(_END)
        if end < 0:
            self._buffer = data
            return None
        complete = data[: end + len(_END)]
        self._buffer = data[end + len(_END) :]
        ids = _ID.findall(complete)
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return response_events.StreamEvents(complete, self._last_id)

    def is_between_events(self) -> bool:
        """Returns whether no partial event is buffered."""
        return not self._buffer.strip()
