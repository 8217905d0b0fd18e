"""Forwards requests to the VM that must run them; relays its responses."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeAlias

from ruddergate import environment
from ruddergate.http import message
from ruddergate.messages import forward
from ruddergate.wire import codec
from ruddergate.wire import frames

_CONNECT_TIMEOUT_MS = 1_000.0
_RETURN_TRIP_MS = 20.0

LocalHandler: TypeAlias = Callable[
    [message.IncomingRequest], Awaitable[message.Response]
]


async def forward_request(
    env: environment.Environment,
    address: environment.Address,
    peer_key: bytes,
    incoming: message.IncomingRequest,
    time_limit_ms: float,
    make_lost_response: Callable[[], message.Response],
    make_broken_tail: Callable[[], bytes],
) -> message.Response:
    """Returns the response of the entry at `address`.

    Args:
        env: Clock and network streams.
        address: The other entry.
        peer_key: Key shared by the system's own processes.
        incoming: The caller's request.
        time_limit_ms: Time left of its time limit.
        make_lost_response: Makes the response if the other entry sends none.
        make_broken_tail: Makes the last bytes if its response breaks off.
    """
    deadline_ms = env.now_ms() + time_limit_ms
    stream, head = await _exchange(
        env, address, peer_key, incoming, time_limit_ms
    )
    if not isinstance(head, forward.ForwardHead):
        if stream is not None:
            stream.close()
        return make_lost_response()
    if head.headers.get("content-type") == message.EVENT_STREAM_TYPE:
        body = _relay_stream(stream, env, deadline_ms, make_broken_tail)
        return message.Response(head.status, head.headers, body)
    whole = await _read_body(stream, env, deadline_ms)
    if whole is None:
        return make_lost_response()
    return message.Response(head.status, head.headers, whole)


async def _exchange(
    env: environment.Environment,
    address: environment.Address,
    peer_key: bytes,
    incoming: message.IncomingRequest,
    time_limit_ms: float,
) -> tuple[frames.FrameStream | None, codec.Message | frames.Closed | None]:
    """Sends the request; returns the stream and the first reply."""
    stream: frames.FrameStream | None = None
    connect_ms = min(time_limit_ms, _CONNECT_TIMEOUT_MS)
    # The other entry gets a slightly shorter limit, so that its response still
    # arrives in time.
    home_limit_ms = max(1.0, time_limit_ms - _RETURN_TRIP_MS)
    try:
        async with asyncio.timeout(time_limit_ms / 1000.0):
            async with asyncio.timeout(connect_ms / 1000.0):
                reader, writer = await env.connect(address)
                stream = frames.FrameStream(reader, writer, peer_key)
                closed = await stream.greet()
            if closed is not None:
                return stream, closed
            await stream.send(_make_forward(incoming, home_limit_ms))
            return stream, await stream.receive()
    except (OSError, TimeoutError):
        return stream, None


def _make_forward(
    incoming: message.IncomingRequest, time_limit_ms: float
) -> forward.Forward:
    path = incoming.path
    if incoming.query:
        path = f"{path}?{incoming.query}"
    headers = dict(incoming.headers)
    return forward.Forward(path, headers, incoming.body, time_limit_ms)


async def _relay_stream(
    stream: frames.FrameStream,
    env: environment.Environment,
    deadline_ms: float,
    make_broken_tail: Callable[[], bytes],
) -> AsyncIterator[bytes]:
    try:
        while True:
            left_ms = max(1.0, deadline_ms - env.now_ms())
            try:
                async with asyncio.timeout(left_ms / 1000.0):
                    part = await stream.receive()
            except TimeoutError:
                part = None
            if not isinstance(part, forward.ForwardPart):
                yield make_broken_tail()
                return
            if part.data:
                yield part.data
            if part.last:
                return
    finally:
        stream.close()


async def _read_body(
    stream: frames.FrameStream,
    env: environment.Environment,
    deadline_ms: float,
) -> bytes | None:
    body = bytearray()
    left_ms = max(1.0, deadline_ms - env.now_ms())
    try:
        async with asyncio.timeout(left_ms / 1000.0):
            while True:
                part = await stream.receive()
                if not isinstance(part, forward.ForwardPart):
                    return None
                body += part.data
                if part.last:
                    return bytes(body)
    except TimeoutError:
        return None
    finally:
        stream.close()


def make_stream_handler(
    peer_key: bytes, handle: LocalHandler, read_timeout_ms: float
) -> environment.StreamHandler:
    """Returns a stream handler that answers forwarded requests."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = frames.FrameStream(reader, writer, peer_key)
        try:
            async with asyncio.timeout(read_timeout_ms / 1000.0):
                if await stream.greet() is not None:
                    return
                forwarded = await stream.receive()
            if isinstance(forwarded, forward.Forward):
                await _answer_forwarded(stream, forwarded, handle)
        except (OSError, TimeoutError):
            pass  # The other entry reports the closed connection to its caller.
        finally:
            stream.close()

    return serve


async def _answer_forwarded(
    stream: frames.FrameStream, forwarded: forward.Forward, handle: LocalHandler
) -> None:
    path, _, query = forwarded.path.partition("?")
    limit = {
        "ruddergate-time-limit-ms": f"{max(1.0, forwarded.time_limit_ms):.0f}"
    }
    headers = {**forwarded.headers, **limit}
    incoming = message.IncomingRequest(
        "POST", path, query, headers, forwarded.body
    )
    response = await handle(incoming)
    await stream.send(
        forward.ForwardHead(response.status, dict(response.headers))
    )
    if isinstance(response.body, bytes):
        await stream.send(forward.ForwardPart(response.body, True))
        return
    async with contextlib.aclosing(response.body) as parts:
        async for part in parts:
            closed = await stream.send(forward.ForwardPart(part, False))
            if closed is not None:
                return
    await stream.send(forward.ForwardPart(b"", True))
