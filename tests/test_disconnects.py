"""Callers that disconnect while their requests are answered.

Guards against work for nobody: a caller that had sent further bytes behind its
request was not noticed when it left, and its request ran to the end.
"""

import asyncio
import unittest

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm-1", 80)
_REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
_ANSWER_S = 5.0


class DisconnectTest(unittest.TestCase):
    def _run(
        self, pieces: tuple[bytes, ...], reads_answer: bool
    ) -> tuple[list[float], bytes]:
        """Sends pieces, 0.2 s apart; returns when handlers were cancelled."""
        cancelled_s: list[float] = []
        received: list[bytes] = []

        async def handle(incoming: message.IncomingRequest) -> message.Response:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            try:
                await asyncio.sleep(_ANSWER_S)
            except asyncio.CancelledError:
                cancelled_s.append(loop.time() - began_s)
                raise
            return message.Response(200, {}, b"ok")

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

            async def call() -> None:
                reader, writer = await caller_env.connect(_ADDRESS)
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.sleep(0.2)
                if reads_answer:
                    await asyncio.sleep(2.5 * _ANSWER_S)
                    received.append(await reader.read(100_000))
                writer.close()

            await process.start(call)
            await asyncio.sleep(1.0)

        virtual_process.run(run)
        return cancelled_s, b"".join(received)

    def test_disconnect_after_further_bytes_cancels_the_request(self) -> None:
        for further in (b"x", _REQUEST, _REQUEST[:20], _REQUEST * 3):
            cancelled_s, _ = self._run((_REQUEST, further), False)
            self.assertEqual(len(cancelled_s), 1, further)
            self.assertLess(cancelled_s[0], 1.0)

    def test_further_requests_are_answered_in_order(self) -> None:
        cancelled_s, received = self._run((_REQUEST, _REQUEST), True)
        self.assertEqual((cancelled_s, received.count(b"ok")), ([], 2))

    def test_reading_ahead_is_limited(self) -> None:
        flood = tuple(b"x" * 60_000 for _ in range(20))
        cancelled_s, _ = self._run((_REQUEST, *flood), False)
        self.assertEqual(cancelled_s, [])
