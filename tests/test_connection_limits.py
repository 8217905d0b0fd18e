"""What all connections of a server may hold, and how many there may be.

Guards against callers that take the memory of a VM together, each within what
one connection may hold, and against connections without a request that take
the places of ordinary callers.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest
from unittest import mock

from ruddergate import environment
from ruddergate.http import body_memory
from ruddergate.http import connections
from ruddergate.http import message
from ruddergate.http import server
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm-1", 80)
_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_LONG_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nx: %s\r\n\r\n" % (b"x" * 4_000)
_INVALID_PATH = b"GET /invalid HTTP/1.1\r\nhost: a\r\n\r\n"
_MANY_FIELDS = (
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    + b"".join(b"f%d: x\r\n" % number for number in range(1_000))
    + b"\r\n"
)
_CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
)
_CHUNKED_REST = b"4\r\nbody\r\n0\r\n\r\n"
_LIMIT_BYTES = 1_000_000
_ANSWER_S = 2.0
_STAY_S = 1.0


class _Server:
    """A server whose answers take some seconds.

    Attributes:
        connections: Its connections.
        memory: Counts its bodies.
        causes: Why connections were ended, in order.
        peak_bytes: Most bytes that they held.
    """

    def __init__(self, connections_max: int, keeps_idle: bool) -> None:
        loop = asyncio.get_running_loop()
        self.causes: list[connections.Cause] = []
        self.peak_bytes = 0
        self.memory = body_memory.BodyMemory(clock=loop.time)
        self.connections = connections.Connections(
            _LIMIT_BYTES,
            lambda ended: self.causes.append(ended.cause),
            loop.time,
            keeps_idle,
        )
        self.handler = server.make_stream_handler(
            self._handle,
            server.Limits(connections_max=connections_max),
            connections=self.connections,
            memory=self.memory,
        )

    async def _handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        self.peak_bytes = max(self.peak_bytes, self.connections.held_bytes)
        if incoming.path == "/invalid":
            return message.Response(404, {}, b"")
        await asyncio.sleep(_ANSWER_S)
        return message.Response(200, {}, b"answer")


class _Caller:
    """Opens connections."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env

    async def open(self, data: bytes) -> environment.StreamPair:
        """Opens a connection and sends some bytes."""
        reader, writer = await self._env.connect(_ADDRESS)
        writer.write(data)
        return reader, writer

    async def fetch(self, data: bytes = _REQUEST) -> bytes:
        """Sends some bytes and returns what is received first."""
        reader, writer = await self.open(data)
        try:
            async with asyncio.timeout(2.0 * _ANSWER_S):
                return await reader.read(10_000)
        finally:
            writer.close()


class ConnectionLimitFixture(unittest.TestCase):
    def _run(
        self,
        scenario: Callable[[_Server, _Caller], Awaitable[None]],
        connections_max: int = 100,
        keeps_idle: bool = True,
    ) -> None:
        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            vm = virtual_process.VirtualProcess("vm-1", "h")
            env = network.make_environment(vm, 1)
            served = _Server(connections_max, keeps_idle)
            await vm.start(lambda: env.serve(served.handler, _ADDRESS))
            process = virtual_process.VirtualProcess("caller", "")
            caller = _Caller(network.make_environment(process, 1))
            await process.start(lambda: scenario(served, caller))
            # All was given back, after the requests that were sent ahead and
            # the time that connections may be idle.
            await asyncio.sleep(200.0)
            self.assertEqual(served.connections.held_bytes, 0)
            self.assertEqual(len(served.connections), 0)
            self.assertEqual(served.memory.used_bytes, 0)

        virtual_process.run(run)


