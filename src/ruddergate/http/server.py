"""Serves HTTP/1.1 connections.

Invalid input is answered with a 4xx status and closes only its own connection.
When the caller disconnects, the handler is cancelled, so that its resources can
be released.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import math
from typing import TypeAlias

import h11

from ruddergate import environment
from ruddergate.http import body_memory
from ruddergate.http import connections as open_connections
from ruddergate.http import message
from ruddergate.http import refusals
from ruddergate.http import request_reader

Handler: TypeAlias = Callable[
    [message.IncomingRequest], Awaitable[message.Response]
]
Connections: TypeAlias = open_connections.Connections

_HEAD = "HEAD"
_EMPTY_LINE = b"\r\n"
_READ_BYTES = 1 << 14
# Bytes of further requests that a connection may hold before a response is
# complete, while watching whether the caller disconnects.
_READ_AHEAD_BYTES = 1 << 14
# Rejections that don't tell that a request was invalid.
_RETRIED_REJECTIONS = frozenset({408, 429})
# After a response to a request that was not read whole, what arrives for this
# time is discarded: a connection that is closed with unread bytes is reset, and
# the caller may never see the response.
_DISCARD_S = 1.0
# How long a caller may take to receive the end of its last response. As long as
# it may take to send a request.
_FLUSH_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what callers may use.

    Attributes:
        header_bytes_max: Maximum size of the request line and headers.
        body_bytes_max: Maximum size of the body.
        read_timeout_ms: Time in which a whole request must arrive.
        idle_timeout_ms: Time that a connection may be idle between requests.
        connections_max: Maximum number of open connections.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 8_000_000
    read_timeout_ms: float = 15_000.0
    idle_timeout_ms: float = 120_000.0
    connections_max: int = 4_096


def make_stream_handler(
    handle: Handler,
    limits: Limits,
    is_closing: Callable[[], bool] = lambda: False,
    connections: Connections | None = None,
    is_accepting: Callable[[], bool] = lambda: True,
    find_limits: Callable[[], Limits] | None = None,
    memory: body_memory.BodyMemory | None = None,
) -> environment.StreamHandler:
    """Returns a stream handler that serves HTTP requests with `handle`.

    Args:
        handle: Handles one request; must not raise.
        limits: Limits on what callers may use, when a connection is opened.
        is_closing: Whether to close connections after their next response.
        is_accepting: Whether to read further requests. If not, a connection is
            closed at the end of a response, also if its head, which was sent
            before, did not announce that.
        connections: Is kept up to date with the open connections.
        find_limits: Returns the limits for a request that arrives now; None if
            they don't change. The idle time of an open connection is only ever
            lengthened: its caller may still go by the earlier one.
        memory: Bounds the bodies of all requests that are read or handled.
    """
    request_memory = memory or body_memory.BodyMemory(math.inf)
    opened = connections if connections is not None else Connections()

    async def serve_requests(
        reader: asyncio.StreamReader, tracked: open_connections.Connection
    ) -> None:
        if not opened.make_room(limits.connections_max):
            await refusals.reject(
                tracked.writer,
                refusals.make_ended(open_connections.Cause.PLACE),
            )
            return
        await _serve_connection(
            reader,
            tracked,
            handle,
            limits,
            is_closing,
            is_accepting,
            find_limits or (lambda: limits),
            request_memory,
        )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tracked = opened.open(writer)
        try:
            with contextlib.suppress(ConnectionError, OSError, TimeoutError):
                # The peer has disconnected, so the error can't be reported.
                await serve_requests(reader, tracked)
            # What drain() left in the buffer is lost if the process ends.
            tracked.note_busy()
            with contextlib.suppress(ConnectionError, OSError, TimeoutError):
                await _flush(writer)
        finally:
            tracked.close()
            writer.close()

    return serve


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Closes a connection; waits until what was written has left the process.

    A caller that has not received it by the time limit or the end of the
    process is reset. To a caller of HTTP/1.0 a regular end would make the
    response look complete.
    """
    writer.close()
    try:
        async with asyncio.timeout(_FLUSH_TIMEOUT_S):
            await writer.wait_closed()
    except (TimeoutError, asyncio.CancelledError):
        if writer.transport.get_write_buffer_size():
            environment.reset_connection(writer)
        raise


async def _serve_connection(
    reader: asyncio.StreamReader,
    tracked: open_connections.Connection,
    handle: Handler,
    limits: Limits,
    is_closing: Callable[[], bool],
    is_accepting: Callable[[], bool],
    find_limits: Callable[[], Limits],
    memory: body_memory.BodyMemory,
) -> None:
    writer = tracked.writer
    connection = _make_connection(limits)
    while is_accepting():
        tracked.note_idle()
        data, is_ended = connection.trailing_data
        if not (data or is_ended):
            tracked.release()
            data = await _read_first(reader, limits, find_limits)
        if data.startswith(_EMPTY_LINE):
            # One is ignored (RFC 9112, section 2.2).
            data = data.removeprefix(_EMPTY_LINE)
            data = data or await _read_first(reader, limits, find_limits)
        # Closed as idle, just as this request was arriving.
        if not data or writer.is_closing():
            return
        tracked.note_busy()
        # Made anew for each request, since its limit can't be changed.
        request_limits = find_limits()
        connection = _make_connection(request_limits)
        connection.receive_data(data)
        if is_ended:
            connection.receive_data(b"")
        collected = await request_reader.read_request(
            reader,
            connection,
            tracked,
            request_limits.body_bytes_max,
            request_limits.read_timeout_ms,
            memory,
        )
        if not isinstance(collected, request_reader.Collected):
            tracked.release()
            await _refuse(reader, writer, collected)
            return
        tracked.note_handled()
        with contextlib.closing(collected.body):
            is_disconnected = await _handle_request(
                reader,
                tracked,
                connection,
                handle,
                collected.incoming,
                is_closing,
            )
        if is_disconnected or connection.our_state is not h11.DONE:
            return
        if connection.their_state is not h11.DONE:
            return


