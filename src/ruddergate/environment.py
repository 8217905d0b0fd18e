"""The environment of a task: clocks, randomness and network streams.

Tasks take an `Environment` instead of using the clock or sockets directly, so
that the same tasks run on real sockets and, in tests, in virtual time.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import ipaddress
import os
import random
import re
import socket
import struct
import time
from typing import TypeAlias

from ruddergate import clock
from ruddergate import untrusted

StreamPair: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]
DatagramHandler: TypeAlias = Callable[[bytes], None]
StreamHandler: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

STREAM_LIMIT_BYTES = 1 << 20
# Half of what a stream that was accepted buffers before it stops reading.
ACCEPTED_LIMIT_BYTES = 1 << 13
# What the system buffers of each accepted connection, in either direction; it
# takes up to twice as much. Bodies of some megabytes still arrive within a
# second over links of a few milliseconds.
RECEIVE_BUFFER_BYTES = 1 << 15
SEND_BUFFER_BYTES = 1 << 15
# The most that waits to be read of a connection that nobody reads: in the
# stream, which one read of the system may exceed, and in the system.
MAX_UNREAD_BYTES = 2 * ACCEPTED_LIMIT_BYTES + 4 * RECEIVE_BUFFER_BYTES
# A peer that has lost power, or is behind a network partition, sends nothing.
# Keepalive probes detect it within about 6 s: longer than an interruption of a
# few seconds, which connections survive, and shorter than most time limits.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 6_000
# Limits of the domain name system. Underscores are usual in internal names.
MAX_HOST_BYTES = 253
_LABEL = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
MAX_PORT_DIGITS = 5


class UnreachableError(TimeoutError):
    """An address can't be reached; whether anything listens is unknown."""


class NotSentError(ConnectionError):
    """A peer did not pass on what was written; none of it left that peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens.

    Attributes:
        host: IP address.
        port: Port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramPort:
    """An open port for datagrams, which may be lost on their way.

    Attributes:
        send: Sends a datagram without waiting.
        close: Closes the port.
    """

    send: Callable[[bytes, Address], None]
    close: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Clocks, randomness and network of one process.

    Attributes:
        now_ms: Clock in milliseconds that never goes back and includes the time
            of a suspension, see `clock`.
        wall_ms: Wall clock in milliseconds; used only to order incarnations, to
            compare with start times of targets and for dates in responses.
        random: Random generator for jitter, sampling and identifiers.
        connect: Opens a stream; raises OSError on failure.
        serve: Starts listening and calls the handler for each stream.
        bind: Starts receiving datagrams and calls the handler for each.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], float]
    random: random.Random
    connect: Callable[[Address], Awaitable[StreamPair]]
    serve: Callable[[StreamHandler, Address], Awaitable[asyncio.Server]]
    bind: Callable[[DatagramHandler, Address], Awaitable["DatagramPort"]]


def parse_address(text: str) -> Address:
    """Parses `host:port`; raises ValueError with a message for users."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not _is_decimal(port):
        shown = untrusted.describe_value(text)
        raise ValueError(f"expected HOST:PORT, found {shown}")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) < 65536:
        raise ValueError(f"expected a port from 1 to 65535, found {port:.40}")
    if not _is_host(host):
        raise ValueError(f"expected an IP number or name, found {host:.40}")
    return Address(host, int(port))


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _is_host(text: str) -> bool:
    """Returns whether a text is an IPv4 number, or a name to look up."""
    labels = text.removesuffix(".").split(".")
    if all(map(_is_decimal, labels)):
        # The system reads other forms of numbers as well, each in its own way.
        return _is_ipv4(text)
    return len(text) <= MAX_HOST_BYTES and all(map(_LABEL.fullmatch, labels))


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes datagrams to a handler; ignores unreachable-port errors."""

    def __init__(self, handler: DatagramHandler) -> None:
        self._handle = handler

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._handle(data)


def make_system_environment() -> Environment:
    """Returns the system clocks, a generator seeded by the system, and TCP."""

    async def connect(address: Address) -> StreamPair:
        try:
            reader, writer = await asyncio.open_connection(
                address.host, address.port, limit=STREAM_LIMIT_BYTES
            )
        except (UnicodeError, OverflowError) as error:
            raise OSError(f"{address!s:.40} is no address") from error
        _enable_keepalive(writer)
        return reader, writer

    async def serve(handler: StreamHandler, address: Address) -> asyncio.Server:
        # The event loop keeps only weak references to tasks.
        open_tasks: set[asyncio.Task] = set()

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            _enable_keepalive(writer)
            await handler(reader, writer)

        # Not a coroutine function, since asyncio reports each cancelled task of
        # one as an error; connections are cancelled when the process ends.
        def start(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.ensure_future(accept(reader, writer))
            open_tasks.add(task)
            task.add_done_callback(open_tasks.discard)
            task.add_done_callback(
                lambda ended: _report_task_failure(ended, writer)
            )

        server = await asyncio.start_server(
            start,
            address.host,
            address.port,
            limit=ACCEPTED_LIMIT_BYTES,
            start_serving=False,
        )
        for listener in server.sockets:
            _bound_buffers(listener)
        await server.start_serving()
        return server

    async def bind(handler: DatagramHandler, address: Address) -> DatagramPort:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(handler),
            local_addr=(address.host, address.port),
        )
        return DatagramPort(
            lambda data, to: transport.sendto(data, (to.host, to.port)),
            transport.close,
        )

    return Environment(
        now_ms=lambda: clock.read_s() * 1000.0,
        wall_ms=lambda: time.time() * 1000.0,
        random=random.Random(os.urandom(16)),
        connect=connect,
        serve=serve,
        bind=bind,
    )


def _report_task_failure(
    task: asyncio.Task, writer: asyncio.StreamWriter
) -> None:
    """Reports a connection's task that failed, and closes the connection."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        task.get_loop().call_exception_handler(
            {"message": "The task of a connection failed.", "exception": error}
        )
        writer.transport.close()


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Has the system close a connection whose peer is silently unreachable."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def _bound_buffers(listener: asyncio.trsock.TransportSocket) -> None:
    """Bounds the system's buffers of connections that will be accepted."""
    for option, size in (
        (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ):
        listener.setsockopt(socket.SOL_SOCKET, option, size)


def make_random_id(rng: random.Random, length: int = 12) -> str:
    """Returns a random identifier of `length` hexadecimal digits."""
    return f"{rng.getrandbits(4 * length):0{length}x}"


def count_unsent_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns the bytes that were written and have not left the process."""
    if writer.get_extra_info("socket") is None:
        return 0
    return writer.transport.get_write_buffer_size()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, which its peer reads as an error."""
    connection = writer.get_extra_info("socket")
    if connection is None:
        writer.close()
        return
    # Without lingering, closing a socket resets its connection.
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()
