"""Replaces the status of what is written to a connection."""

import asyncio

_START = b"HTTP/1.1 "
_STATUS_BYTES = 3


class StatusWriter:
    """Writes responses with a status of any form, with the API of a stream.

    Args:
        writer: Where to write.
        status: Written in place of the status of each response.
    """

    def __init__(self, writer: asyncio.StreamWriter, status: bytes) -> None:
        self._writer = writer
        self._status = status

    def write(self, data: bytes) -> None:
        """Sends bytes; each response is to begin with a write of its own."""
        if data.startswith(_START):
            rest = data[len(_START) + _STATUS_BYTES :]
            data = _START + self._status + rest
        self._writer.write(data)

    def __getattr__(self, name: str) -> object:
        return getattr(self._writer, name)
