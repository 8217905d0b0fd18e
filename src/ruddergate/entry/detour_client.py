"""Connects to a target through a peer that carries the connection.

See `messages.detour` for the exchange.
"""

import asyncio
import contextlib
import dataclasses

from ruddergate import environment
from ruddergate.messages import detour
from ruddergate.wire import length_prefixed


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A connection that was not made.

    Attributes:
        has_ended: Whether nothing listens at the target's address, as seen over
            a link that works.
        detail: One sentence for logs.
        is_refused: Whether the connection was refused, over whatever link.
    """

    has_ended: bool
    detail: str
    is_refused: bool = False


async def connect(
    env: environment.Environment,
    own: str,
    carrier: str,
    address: environment.Address,
    is_order: bool,
) -> environment.StreamPair | Failure:
    """Connects to a target through a peer.

    Args:
        env: Clock and streams.
        own: Address at which this VM receives datagrams.
        carrier: Address of the peer.
        address: Address of the target.
        is_order: Whether it is for an order or a health probe.
    """
    try:
        reader, writer = await env.connect(environment.parse_address(carrier))
    except OSError as error:
        return Failure(False, f"peer {carrier}: {error}")
    with contextlib.ExitStack() as stack:
        stack.callback(writer.close)
        request = detour.DetourRequest(own, str(address), is_order)
        length_prefixed.write_message(writer, request)
        chunks = length_prefixed.ChunkReader(reader)
        try:
            reply = await chunks.read_message()
        except OSError as error:
            return Failure(False, f"peer {carrier}: {error}")
        failure = _find_failure(reply, carrier)
        if failure is not None:
            return failure
        stack.pop_all()
    return _Reader(chunks), _Writer(env, writer)


def _find_failure(reply: object, carrier: str) -> Failure | None:
    if not isinstance(reply, detour.DetourReply):
        return Failure(False, f"peer {carrier}: malformed reply")
    if reply.result == detour.DetourResult.CONNECTED:
        return None
    has_ended = reply.result == detour.DetourResult.REFUSED
    detail = f"peer {carrier}: {reply.result}, {reply.detail}"
    return Failure(has_ended, detail)


class _Reader:
    """Reads what a target sends, like an asyncio.StreamReader.

    A regular end is told apart from the end of the peer, which raises an error.
    """

    def __init__(self, chunks: length_prefixed.ChunkReader) -> None:
        self._chunks = chunks
        self._is_started = False
        self._has_ended = False

    async def read(self, limit: int) -> bytes:
        """Returns the next bytes, which may be more than the limit."""
        if not self._is_started:
            await self._read_start()
        if self._has_ended:
            return b""
        chunk = await self._chunks.read_chunk()
        self._has_ended = not chunk
        return chunk

    async def _read_start(self) -> None:
        """Reads whether the peer passed on what was written."""
        reply = await self._chunks.read_message()
        if not isinstance(reply, detour.DetourReply):
            raise ConnectionAbortedError("malformed reply of a peer")
        if reply.result != detour.DetourResult.STARTED:
            raise environment.NotSentError(f"{reply.result}, {reply.detail}")
        self._is_started = True


class _Writer:
    """Writes what a target is to get, like an asyncio.StreamWriter."""

    def __init__(
        self, env: environment.Environment, writer: asyncio.StreamWriter
    ) -> None:
        self._env = env
        self._writer = writer
        self._connected_ms = env.now_ms()
        self._has_begun = False

    def write(self, data: bytes) -> None:
        """Writes bytes, without waiting."""
        if not self._has_begun:
            self._has_begun = True
            waited_ms = self._env.now_ms() - self._connected_ms
            begin = detour.DetourBegin(waited_ms)
            length_prefixed.write_message(self._writer, begin)
        self._writer.write(data)

    def close(self) -> None:
        """Closes the connection; the peer then closes that to the target."""
        self._writer.close()
