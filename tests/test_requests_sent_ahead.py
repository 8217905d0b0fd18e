"""Requests that callers send before they have read the responses.

Guards against memory that grows as long as a caller sends: how much was read
ahead was bounded for each request, and not for the connection, so each short
request that was taken made room for 64 KiB more.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm-1", 80)
_ANSWER_S = 0.01
# What a connection may hold of further requests, twice: once parsed from, once
# just read.
_MAX_AHEAD_BYTES = 2 * 16_384
_PIECE_REQUESTS = 100


def _make_request(number: int) -> bytes:
    return (
        b"POST /%06d HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
        % number
    )


class RequestsSentAheadTest(unittest.TestCase):
    def _run(
        self,
        call: Callable[
            [asyncio.StreamReader, virtual_network.VirtualWriter],
            Awaitable[None],
        ],
    ) -> list[str]:
        """Runs a caller; returns the paths of the requests handled."""
        handled: list[str] = []

        async def handle(incoming: message.IncomingRequest) -> message.Response:
            handled.append(incoming.path)
            await asyncio.sleep(_ANSWER_S)
            body = f"<{incoming.path} {incoming.body.decode()}>"
            return message.Response(200, {}, body.encode())

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            listener = virtual_process.VirtualProcess("vm-1", "h")
            env = network.make_environment(listener, 1)
            handler = server.make_stream_handler(handle, server.Limits())
            await listener.start(lambda: env.serve(handler, _ADDRESS))
            process = virtual_process.VirtualProcess("caller", "")
            caller_env = network.make_environment(process, 1)

            async def connect() -> None:
                reader, writer = await caller_env.connect(_ADDRESS)
                await call(reader, writer)
                writer.close()

            await process.start(connect)

        virtual_process.run(run)
        return handled

    def test_bytes_read_ahead_are_bounded_by_connection(self) -> None:
        held_bytes: list[int] = []
        size = len(_make_request(0))

        async def call(
            reader: asyncio.StreamReader, writer: virtual_network.VirtualWriter
        ) -> None:
            written = 0
            answered = 0
            for _ in range(100):
                for _ in range(_PIECE_REQUESTS):
                    writer.write(_make_request(written))
                    written += 1
                answered += (await reader.read(1 << 20)).count(b">")
                waiting_bytes = (written - answered) * size
                held_bytes.append(waiting_bytes - writer.count_unread_bytes())

        self._run(call)
        self.assertLess(max(held_bytes), _MAX_AHEAD_BYTES)

    def test_hundred_requests_get_whole_answers_in_order(self) -> None:
        received = bytearray()

        async def call(
            reader: asyncio.StreamReader, writer: virtual_network.VirtualWriter
        ) -> None:
            writer.write(b"".join(map(_make_request, range(100))))
            while received.count(b">") < 100:
                received.extend(await reader.read(1 << 16))

        handled = self._run(call)
        expected = [f"/{number:06d}" for number in range(100)]
        self.assertEqual(handled, expected)
        found = [part.split(b">")[0] for part in received.split(b"<")[1:]]
        self.assertEqual(found, [f"{path} body".encode() for path in expected])
