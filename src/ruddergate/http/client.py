"""Sends one HTTP/1.1 request and reads its answer piece by piece.

Faults come back as values that say whether any byte of the request may have
left this process; that is what `ran: not_run` rests on.
"""

import asyncio
import dataclasses

import h11
import orjson

from ruddergate import environment
from ruddergate.http import message

_READ_BYTES = 1 << 18


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An exchange that broke.

    Attributes:
        sent: Whether any byte of the request may have left this process.
        timed_out: Whether it was given up because of time.
        detail: One sentence for logs.
    """

    sent: bool
    timed_out: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """How long each part of an exchange may take, in milliseconds.

    Attributes:
        connect_ms: Until the connection is up.
        silence_ms: Without a byte of the answer.
        whole_ms: From the beginning to the answer's end.
    """

    connect_ms: float
    read_ms: float
    total_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """An answer read to its end.

    Attributes:
        status: HTTP status.
        headers: Values by lower-case name; the last of equal names.
        body: Whole body.
        fields: Every header line in order, names in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    fields: message.Fields = ()

    def json(self) -> object | None:
        """Returns the body as JSON, or None if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError:
            return None


class Exchange:
    """One request in flight; owns its stream.

    Attributes:
        status: HTTP status of the answer.
        headers: Headers of the answer by lower-case name.
        fields: The answer's header lines in order.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.fields: message.Fields = ()
        self._reader = reader
        self._writer = writer
        self._connection = h11.Connection(h11.CLIENT)

    def send(
        self, address: environment.Address, request: message.OutgoingRequest
    ) -> None:
        """Hands the whole request to the stream, without waiting for it.

        An answer may come before the other side has read a long body, so the
        reading must not wait for the sending.
        """
        headers = [("host", request.host or str(address))]
        headers.extend(request.headers.items())
        headers.extend(request.fields)
        if request.body or request.method != "GET":
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._connection.send(head)
        if request.body:
            data += self._connection.send(h11.Data(data=request.body))
        self._writer.write(data + self._connection.send(h11.EndOfMessage()))

    def try_send(
        self, address: environment.Address, request: message.OutgoingRequest
    ) -> Fault | None:
        """Sends the whole request; where that breaks off, closes the stream."""
        try:
            self.send(address, request)
        except OSError as error:
            self.close()
            return Fault(True, False, f"sending broke off: {error}")
        return None

    async def read_head(self) -> Fault | None:
        """Reads status and headers; returns a fault if they don't come."""
        try:
            event = await self._next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            return Fault(True, False, f"no answer: {error}")
        if not isinstance(event, h11.Response):
            return Fault(True, False, "the connection ended before an answer")
        self.status = event.status_code
        self.fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        self.headers = dict(self.fields)
        return None

    async def read_chunk(self) -> bytes | Fault:
        """Returns the next bytes of the body; empty at its proper end."""
        try:
            event = await self._next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            return Fault(True, False, f"the answer broke off: {error}")
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        return Fault(True, False, "the answer broke off")

    async def read_all(self) -> bytes | Fault:
        """Returns the whole rest of the body."""
        body = bytearray()
        while True:
            part = await self.read_chunk()
            if isinstance(part, Fault):
                return part
            if not part:
                return bytes(body)
            body += part

    def close(self) -> None:
        """Closes the stream; the answer's rest is dropped."""
        self._writer.close()

    async def _next_event(self) -> object:
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._reader.read(_READ_BYTES))


async def start(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    connect_ms: float,
) -> Exchange | Fault:
    """Connects and sends the request; the answer is left to read."""
    exchange = await connect(env, address, connect_ms)
    if isinstance(exchange, Fault):
        return exchange
    return exchange.try_send(address, request) or exchange


async def connect(
    env: environment.Environment,
    address: environment.Address,
    connect_ms: float,
) -> Exchange | Fault:
    """Returns an exchange in which nothing was sent yet."""
    try:
        async with asyncio.timeout(connect_ms / 1000.0):
            reader, writer = await env.connect(address)
    except TimeoutError:
        return Fault(False, True, f"no connection to {address} in time")
    except OSError as error:
        return Fault(False, False, f"no connection to {address}: {error}")
    return Exchange(reader, writer)


async def fetch(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    timeout_ms: float,
) -> CompleteResponse | Fault:
    """Sends the request and reads the whole answer within the timeout."""
    timeouts = Timeouts(timeout_ms, timeout_ms, timeout_ms)
    return await fetch_within(env, address, request, timeouts)


async def fetch_within(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    timeouts: Timeouts,
) -> CompleteResponse | Fault:
    """Sends the request and reads the whole answer.

    An answer that keeps coming may take longer than the other side's silence
    is borne: a large one on a thin link does.
    """
    began_ms = env.now_ms()
    exchange = await start(env, address, request, timeouts.connect_ms)
    if isinstance(exchange, Fault):
        return exchange
    left_ms = max(1.0, timeouts.total_ms - (env.now_ms() - began_ms))
    silence_s = timeouts.read_ms / 1000.0
    try:
        async with asyncio.timeout(left_ms / 1000.0):
            async with asyncio.timeout(silence_s):
                fault = await exchange.read_head()
            if fault is not None:
                return fault
            body = bytearray()
            while True:
                async with asyncio.timeout(silence_s):
                    part = await exchange.read_chunk()
                if isinstance(part, Fault):
                    return part
                if not part:
                    break
                body += part
    except TimeoutError:
        return Fault(True, True, f"no answer from {address} in time")
    finally:
        exchange.close()
    return CompleteResponse(
        exchange.status, exchange.headers, bytes(body), exchange.fields
    )


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
