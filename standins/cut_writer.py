"""Cuts what is written to a connection."""

import asyncio


class CutWriter:
    """Closes a connection after some bytes, with the API of a stream.

    Args:
        writer: Where to write.
        bytes_max: How many bytes are sent.
    """

    def __init__(self, writer: asyncio.StreamWriter, bytes_max: int) -> None:
        self._writer = writer
        self._left = bytes_max

    def write(self, data: bytes) -> None:
        """Sends bytes, as far as they are sent."""
        self._writer.write(data[: self._left])
        self._left -= len(data)
        if self._left <= 0:
            self._left = 0
            self._writer.close()

    def __getattr__(self, name: str) -> object:
        return getattr(self._writer, name)
