"""Answers whose last bytes have not left the process as it ends.

Guards against truncated answers at the end of a planned stop: a connection
counted as closed while up to 64 KiB of its answer was still in the process, so
a stop that had waited for all connections lost them.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket
import unittest

import loguru

from ruddergate import environment
from ruddergate import stop_signal
from ruddergate.entry import config as configs
from ruddergate.entry import program
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.telemetry import traces
from standins import virtual_process

_HOST = "127.0.0.1"
_PORT = 80
_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_CHUNK = b"x" * 1_000
_LAST_EVENT = b"data: [DONE]\n\n"
# More than the caller's end and the network hold, so that the rest stays in the
# process; less than what makes the server wait before its connection ends.
_CHUNKS = 120
_ANSWER_S = 0.05
_POLL_S = 0.02
_ENDS_IN_S = 0.1
_SLOW_READ_BYTES = 2_000
_LONG_S = 60.0
# Small, so that most of an answer stays in the process.
_SOCKET_BYTES = 4_096
_CHUNKS_OF_SMALL_SOCKETS = 60
_STOP_LAG_MS = 100.0
_PAGE_REQUEST = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
_PAGE_END = b"# TYPE ruddergate_waiting_cost_ms gauge\n"
# About as many bytes as the answers above.
_PAGES = 17


class _Sockets:
    """The connections that a process has accepted."""

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def listen(
        self,
        handler: environment.StreamHandler,
        sock: socket.socket | None = None,
    ) -> asyncio.Server:
        """Listens at a socket, or at a port in virtual time."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.append(writer)
            self.tasks.append(asyncio.ensure_future(handler(reader, writer)))

        if sock is not None:
            return await asyncio.start_server(accept, sock=sock)
        return await asyncio.start_server(accept, _HOST, _PORT)

    def count_unsent_bytes(self) -> int:
        """Returns the bytes that have not left the process."""
        return sum(
            writer.transport.get_write_buffer_size() for writer in self._writers
        )

    async def end_process(self) -> None:
        """Loses what has not left the process, as its end does."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=_ENDS_IN_S)
        for writer in self._writers:
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()


class _Process:
    """A process with a server of one connection, which ends when told to."""

    def __init__(self, answers: list[message.Response]) -> None:
        self.connections = server.Connections()
        self.is_accepting = True
        self.sockets = _Sockets()
        self._answers = answers

    async def listen(self, sock: socket.socket | None = None) -> asyncio.Server:
        """Listens at a socket, or at a port in virtual time."""
        handler = server.make_stream_handler(
            self._handle,
            server.Limits(),
            connections=self.connections,
            is_accepting=lambda: self.is_accepting,
        )
        return await self.sockets.listen(handler, sock)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection to it of a caller that reads slowly."""
        listening = await self.listen()
        pair = await _connect_slow_caller()
        listening.close()
        return pair

    async def _handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        await asyncio.sleep(_ANSWER_S)
        return self._answers.pop(0)

    def begin_second_phase(self) -> None:
        """Ends connections with their answers, and idle ones at once."""
        self.is_accepting = False
        self.connections.close_idle()

    async def wait_until_closed(self) -> float:
        """Waits as a planned stop does; returns how long it took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while len(self.connections):
            await asyncio.sleep(_POLL_S)
            self.connections.close_idle()
        return loop.time() - began_s


async def _connect_slow_caller() -> tuple[
    asyncio.StreamReader, asyncio.StreamWriter
]:
    """Returns a caller's connection that takes few bytes at a time."""
    reader, writer = await asyncio.open_connection(_HOST, _PORT, limit=1)
    writer.transport.max_size = _SLOW_READ_BYTES
    return reader, writer


def _make_plain(status: int = 200) -> message.Response:
    return message.Response(status, {}, _CHUNK * _CHUNKS + _LAST_EVENT)


