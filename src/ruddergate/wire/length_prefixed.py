"""Length-prefixed messages and chunks of bytes on a stream between peers."""

import asyncio
import struct

from ruddergate.wire import codec

_LENGTH = struct.Struct(">I")
# Longest message; chunks of bytes are bounded by what their sender reads.
MAX_MESSAGE_BYTES = 4_096
MAX_CHUNK_BYTES = 1 << 20


def write_message(writer: asyncio.StreamWriter, message: codec.Message) -> None:
    """Writes a message, without waiting."""
    write_chunk(writer, codec.encode(message))


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a chunk, without waiting; an empty one marks the end."""
    writer.write(_LENGTH.pack(len(data)) + data)


class ChunkReader:
    """Reads chunks; a read that is cancelled loses nothing.

    Args:
        reader: The stream.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._buffer = bytearray()

    async def read_message(self) -> codec.Message | codec.Malformed:
        """Returns the next message; raises OSError if the stream breaks."""
        return codec.decode(await self.read_chunk(MAX_MESSAGE_BYTES))

    async def read_chunk(self, max_bytes: int = MAX_CHUNK_BYTES) -> bytes:
        """Returns the next chunk; raises OSError if the stream breaks."""
        length = await self._read_length(max_bytes)
        while len(self._buffer) < _LENGTH.size + length:
            await self._fill()
        chunk = bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
        del self._buffer[: _LENGTH.size + length]
        return chunk

    def take_rest(self) -> bytes:
        """Returns bytes that were read beyond the last chunk."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    async def _read_length(self, max_bytes: int) -> int:
        while len(self._buffer) < _LENGTH.size:
            await self._fill()
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > max_bytes:
            raise ConnectionAbortedError(f"a chunk of {length} bytes")
        return length

    async def _fill(self) -> None:
        data = await self._reader.read(MAX_CHUNK_BYTES)
        if not data:
            raise ConnectionResetError("the peer closed the connection")
        self._buffer += data