class MemoryTest(ConnectionLimitFixture):
    def test_requests_sent_ahead_on_many_connections_are_bounded(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            opened = [await caller.open(_LONG_REQUEST * 20) for _ in range(40)]
            await asyncio.sleep(_STAY_S)
            self.assertLessEqual(served.peak_bytes, _LIMIT_BYTES)
            self.assertIn(connections.Cause.MEMORY, served.causes)
            self.assertIn(b"200", (await caller.fetch())[:20])
            for _, writer in opened:
                writer.close()

        self._run(scenario)

    def test_large_head_is_refused_as_not_run(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            opened = [await caller.open(_MANY_FIELDS) for _ in range(40)]
            await asyncio.sleep(_STAY_S)
            self.assertLessEqual(
                served.connections.held_bytes, 2 * _LIMIT_BYTES
            )
            refused = await opened[0][0].read(10_000)
            self.assertIn(b"503", refused[:20])
            self.assertIn(b"retry-after: 1", refused)
            self.assertIn(b'"ran":"not_run"', refused)
            for _, writer in opened:
                writer.close()

        self._run(scenario)

    def test_bodies_under_way_are_bounded(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            opened = [await caller.open(_CHUNKED_HEAD) for _ in range(40)]
            await asyncio.sleep(_STAY_S)
            self.assertLessEqual(served.connections.held_bytes, _LIMIT_BYTES)
            for _, writer in opened:
                writer.write(_CHUNKED_REST)
            answers = [await reader.read(10_000) for reader, _ in opened]
            served_count = sum(b" 200 " in each for each in answers)
            refused_count = sum(b" 503 " in each for each in answers)
            self.assertGreater(served_count, 0)
            self.assertEqual(served_count + refused_count, 40)
            self.assertEqual(len(served.causes), refused_count)

        self._run(scenario)

    def test_whole_bodies_at_once_are_served(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            data = _CHUNKED_HEAD + _CHUNKED_REST
            calls = [caller.fetch(data) for _ in range(40)]
            for each in await asyncio.gather(*calls):
                self.assertIn(b"200", each[:20])
            self.assertEqual(served.causes, [])

        self._run(scenario)

    def test_large_head_is_served_in_calm(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            served.connections.limit_bytes = 1
            self.assertIn(
                b"200", (await caller.fetch(_MANY_FIELDS + b"x"))[:20]
            )
            self.assertEqual(served.causes, [])

        self._run(scenario)

    def test_small_requests_are_not_ended_for_memory(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            ordinary = [
                asyncio.ensure_future(caller.fetch()) for _ in range(20)
            ]
            crowd = [await caller.open(_LONG_REQUEST * 20) for _ in range(40)]
            for each in await asyncio.gather(*ordinary):
                self.assertIn(b"200", each[:20])
            for _, writer in crowd:
                writer.close()

        self._run(scenario)


def _open(
    opened: connections.Connections, unsent_bytes: int
) -> connections.Connection:
    """Returns a connection whose caller has not taken some bytes."""
    writer = mock.Mock()
    writer.transport.get_write_buffer_size.return_value = unsent_bytes
    connection = opened.open(writer)
    connection.hold(connections.Part.UNSENT, unsent_bytes)
    return connection


class SlowReaderTest(unittest.TestCase):
    def test_caller_that_reads_slowly_outlasts_one_that_reads_nothing(
        self,
    ) -> None:
        now_s = [0.0]
        opened = connections.Connections(200_000, clock=lambda: now_s[0])
        slow = _open(opened, 70_000)
        now_s[0] = 1.0
        unread = _open(opened, 70_000)
        now_s[0] = 5.0
        slow.writer.transport.get_write_buffer_size.return_value = 66_000
        late = _open(opened, 70_000)
        self.assertEqual(
            [each.cause for each in (slow, unread, late)],
            [None, connections.Cause.MEMORY, None],
        )


class PlacesTest(ConnectionLimitFixture):
    def test_connections_without_a_request_give_way(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            for data in (b"", b"", b"GET / HT", b"GET / HT"):
                await caller.open(data)
            await asyncio.sleep(_STAY_S)
            self.assertEqual(served.connections.count_lasting(), 0)
            found = [asyncio.ensure_future(caller.fetch()) for _ in range(4)]
            for each in await asyncio.gather(*found):
                self.assertIn(b"200", each[:20])
            self.assertEqual(served.causes, [connections.Cause.PLACE] * 4)

        self._run(scenario, connections_max=4)

    def test_request_under_way_is_refused_as_not_run(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            reader, _ = await caller.open(b"GET / HT")
            await asyncio.sleep(_STAY_S)
            self.assertIn(b"200", (await caller.fetch())[:20])
            refused = await reader.read(10_000)
            self.assertIn(b"503", refused[:20])
            self.assertIn(b"retry-after: 1", refused)
            self.assertIn(b'"ran":"not_run"', refused)

        self._run(scenario, connections_max=1)

    def test_rejected_requests_keep_no_place(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            reader, _ = await caller.open(_INVALID_PATH)
            self.assertIn(b"404", (await reader.read(10_000))[:20])
            await asyncio.sleep(_STAY_S)
            self.assertIn(b"200", (await caller.fetch())[:20])

        self._run(scenario, connections_max=1)

    def test_idle_connections_of_ordinary_callers_keep_their_places(
        self,
    ) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            reader, writer = await caller.open(_REQUEST)
            self.assertIn(b"200", (await reader.read(10_000))[:20])
            # Four fifths of the time that a connection may be idle.
            await asyncio.sleep(0.8 * server.Limits().idle_timeout_ms / 1_000.0)
            refused = await caller.fetch()
            self.assertIn(b"503", refused[:20])
            self.assertIn(b"retry-after: 1", refused)
            writer.write(_REQUEST)
            self.assertIn(b"200", (await reader.read(10_000))[:20])
            self.assertEqual(served.causes, [])
            writer.close()

        self._run(scenario, connections_max=1)

    def test_requests_that_are_answered_keep_their_places(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            answered = asyncio.ensure_future(caller.fetch())
            await asyncio.sleep(_STAY_S)
            self.assertEqual(served.connections.count_lasting(), 1)
            self.assertIn(b"503", (await caller.fetch())[:20])
            self.assertIn(b"200", (await answered)[:20])

        self._run(scenario, connections_max=1)

    def test_idle_connections_to_pages_give_way(self) -> None:
        # A balancer that leaves its connections open is still answered.
        async def scenario(served: _Server, caller: _Caller) -> None:
            for _ in range(20):
                reader, _ = await caller.open(_REQUEST)
                self.assertIn(b"200", (await reader.read(10_000))[:20])
                await asyncio.sleep(_STAY_S)

        self._run(scenario, connections_max=4, keeps_idle=False)
