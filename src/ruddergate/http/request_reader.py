"""Reads requests of HTTP/1.1 connections."""

import asyncio
from collections.abc import Callable
import dataclasses
import re

import h11

from ruddergate import environment
from ruddergate.http import body_memory
from ruddergate.http import connections
from ruddergate.http import message
from ruddergate.http import parsing_rate
from ruddergate.http import refusals

_READ_BYTES = 1 << 16
# Heads within both of these are not counted against the memory of connections.
_UNCOUNTED_HEAD_BYTES = 4_096
_UNCOUNTED_FIELDS = 64
# A head is kept as received and as text, in two forms.
_HEAD_COPIES = 3
# What the objects for one header line take beside its characters.
_FIELD_BYTES = 600
_ABSOLUTE_FORM = re.compile(r"https?://([^/?]*)(.*)", re.IGNORECASE)


@dataclasses.dataclass(frozen=True, slots=True)
class Collected:
    """A request that was read whole.

    Attributes:
        incoming: The request.
        body: Its body as counted; to be closed once it is no longer needed.
    """

    incoming: message.IncomingRequest
    body: body_memory.Body


async def read_request(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    tracked: connections.Connection,
    body_bytes_max: int,
    read_timeout_ms: float,
    memory: body_memory.BodyMemory,
) -> Collected | refusals.Refusal | None:
    """Reads a request, right after its first bytes arrived.

    Args:
        reader: Where to read from.
        connection: Parses it; may hold the first bytes.
        tracked: Counts what is held of it.
        body_bytes_max: Maximum size of its body.
        read_timeout_ms: Time in which it must arrive.
        memory: Bounds the bodies of all requests.

    Returns:
        The request, why it is refused, or None if its caller has left.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    read_s = read_timeout_ms / 1000.0
    body: body_memory.Body | None = None
    try:
        async with asyncio.timeout(read_s) as scope:
            # A time in the past ends the reading at once.
            tracked.stop = lambda: scope.reschedule(0.0)
            head = await _read_head(reader, connection, tracked)
            if tracked.cause is not None:
                return refusals.make_ended(tracked.cause)
            if not isinstance(head, h11.Request):
                return head
            length = _read_length(head)
            if length is not None and length > body_bytes_max:
                return refusals.make_too_long()
            body = memory.open(
                lambda: scope.reschedule(0.0),
                length or 0,
                memory.clock() + read_s,
            )
            found = await _gather(
                reader,
                connection,
                body,
                body_bytes_max,
                lambda: _hold_unread(tracked, length),
            )
    except TimeoutError:
        found = refusals.Refusal(408, "the request arrived too slowly")
    except h11.RemoteProtocolError as error:
        found = refusals.Refusal(
            error.error_status_hint, f"malformed HTTP: {error}"
        )
    finally:
        tracked.stop = tracked.writer.close
        is_ended = tracked.cause is not None
        if body is not None and (is_ended or not body.is_complete):
            body.close()
    if tracked.cause is not None:
        return refusals.make_ended(tracked.cause)
    if body is not None and body.is_dropped:
        return refusals.make_no_memory(memory, body)
    if isinstance(found, bytes):
        reading_ms = (loop.time() - began_s) * 1000.0
        return Collected(_make_incoming(head, found, reading_ms), body)
    return found


def _read_length(head: h11.Request) -> int | None:
    """Returns the length of a request's body; None if it is chunked."""
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0


async def _next_event(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    rate: parsing_rate.ParsingRate,
    on_wait: Callable[[], None],
) -> object:
    """Returns the next part of a request; calls `on_wait` before reading."""
    while True:
        await rate.wait()
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            rate.note_piece()
            return event
        on_wait()
        connection.receive_data(await reader.read(_READ_BYTES))


async def _read_head(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    tracked: connections.Connection,
) -> h11.Request | refusals.Refusal | None:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        _hold_head(tracked, len(connection.trailing_data[0]), 0)
        connection.receive_data(await reader.read(_READ_BYTES))
        event = connection.next_event()
    if not isinstance(event, h11.Request):
        return None
    size = sum(len(name) + len(value) for name, value in event.headers)
    _hold_head(tracked, size, len(event.headers))
    if event.method == b"CONNECT":
        # A success would turn the connection into a tunnel.
        return refusals.Refusal(405, "CONNECT is not supported")
    return event


def _hold_head(
    tracked: connections.Connection, size: int, field_count: int
) -> None:
    """Counts a head, or what has arrived of it."""
    held = 0
    if size > _UNCOUNTED_HEAD_BYTES or field_count > _UNCOUNTED_FIELDS:
        held = size * _HEAD_COPIES + field_count * _FIELD_BYTES
    tracked.hold(connections.Part.HEAD, held)


def _hold_unread(tracked: connections.Connection, length: int | None) -> None:
    """Counts what may wait of a body that is read more slowly than it comes."""
    unread_bytes = environment.MAX_UNREAD_BYTES
    if length is not None:
        unread_bytes = min(unread_bytes, length)
    tracked.hold(connections.Part.AHEAD, unread_bytes)


async def _gather(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    body: body_memory.Body,
    body_bytes_max: int,
    on_wait: Callable[[], None],
) -> bytes | refusals.Refusal | None:
    """Returns the whole body, unless it is dropped or too long."""
    rate = parsing_rate.ParsingRate()
    while not body.is_dropped:
        event = await _next_event(reader, connection, rate, on_wait)
        if isinstance(event, h11.Data):
            body.append(event.data)
            if len(body) > body_bytes_max:
                return refusals.make_too_long()
        elif isinstance(event, h11.EndOfMessage):
            return None if body.is_dropped else body.take()
        else:
            return None
    return None


def _make_incoming(
    head: h11.Request, body: bytes, reading_ms: float
) -> message.IncomingRequest:
    target = head.target.decode("latin-1")
    host, target = _split_target(target)
    path, _, query = target.partition("?")
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in head.headers
    }
    if host is not None:
        headers["host"] = host
    method = head.method.decode("latin-1")
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    return message.IncomingRequest(
        method, path, query, headers, body, target, fields, reading_ms
    )


def _split_target(target: str) -> tuple[str | None, str]:
    """Returns the host and the path with the query of a request target.

    The host of a target in absolute form goes before the header (RFC 9112,
    section 3.2.2); it is None in other forms.
    """
    found = _ABSOLUTE_FORM.fullmatch(target)
    if found is None:
        return None, target
    rest = found[2]
    return found[1], rest if rest.startswith("/") else f"/{rest}"
