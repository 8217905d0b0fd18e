"""Cuts a stream's bytes at the ends of its events."""

import re

from ruddergate.relay import answer as answers

_END = b"\n\n"
_ID = re.compile(rb"^id: ?(.*)$", re.MULTILINE)


class EventSplitter:
    """Holds back the bytes of an event until the event is whole."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id = ""

    def feed(self, data: bytes) -> answers.StreamEvents | None:
        """Takes in bytes; returns the events that are whole now, if any."""
        data = self._rest + data
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            return None
        whole = data[: end + len(_END)]
        self._rest = data[end + len(_END) :]
        ids = _ID.findall(whole)
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return answers.StreamEvents(whole, self._last_id)

    def is_between_events(self) -> bool:
        """Returns whether no part of an event is held back."""
        return not self._rest.strip()
