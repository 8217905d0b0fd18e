"""Sends one HTTP/1.1 request and reads the response incrementally.

Errors are returned as values that say whether any byte of the request may have
left this process. The outcome `ran: not_run` relies on this.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import h11
import orjson

from ruddergate import environment
from ruddergate.http import body_memory
from ruddergate.http import message
from ruddergate.http import parsing_rate

_HEAD = "HEAD"
_READ_BYTES = 1 << 18
# Interim responses (1xx) that may precede a response.
MAX_INTERIM_RESPONSES = 16
# Status that h11 suggests for a head, chunk header or trailer over its limit.
_HEAD_TOO_LARGE = 431
# Larger ones are invalid (RFC 9110, section 15); the parser rejects others.
_MAX_STATUS = 599
_BODY_TOO_LARGE = "the body takes too much memory"


class ResponseTooLargeError(Exception):
    """A response exceeds a bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A failed exchange.

    Attributes:
        sent: Whether any byte of the request may have left this process.
        timed_out: Whether it failed because of a timeout.
        detail: One sentence for logs.
        is_too_large: Whether the response exceeds a bound.
    """

    sent: bool
    timed_out: bool
    detail: str
    is_too_large: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of an exchange, in milliseconds.

    Attributes:
        connect_ms: For connecting.
        read_ms: Between bytes of the response.
        total_ms: From the start to the end of the response.
    """

    connect_ms: float
    read_ms: float
    total_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that was read completely.

    Attributes:
        status: HTTP status.
        headers: Values by lower-case name; the last of equal names.
        body: Complete body.
        fields: Every header line in order, names in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    fields: message.Fields = ()

    def json(self) -> object | None:
        """Returns the body parsed as JSON, or None if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError:
            return None


_FRAMING_HEADERS = ("content-length", "transfer-encoding")


class Exchange:
    """One request in flight; owns its stream.

    Attributes:
        status: HTTP status of the response.
        headers: Headers of the response by lower-case name.
        fields: Header lines of the response in order.
        is_framed: Whether the response has a length or chunks. Otherwise it
            ends with its connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.fields: message.Fields = ()
        self.is_framed = True
        self._reader = reader
        self._writer = writer
        self._connection = h11.Connection(h11.CLIENT)
        self._interim_responses = 0
        self._rate = parsing_rate.ParsingRate()
        self._is_head = False

    def send(
        self, address: environment.Address, request: message.OutgoingRequest
    ) -> None:
        """Writes the whole request to the stream, without waiting.

        The response may arrive before the server has read a long body, so
        reading must not wait until everything is sent.
        """
        self._is_head = request.method == _HEAD
        headers = [("host", request.host or str(address))]
        headers.extend(request.headers.items())
        headers.extend(request.fields)
        if request.body or request.method != "GET":
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=message.encode_fields(headers),
        )
        data = self._connection.send(head)
        if request.body:
            data += self._connection.send(h11.Data(data=request.body))
        self._writer.write(data + self._connection.send(h11.EndOfMessage()))

    def try_send(
        self, address: environment.Address, request: message.OutgoingRequest
    ) -> Fault | None:
        """Sends the whole request; closes the stream if that fails."""
        try:
            self.send(address, request)
        except OSError as error:
            self.close()
            return Fault(True, False, f"sending failed: {error}")
        return None

    async def read_head(self) -> Fault | None:
        """Reads status and headers; returns a fault if that fails."""
        try:
            event = await self._next_event()
        except environment.NotSentError as error:
            return Fault(False, True, f"not sent: {error}")
        except (OSError, h11.RemoteProtocolError) as error:
            return Fault(True, False, f"no response: {error}")
        except ResponseTooLargeError as error:
            return _make_size_fault(str(error))
        if not isinstance(event, h11.Response):
            return Fault(
                True, False, "the connection was closed before a response"
            )
        if event.status_code > _MAX_STATUS:
            return Fault(
                True, False, f"no response: invalid status {event.status_code}"
            )
        self.status = event.status_code
        self.fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        self.headers = dict(self.fields)
        self.is_framed = not self.headers.keys().isdisjoint(_FRAMING_HEADERS)
        return None

    async def read_chunk(self) -> bytes | Fault:
        """Returns the next bytes of the body; empty at its regular end."""
        try:
            event = await self._next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            return Fault(True, False, f"the response was cut off: {error}")
        except ResponseTooLargeError as error:
            return _make_size_fault(str(error))
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        return Fault(True, False, "the response was cut off")

    async def read_all(
        self, memory: body_memory.BodyMemory | None = None
    ) -> bytes | Fault:
        """Returns the rest of the body.

        Args:
            memory: Bounds the memory of this body and others that are read.
        """
        memory = memory or body_memory.BodyMemory()
        if self._read_length() > memory.limit_bytes:
            return _make_size_fault(_BODY_TOO_LARGE)
        try:
            async with asyncio.timeout(None) as scope:
                # A time in the past ends the reading at once.
                body = memory.open(lambda: scope.reschedule(0.0))
                try:
                    return await self._gather(body)
                finally:
                    body.close()
        except TimeoutError:
            if not scope.expired():
                raise
            return _make_size_fault(_BODY_TOO_LARGE)

    async def _gather(self, body: body_memory.Body) -> bytes | Fault:
        while not body.is_dropped:
            chunk = await self.read_chunk()
            if isinstance(chunk, Fault):
                return chunk
            if not chunk and not body.is_dropped:
                return body.copy()
            body.append(chunk)
        return _make_size_fault(_BODY_TOO_LARGE)

    def _read_length(self) -> int:
        if self._is_head:
            return 0
        return int(self.headers.get("content-length", "0"))

    def close(self) -> None:
        """Closes the stream and drops the rest of the response."""
        self._writer.close()

    async def _next_event(self) -> object:
        has_ended = False
        while True:
            await self._rate.wait()
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                if has_ended:
                    raise ConnectionError("the target closed it") from error
                if error.error_status_hint == _HEAD_TOO_LARGE:
                    raise ResponseTooLargeError(str(error)) from error
                raise
            if isinstance(event, h11.InformationalResponse):
                self._note_interim_response()
                continue
            if event is not h11.NEED_DATA:
                self._rate.note_piece()
                return event
            data = await self._reader.read(_READ_BYTES)
            has_ended = not data
            self._connection.receive_data(data)

    def _note_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ResponseTooLargeError(
                f"more than {MAX_INTERIM_RESPONSES} interim responses"
            )