def _make_stream(chunks: int = _CHUNKS) -> message.Response:
    async def generate() -> AsyncIterator[bytes]:
        for _ in range(chunks):
            yield _CHUNK
        yield _LAST_EVENT

    return message.Response(200, {}, generate())


def _make_small_socket() -> socket.socket:
    """Returns a socket that holds a few thousand bytes."""
    made = socket.socket()
    made.setblocking(False)
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        made.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BYTES)
    return made


async def _read_slowly(reader: asyncio.StreamReader) -> bytes:
    received = b""
    while data := await reader.read(_SLOW_READ_BYTES):
        received += data
        await asyncio.sleep(_POLL_S)
    return received


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    virtual_process.run(scenario)


class UnsentAnswersTest(unittest.TestCase):
    def _stop_during(
        self, answers: list[message.Response], stops_after_s: float
    ) -> bytes:
        """Returns what a slow caller gets of answers that a stop waits for."""
        received = []

        async def scenario() -> None:
            process = _Process(list(answers))
            reader, writer = await process.connect()
            writer.write(_REQUEST * len(answers))
            reading = asyncio.ensure_future(_read_slowly(reader))
            await asyncio.sleep(stops_after_s)
            process.begin_second_phase()
            await process.wait_until_closed()
            await process.sockets.end_process()
            received.append(await reading)
            writer.close()

        _run(scenario)
        return received[0]

    def test_plain_answer_is_whole_as_the_process_ends(self) -> None:
        received = self._stop_during([_make_plain()], 0.5 * _ANSWER_S)
        self.assertEqual(received.count(_CHUNK), _CHUNKS)
        self.assertTrue(received.endswith(_LAST_EVENT), len(received))

    def test_stream_has_its_last_event_as_the_process_ends(self) -> None:
        received = self._stop_during([_make_stream()], 0.5 * _ANSWER_S)
        self.assertEqual(received.count(_CHUNK), _CHUNKS)
        self.assertTrue(received.endswith(_LAST_EVENT + b"\r\n0\r\n\r\n"))

    def test_refusal_behind_an_answer_arrives_as_the_process_ends(
        self,
    ) -> None:
        refusal = message.Response(
            503, {"connection": "close"}, b'{"ran": "not_run"}'
        )
        received = self._stop_during([_make_plain(), refusal], 1.5 * _ANSWER_S)
        self.assertEqual(received.count(_CHUNK), _CHUNKS)
        self.assertTrue(received.endswith(refusal.body), len(received))

    def test_idle_connection_is_whole_as_the_process_ends(self) -> None:
        received = self._stop_during([_make_plain()], 2.0 * _ANSWER_S)
        self.assertTrue(received.endswith(_LAST_EVENT), len(received))


