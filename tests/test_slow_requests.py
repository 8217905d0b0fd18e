"""Requests whose bytes arrive slowly have the time that then remains.

Guards against targets that get more time than the caller still waits: a time
limit counted from the moment at which the body had been read.
"""

import asyncio
import unittest

import loguru

from ruddergate import environment
from standins import gateway_cluster
from standins import virtual_process
from tests import gateway_fixture

_TIME_LIMIT_MS = 1_800
_BODY = b"prompt"
_HEAD = (
    "POST /unsafe/x HTTP/1.1\r\n"
    f"host: {gateway_cluster.HOST}\r\n"
    "x-attempt-id: slow\r\n"
    f"x-api-key: {gateway_cluster.KEY}\r\n"
    f"x-deadline-ms: {_TIME_LIMIT_MS}\r\n"
    f"content-length: {len(_BODY)}\r\n\r\n"
).encode()


class SlowRequestTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _send(
        self,
        fixture: gateway_fixture.Fixture,
        pieces: tuple[bytes, ...],
        pause_s: float,
    ) -> bytes:
        """Sends pieces of a request; returns the status line."""
        process = virtual_process.VirtualProcess("slow-caller", "")
        env = fixture.cluster.network.make_environment(process, 1)

        async def send() -> bytes:
            address = environment.Address("vm-0", gateway_cluster.FRONT_PORT)
            reader, writer = await env.connect(address)
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(pause_s)
            return await reader.readline()

        return await process.start(send)

    def _find_limits_ms(self, fixture: gateway_fixture.Fixture) -> list[float]:
        return [
            arrival.time_limit_ms
            for replica in fixture.cluster.all_replicas
            for arrival in replica.arrivals
        ]

    def test_time_of_a_slow_body_is_not_passed_on(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for pieces in (
                (_HEAD + _BODY[:1], _BODY[1:]),
                (_HEAD[:20], _HEAD[20:] + _BODY),
            ):
                line = await self._send(fixture, pieces, 1.0)
                self.assertIn(b" 200 ", line)
            for limit_ms in self._find_limits_ms(fixture):
                self.assertLessEqual(limit_ms, _TIME_LIMIT_MS - 1_000.0)
                self.assertGreater(limit_ms, _TIME_LIMIT_MS - 1_200.0)

        gateway_fixture.run_scenario(scenario)

    def test_request_that_arrives_after_its_time_is_not_run(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            line = await self._send(fixture, (_HEAD, _BODY), 2.0)
            self.assertIn(b" 503 ", line)
            self.assertEqual(self._find_limits_ms(fixture), [])

        gateway_fixture.run_scenario(scenario)
