"""Serves one HTTP/1.1 connection after another.

Bad input gets a clear 4xx and closes its own connection only. When the caller
goes away, the handler is cancelled, so that work for it can be given back.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import TypeAlias

import h11
import orjson

from ruddergate import environment
from ruddergate.http import message

Handler: TypeAlias = Callable[
    [message.IncomingRequest], Awaitable[message.Response]
]

_READ_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What one caller may take up.

    Attributes:
        header_bytes_max: Longest request line and headers.
        body_bytes_max: Longest body.
        read_timeout_ms: Time for a whole request to arrive.
        idle_timeout_ms: Time a connection may rest between requests.
        connections_max: Connections open at once.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 8_000_000
    read_timeout_ms: float = 15_000.0
    idle_timeout_ms: float = 120_000.0
    connections_max: int = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _BadInput:
    status: int
    detail: str


class Connections:
    """The open connections of one server, by whether a request is under way."""

    def __init__(self) -> None:
        self._idle: set[asyncio.StreamWriter] = set()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def note_open(self, writer: asyncio.StreamWriter) -> None:
        """Notes a new connection."""
        self._count += 1
        self._idle.add(writer)

    def note_busy(self, writer: asyncio.StreamWriter) -> None:
        """Notes that bytes of a request have arrived."""
        self._idle.discard(writer)

    def note_idle(self, writer: asyncio.StreamWriter) -> None:
        """Notes that the last request has been answered."""
        self._idle.add(writer)

    def note_closed(self, writer: asyncio.StreamWriter) -> None:
        """Notes that a connection is gone."""
        self._count -= 1
        self._idle.discard(writer)

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for writer in self._idle:
            writer.close()


def make_stream_handler(
    handle: Handler,
    limits: Limits,
    is_closing: Callable[[], bool] = lambda: False,
    connections: Connections | None = None,
) -> environment.StreamHandler:
    """Returns a stream handler that serves HTTP requests with `handle`.

    Args:
        handle: Answers one request; must not raise.
        limits: What one caller may take up.
        is_closing: Whether to close connections after their next answer.
        connections: Is kept up to date with the open connections.
    """
    known = connections if connections is not None else Connections()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        known.note_open(writer)
        try:
            if len(known) > limits.connections_max:
                await _reject(writer, _BadInput(503, "too many connections"))
                return
            await _serve_connection(
                reader, writer, handle, limits, is_closing, known
            )
        except (ConnectionError, OSError, TimeoutError):
            pass  # The peer is gone; there is nobody to tell.
        finally:
            known.note_closed(writer)
            writer.close()

    return serve


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Handler,
    limits: Limits,
    is_closing: Callable[[], bool],
    known: Connections,
) -> None:
    connection = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes_max
    )
    while True:
        known.note_idle(writer)
        incoming = await _read_request(
            reader, connection, limits, lambda: known.note_busy(writer)
        )
        if incoming is None:
            return
        if isinstance(incoming, _BadInput):
            await _reject(writer, incoming)
            return
        left = await _answer(
            reader, writer, connection, handle, incoming, is_closing
        )
        if left or connection.our_state is not h11.DONE:
            return
        if connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _read_request(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    limits: Limits,
    note_begun: Callable[[], None],
) -> message.IncomingRequest | _BadInput | None:
    try:
        async with asyncio.timeout(limits.idle_timeout_ms / 1000.0):
            if connection.trailing_data[0] == b"":
                data = await reader.read(_READ_BYTES)
                if not data:
                    return None
                connection.receive_data(data)
    except TimeoutError:
        return None
    note_begun()
    try:
        async with asyncio.timeout(limits.read_timeout_ms / 1000.0):
            return await _collect_request(reader, connection, limits)
    except TimeoutError:
        return _BadInput(408, "the request arrived too slowly")
    except h11.RemoteProtocolError as error:
        return _BadInput(error.error_status_hint, f"malformed HTTP: {error}")


async def _collect_request(
    reader: asyncio.StreamReader, connection: h11.Connection, limits: Limits
) -> message.IncomingRequest | _BadInput | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limits.body_bytes_max:
                return _BadInput(413, "the body is too long")
        elif isinstance(event, h11.EndOfMessage):
            return _make_incoming(head, bytes(body))
        else:
            return None


def _make_incoming(head: h11.Request, body: bytes) -> message.IncomingRequest:
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in head.headers
    }
    method = head.method.decode("latin-1")
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    return message.IncomingRequest(
        method, path, query, headers, body, target, fields
    )


async def _answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    connection: h11.Connection,
    handle: Handler,
    incoming: message.IncomingRequest,
    is_closing: Callable[[], bool],
) -> bool:
    """Sends the answer; returns whether the caller left before its end."""
    answering = asyncio.ensure_future(
        _respond(writer, connection, handle, incoming, is_closing)
    )
    watching = asyncio.ensure_future(reader.read(_READ_BYTES))
    try:
        await asyncio.wait(
            {answering, watching}, return_when=asyncio.FIRST_COMPLETED
        )
        if watching.done() and not answering.done():
            data = b"" if watching.exception() else watching.result()
            if not data:
                return True
            connection.receive_data(data)
            await answering
            return False
        answering.result()
        if watching.done() and not watching.exception():
            connection.receive_data(watching.result())
        return False
    finally:
        await _stop(watching)
        await _stop(answering)


async def _stop(task: asyncio.Future) -> None:
    if not task.done():
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError, OSError):
        await task


async def _respond(
    writer: asyncio.StreamWriter,
    connection: h11.Connection,
    handle: Handler,
    incoming: message.IncomingRequest,
    is_closing: Callable[[], bool],
) -> None:
    response = await handle(incoming)
    headers = [*response.headers.items(), *response.fields]
    if is_closing():
        headers.append(("connection", "close"))
    if isinstance(response.body, bytes):
        headers.append(("content-length", str(len(response.body))))
        head = h11.Response(status_code=response.status, headers=headers)
        sent = connection.send(head)
        sent += connection.send(h11.Data(data=response.body))
        writer.write(sent + connection.send(h11.EndOfMessage()))
        await writer.drain()
        return
    head = h11.Response(status_code=response.status, headers=headers)
    # The head goes with the first part: one write, and the iterator has begun
    # before anything can fail, so closing it always runs its clean-up.
    pending = connection.send(head)
    async with contextlib.aclosing(response.body) as parts:
        async for part in parts:
            writer.write(pending + connection.send(h11.Data(data=part)))
            pending = b""
            await writer.drain()
    writer.write(pending + connection.send(h11.EndOfMessage()))
    await writer.drain()


async def _reject(writer: asyncio.StreamWriter, fault: _BadInput) -> None:
    connection = h11.Connection(h11.SERVER)
    body = orjson.dumps(
        {"reason": "bad_request", "ran": "not_run", "detail": fault.detail}
    )
    headers = [
        ("content-type", message.JSON_TYPE),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    head = h11.Response(status_code=fault.status, headers=headers)
    sent = connection.send(head) + connection.send(h11.Data(data=body))
    writer.write(sent + connection.send(h11.EndOfMessage()))
    await writer.drain()
