"""Request methods with rules of their own.

Guards against lost answers: the answer to a HEAD request was sent with a body,
which ended its connection without an answer; a success to CONNECT turned the
connection into a tunnel.
"""

import asyncio
import unittest

import loguru

from ruddergate import environment
from standins import gateway_cluster
from standins import virtual_process
from tests import gateway_fixture

_ADDRESS = environment.Address("vm-0", gateway_cluster.FRONT_PORT)


class RequestMethodsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _send(self, method: str, path: str, key: str) -> bytes:
        received = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            process = virtual_process.VirtualProcess("caller-2", "")
            env = fixture.cluster.network.make_environment(process, 1)

            async def exchange() -> None:
                reader, writer = await env.connect(_ADDRESS)
                for _ in range(2):
                    head = (
                        f"{method} {path} HTTP/1.1\r\n"
                        f"host: {gateway_cluster.HOST}\r\n"
                        f"x-api-key: {key}\r\nx-attempt-id: r1\r\n"
                        "x-deadline-ms: 1000\r\nx-token-usage: 100,40\r\n\r\n"
                    )
                    writer.write(head.encode())
                    await asyncio.sleep(0.5)
                async with asyncio.timeout(2.0):
                    received.append(await reader.read(100_000))
                writer.close()

            await process.start(exchange)

        gateway_fixture.run_scenario(scenario)
        return received[0]

    def test_head_requests_are_answered_without_a_body(self) -> None:
        for path, key, status in (
            ("/nowhere/x", gateway_cluster.KEY, b"404"),
            ("/unsafe/x", "unknown", b"401"),
            ("/unsafe/x", gateway_cluster.KEY, b"200"),
            ("/short/x", gateway_cluster.KEY, b"200"),
        ):
            answer = self._send("HEAD", path, key)
            heads = answer.split(b"HTTP/1.1 ")[1:]
            self.assertEqual([head[:3] for head in heads], [status] * 2, path)
            for head in heads:
                self.assertTrue(head.endswith(b"\r\n\r\n"))

    def test_connect_is_refused(self) -> None:
        answer = self._send("CONNECT", "/unsafe/x", gateway_cluster.KEY)
        self.assertEqual(answer.count(b"HTTP/1.1 405"), 1)
        self.assertIn(b"not_run", answer)