def _make_connection(limits: Limits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes_max
    )


async def _read_first(
    reader: asyncio.StreamReader,
    limits: Limits,
    find_limits: Callable[[], Limits],
) -> bytes:
    """Returns the first bytes of a request; none if none come in time."""
    loop = asyncio.get_running_loop()
    idle_since_s = loop.time()
    idle_ms = limits.idle_timeout_ms
    while True:
        try:
            async with asyncio.timeout_at(idle_since_s + idle_ms / 1000.0):
                return await reader.read(_READ_BYTES)
        except TimeoutError:
            lengthened_ms = find_limits().idle_timeout_ms
            if lengthened_ms <= idle_ms:
                return b""
            idle_ms = lengthened_ms


async def _handle_request(
    reader: asyncio.StreamReader,
    tracked: open_connections.Connection,
    connection: h11.Connection,
    handle: Handler,
    incoming: message.IncomingRequest,
    is_closing: Callable[[], bool],
) -> bool:
    """Responds; returns whether the connection ended before the response."""
    response_task = asyncio.ensure_future(
        _respond(tracked, connection, handle, incoming, is_closing)
    )
    read_task = asyncio.ensure_future(_read_ahead(reader, connection, tracked))

    def stop() -> None:
        environment.reset_connection(tracked.writer)
        response_task.cancel()

    tracked.stop = stop
    try:
        await asyncio.wait(
            {response_task, read_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if not response_task.done():
            if read_task.result():
                return True
            await asyncio.wait({response_task})
        if tracked.cause is not None:
            return True
        await response_task
        return False
    finally:
        tracked.stop = tracked.writer.close
        await _stop(read_task)
        await _stop(response_task)


async def _read_ahead(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    tracked: open_connections.Connection,
) -> bool:
    """Reads ahead, as much as a connection may hold before a response.

    Returns:
        Whether the caller has disconnected. Beyond the limit that is noticed
        only when the response is written.
    """
    ahead_bytes = len(connection.trailing_data[0])
    while ahead_bytes < _READ_AHEAD_BYTES:
        tracked.hold(open_connections.Part.AHEAD, ahead_bytes)
        try:
            data = await reader.read(_READ_AHEAD_BYTES - ahead_bytes)
        except OSError:
            return True
        if not data:
            return True
        connection.receive_data(data)
        ahead_bytes += len(data)
    tracked.hold(
        open_connections.Part.AHEAD, ahead_bytes + environment.MAX_UNREAD_BYTES
    )
    return False


async def _stop(task: asyncio.Future) -> None:
    if not task.done():
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError, OSError):
        await task


async def _respond(
    tracked: open_connections.Connection,
    connection: h11.Connection,
    handle: Handler,
    incoming: message.IncomingRequest,
    is_closing: Callable[[], bool],
) -> None:
    writer = tracked.writer
    response = await handle(incoming)
    if not _is_rejection(response.status):
        tracked.note_proven()
    headers = [*response.headers.items(), *response.fields]
    if is_closing():
        headers.append(("connection", "close"))
    if isinstance(response.body, bytes):
        headers.append(("content-length", str(len(response.body))))
        head = h11.Response(
            status_code=response.status, headers=message.encode_fields(headers)
        )
        sent = connection.send(head)
        if incoming.method != _HEAD:
            sent += connection.send(h11.Data(data=response.body))
        writer.write(sent + connection.send(h11.EndOfMessage()))
        await _drain(tracked)
        return
    head = h11.Response(
        status_code=response.status, headers=message.encode_fields(headers)
    )
    # The head is sent with the first chunk, in one write. This also starts the
    # iterator before anything can fail, so that closing it always runs its
    # cleanup.
    pending = connection.send(head)
    is_complete = False
    try:
        async with contextlib.aclosing(response.body) as chunks:
            async for chunk in chunks:
                if incoming.method == _HEAD:
                    break
                writer.write(pending + connection.send(h11.Data(data=chunk)))
                pending = b""
                await _drain(tracked)
        is_complete = True
    finally:
        if not is_complete and connection.their_http_version == b"1.0":
            # Without chunks a regular end would make the answer look complete.
            environment.reset_connection(writer)
    writer.write(pending + connection.send(h11.EndOfMessage()))
    await _drain(tracked)


async def _drain(tracked: open_connections.Connection) -> None:
    """Waits until the caller has taken most of what was written."""
    unsent_bytes = environment.count_unsent_bytes(tracked.writer)
    tracked.hold(open_connections.Part.UNSENT, unsent_bytes)
    await tracked.writer.drain()
    tracked.hold(open_connections.Part.UNSENT, 0)
    tracked.note_progress()


def _is_rejection(status: int) -> bool:
    """Returns whether a response says that the request was invalid."""
    return 400 <= status < 500 and status not in _RETRIED_REJECTIONS


async def _refuse(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    refusal: refusals.Refusal | None,
) -> None:
    """Answers a request that was not read whole, unless its caller has left."""
    if refusal is None:
        return
    await refusals.reject(writer, refusal)
    if not refusal.is_partial:
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_DISCARD_S):
            while await reader.read(_READ_BYTES):
                pass
