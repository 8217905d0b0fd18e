"""A target that answers with bytes without end, until its caller closes."""

import asyncio
import contextlib
import dataclasses

from ruddergate import environment
from standins import virtual_network

# About as much as a target sends at once, and the time between two pieces:
# 16 MB/s.
PIECE_BYTES = 1 << 16
PIECE_INTERVAL_S = 0.004
# What systems and processes hold of a connection that is not read, about.
_MAX_UNREAD_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Flood:
    """What a target sends without end.

    Attributes:
        head: Is sent once, before the rest.
        piece: Is repeated.
        interval_s: Time between two pieces.
        sent_bytes: Bytes that were sent so far, of all connections.
        connections: Connections that were flooded so far.
    """

    head: bytes
    piece: bytes
    interval_s: float = PIECE_INTERVAL_S
    sent_bytes: int = 0
    connections: int = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: virtual_network.VirtualWriter,
    ) -> None:
        """Answers one request, until its connection is closed."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.connections += 1
            await self._send(reader, writer)
        writer.close()

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: virtual_network.VirtualWriter,
    ) -> None:
        closed = asyncio.ensure_future(reader.read())
        writer.write(self.head)
        while not closed.done():
            if writer.count_unread_bytes() < _MAX_UNREAD_BYTES:
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
            await asyncio.sleep(self.interval_s)


def make_piece(unit: bytes, size: int = PIECE_BYTES) -> bytes:
    """Returns as many whole units as fit in a piece, at least one."""
    return unit * max(1, size // len(unit))


def make_chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def start_flood(
    env: environment.Environment, address: environment.Address, flood: Flood
) -> None:
    """Serves a flood at an address."""
    await env.serve(flood.serve, address)