def _make_size_fault(detail: str) -> Fault:
    return Fault(True, False, detail, is_too_large=True)


async def start(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    connect_ms: float,
) -> Exchange | Fault:
    """Connects and sends the request, without reading the response."""
    exchange = await connect(env, address, connect_ms)
    if isinstance(exchange, Fault):
        return exchange
    return exchange.try_send(address, request) or exchange


async def connect(
    env: environment.Environment,
    address: environment.Address,
    connect_ms: float,
) -> Exchange | Fault:
    """Connects; nothing is sent yet."""
    try:
        async with asyncio.timeout(connect_ms / 1000.0):
            reader, writer = await env.connect(address)
    except TimeoutError as error:
        detail = str(error) or "timed out"
        return Fault(False, True, f"connecting to {address} failed: {detail}")
    except OSError as error:
        return Fault(False, False, f"connecting to {address} failed: {error}")
    return Exchange(reader, writer)


async def fetch(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    timeout_ms: float,
    body_bytes_max: int = body_memory.DEFAULT_LIMIT_BYTES,
) -> CompleteResponse | Fault:
    """Sends the request and reads the whole response within the timeout."""
    timeouts = Timeouts(timeout_ms, timeout_ms, timeout_ms)
    return await fetch_within(env, address, request, timeouts, body_bytes_max)


async def fetch_within(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    timeouts: Timeouts,
    body_bytes_max: int,
    on_head: Callable[[float], None] = lambda took_ms: None,
) -> CompleteResponse | Fault:
    """Sends the request and reads the whole response.

    A response that keeps arriving may take longer than the read timeout, as a
    large one does on a slow link. A body of more than `body_bytes_max` bytes is
    a fault. When a response begins, `on_head` is called with the milliseconds
    since the start.
    """
    started_ms = env.now_ms()
    exchange = await start(env, address, request, timeouts.connect_ms)
    if isinstance(exchange, Fault):
        return exchange
    remaining_ms = max(1.0, timeouts.total_ms - (env.now_ms() - started_ms))
    read_timeout_s = timeouts.read_ms / 1000.0
    try:
        async with asyncio.timeout(remaining_ms / 1000.0):
            async with asyncio.timeout(read_timeout_s):
                fault = await exchange.read_head()
            if fault is not None:
                return fault
            on_head(env.now_ms() - started_ms)
            body = await _fetch_body(exchange, read_timeout_s, body_bytes_max)
    except TimeoutError:
        return Fault(True, True, f"no response from {address} in time")
    finally:
        exchange.close()
    if isinstance(body, Fault):
        return body
    return CompleteResponse(
        exchange.status, exchange.headers, body, exchange.fields
    )


async def _fetch_body(
    exchange: Exchange, read_timeout_s: float, body_bytes_max: int
) -> bytes | Fault:
    body = bytearray()
    while len(body) <= body_bytes_max:
        async with asyncio.timeout(read_timeout_s):
            chunk = await exchange.read_chunk()
        if isinstance(chunk, Fault):
            return chunk
        if not chunk:
            return bytes(body)
        body += chunk
    return _make_size_fault(_BODY_TOO_LARGE)


def make_json_request(
    method: str, target: str, document: object = None
) -> message.OutgoingRequest:
    """Returns a request whose body is the document as JSON, or empty."""
    if document is None:
        return message.OutgoingRequest(method, target, {}, b"")
    headers = {"content-type": message.JSON_TYPE}
    return message.OutgoingRequest(
        method, target, headers, orjson.dumps(document)
    )