class AbandonedAnswersTest(unittest.TestCase):
    """A caller that takes no bytes holds a connection for a bounded time."""

    async def _start(self) -> tuple[_Process, asyncio.StreamWriter]:
        """Returns a process that has answered, and a caller that won't read."""
        process = _Process([_make_plain()])
        _, writer = await process.connect()
        writer.write(_REQUEST)
        await asyncio.sleep(0.5 * _ANSWER_S)
        process.begin_second_phase()
        await asyncio.sleep(_ANSWER_S)
        self.assertGreater(process.sockets.count_unsent_bytes(), 0)
        self.assertEqual(len(process.connections), 1)
        return process, writer

    def test_caller_that_never_reads_is_closed(self) -> None:
        async def scenario() -> None:
            process, writer = await self._start()
            async with asyncio.timeout(_LONG_S):
                await process.wait_until_closed()
            self.assertEqual(process.sockets.count_unsent_bytes(), 0)
            writer.close()

        _run(scenario)

    def test_caller_that_leaves_is_closed_at_once(self) -> None:
        async def scenario() -> None:
            process, writer = await self._start()
            writer.transport.abort()
            self.assertLess(await process.wait_until_closed(), 0.1)

        _run(scenario)

    def test_end_without_the_last_bytes_is_no_regular_end(self) -> None:
        """The end of the connection is the end of an answer in HTTP/1.0."""

        async def run() -> None:
            listener = _make_small_socket()
            listener.bind((_HOST, 0))
            caller = _make_small_socket()
            process = _Process([_make_stream(_CHUNKS_OF_SMALL_SOCKETS)])
            listening = await process.listen(listener)
            await asyncio.get_running_loop().sock_connect(
                caller, listener.getsockname()
            )
            caller.send(b"GET / HTTP/1.0\r\n\r\n")
            while not process.sockets.tasks:
                await asyncio.sleep(_POLL_S)
            await asyncio.sleep(2.0 * _ANSWER_S)
            self.assertGreater(process.sockets.count_unsent_bytes(), 0)
            await process.sockets.end_process()
            reader, writer = await asyncio.open_connection(sock=caller)
            with self.assertRaises(ConnectionResetError):
                await reader.read()
            writer.close()
            listening.close()

        asyncio.run(run())

    def test_end_of_the_process_is_not_held_up(self) -> None:
        async def scenario() -> None:
            process, writer = await self._start()
            await process.sockets.end_process()
            self.assertTrue(all(task.done() for task in process.sockets.tasks))
            self.assertEqual(len(process.connections), 0)
            writer.close()

        _run(scenario)


class _EntryProcess:
    """A `ruddergate-entry` without an agent, which answers pages only."""

    def __init__(self) -> None:
        self.sockets = _Sockets()
        self.stop = stop_signal.StopSignal()
        loop = asyncio.get_running_loop()
        env = environment.Environment(
            now_ms=lambda: loop.time() * 1000.0,
            wall_ms=lambda: loop.time() * 1000.0,
            random=random.Random(1),
            connect=self._connect,
            serve=self._serve,
            bind=None,
        )
        address = environment.Address(_HOST, _PORT)
        peers = environment.Address(_HOST, _PORT + 1)
        config = configs.EntryConfig(
            "vm-1", "hall-1", address, peers, peers, stop_lag_ms=_STOP_LAG_MS
        )
        tracer = traces.make_tracer("off", "ruddergate-entry", "vm-1")
        entry = program.Entry(env, config, tracer)
        self.running = asyncio.ensure_future(entry.run(self.stop))

    async def _connect(
        self, address: environment.Address
    ) -> environment.StreamPair:
        raise ConnectionRefusedError(str(address))

    async def _serve(
        self, handler: environment.StreamHandler, address: environment.Address
    ) -> asyncio.Server:
        if address.port == _PORT:
            return await self.sockets.listen(handler)
        return await asyncio.start_server(handler, address.host, address.port)


class EntryStopTest(unittest.TestCase):
    """`ruddergate-entry` ended without looking at its connections."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_pages_are_whole_as_the_process_ends(self) -> None:
        async def scenario() -> None:
            process = _EntryProcess()
            await asyncio.sleep(_POLL_S)
            reader, writer = await _connect_slow_caller()
            writer.write(_PAGE_REQUEST * _PAGES)
            reading = asyncio.ensure_future(_read_slowly(reader))
            process.stop.set()
            await process.running
            await process.sockets.end_process()
            self.assertEqual((await reading).count(_PAGE_END), _PAGES)
            writer.close()

        _run(scenario)

    def test_caller_that_never_reads_does_not_hold_up_the_stop(self) -> None:
        async def scenario() -> None:
            process = _EntryProcess()
            await asyncio.sleep(_POLL_S)
            _, writer = await _connect_slow_caller()
            writer.write(_PAGE_REQUEST * (3 * _PAGES))
            process.stop.set()
            async with asyncio.timeout(_LONG_S):
                await process.running
            self.assertGreater(process.sockets.count_unsent_bytes(), 0)
            await process.sockets.end_process()
            writer.close()

        _run(scenario)
