"""The bodies of all requests together take a bounded amount of memory.

Guards against a VM that is ended for its memory with all that it has passed on:
each body had a bound, and so had connections, but not the bodies of all.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import h11

from ruddergate import environment
from ruddergate.http import body_memory
from ruddergate.http import message
from ruddergate.http import server
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm", 80)
_LIMIT_BYTES = 10_000_000
_LARGE = b"x" * 2_000_000
# Bodies of this size that fit beside the part for small ones.
_FITTING = 4
_HANDLING_S = 3.0


class _Server:
    """A server whose handler takes some seconds.

    Attributes:
        memory: Bounds its bodies.
        handled: Bodies of the requests that were handled.
        peak_bytes: Most bytes that bodies took.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.memory = body_memory.make_request_memory(_LIMIT_BYTES, loop.time)
        self.handled: list[bytes] = []
        self.peak_bytes = 0

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        self.handled.append(incoming.body)
        self.peak_bytes = max(self.peak_bytes, self.memory.used_bytes)
        await asyncio.sleep(_HANDLING_S)
        return message.make_json_response(200, {})


class _Caller:
    """Sends requests on connections of their own."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env

    async def send(
        self, body: bytes, is_chunked: bool = False, bytes_per_s: float = 0.0
    ) -> h11.Response | None:
        """Sends a request; returns the head of its response."""
        reader, writer = await self._env.connect(_ADDRESS)
        connection = h11.Connection(h11.CLIENT)
        length = str(len(body))
        framing = ("transfer-encoding", "chunked")
        if not is_chunked:
            framing = ("content-length", length)
        writer.write(
            connection.send(
                h11.Request(
                    method="POST",
                    target="/",
                    headers=[("host", "a"), framing],
                )
            )
        )
        response = asyncio.ensure_future(_read_head(reader, connection))
        step = len(body) if not bytes_per_s else max(1, round(bytes_per_s / 10))
        for start in range(0, len(body), step):
            if response.done():
                break
            piece = body[start : start + step]
            writer.write(connection.send(h11.Data(data=piece)))
            if bytes_per_s:
                await asyncio.sleep(0.1)
        if not response.done():
            writer.write(connection.send(h11.EndOfMessage()))
        found = await response
        writer.close()
        return found


async def _read_head(
    reader: asyncio.StreamReader, connection: h11.Connection
) -> h11.Response | None:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(4_096)
            connection.receive_data(data)
            if not data:
                return None
        elif isinstance(event, h11.Response):
            return event


def _read_retry_after(response: h11.Response) -> int:
    return int(dict(response.headers)[b"retry-after"])


class RequestBodiesTest(unittest.TestCase):
    def _run(
        self, scenario: Callable[[_Server, _Caller], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            vm = virtual_process.VirtualProcess("vm", "h")
            env = network.make_environment(vm, 1)
            served = _Server()
            handler = server.make_stream_handler(
                served.handle, server.Limits(), memory=served.memory
            )
            await vm.start(lambda: env.serve(handler, _ADDRESS))
            process = virtual_process.VirtualProcess("caller", "")
            caller = _Caller(network.make_environment(process, 1))
            await process.start(lambda: scenario(served, caller))
            self.assertEqual(served.memory.used_bytes, 0)

        virtual_process.run(run)

    def _check_many_large(self, is_chunked: bool) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            calls = [caller.send(_LARGE, is_chunked) for _ in range(30)]
            found = await asyncio.gather(*calls)
            statuses = [each.status_code for each in found]
            self.assertLessEqual(served.peak_bytes, _LIMIT_BYTES)
            # Whatever was passed on is answered, and whole.
            self.assertEqual(statuses.count(200), len(served.handled))
            self.assertEqual(set(served.handled), {_LARGE})
            self.assertGreaterEqual(statuses.count(200), 1)
            self.assertEqual(
                statuses.count(503), 30 - statuses.count(200), statuses
            )
            for each in found:
                if each.status_code == 503:
                    self.assertGreaterEqual(_read_retry_after(each), 1)

        self._run(scenario)

    def test_bodies_that_do_not_fit_are_refused(self) -> None:
        self._check_many_large(is_chunked=False)

    def test_chunked_bodies_that_do_not_fit_are_refused(self) -> None:
        self._check_many_large(is_chunked=True)

    def test_announced_body_is_refused_before_it_is_read(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            held = [
                asyncio.ensure_future(caller.send(_LARGE))
                for _ in range(_FITTING)
            ]
            await asyncio.sleep(0.5)
            self.assertEqual(len(served.handled), _FITTING)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            refused = await caller.send(_LARGE, bytes_per_s=1_000.0)
            self.assertEqual(refused.status_code, 503)
            self.assertLess(loop.time() - began_s, 0.3)
            await asyncio.gather(*held)

        self._run(scenario)

    def test_short_requests_go_on_beside_large_ones(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            held = [
                asyncio.ensure_future(caller.send(_LARGE)) for _ in range(10)
            ]
            await asyncio.sleep(0.5)
            for _ in range(5):
                found = await caller.send(b"x" * 1_000)
                self.assertEqual(found.status_code, 200)
            await asyncio.gather(*held)

        self._run(scenario)

    def test_slow_bodies_do_not_hold_memory_against_others(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            slow = [
                asyncio.ensure_future(caller.send(_LARGE, bytes_per_s=10.0))
                for _ in range(_FITTING)
            ]
            await asyncio.sleep(1.5)
            found = await caller.send(_LARGE)
            self.assertEqual(found.status_code, 200)
            # Only as many as were in the way.
            refused = [each for each in slow if each.done()]
            self.assertEqual(len(refused), 1)
            self.assertEqual(refused[0].result().status_code, 503)
            for each in slow:
                each.cancel()
            await asyncio.gather(*slow, return_exceptions=True)
            await asyncio.sleep(20.0)

        self._run(scenario)

    def test_body_larger_than_all_memory_is_read_alone(self) -> None:
        async def scenario(served: _Server, caller: _Caller) -> None:
            served.memory.limit_bytes = 1_000_000
            found = await caller.send(_LARGE)
            self.assertEqual(found.status_code, 200)
            self.assertEqual(served.handled, [_LARGE])

        self._run(scenario)

    def test_body_beyond_its_own_limit_is_refused_with_an_answer(self) -> None:
        # The response was lost as the connection was reset with unread bytes.
        async def scenario(served: _Server, caller: _Caller) -> None:
            found = await caller.send(b"x" * 9_000_000)
            self.assertEqual(found.status_code, 413)

        self._run(scenario)
