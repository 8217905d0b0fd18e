"""Forms of requests that a server must accept (RFC 9112, 2.2 and 3.2.2)."""

import asyncio
import unittest

import loguru

from ruddergate import environment
from standins import gateway_cluster
from standins import virtual_process
from tests import gateway_fixture

_HOST = gateway_cluster.HOST
_TIMES = 2


def _make_head(target: str, host: str = _HOST) -> bytes:
    return (
        f"GET {target} HTTP/1.1\r\nhost: {host}\r\n"
        f"x-api-key: {gateway_cluster.KEY}\r\n"
        "x-attempt-id: r1\r\nx-deadline-ms: 1000\r\n\r\n"
    ).encode()


class RequestTargetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _send(self, request: bytes) -> list[bytes]:
        """Sends a request again and again on a connection.

        Returns:
            The status of each response.
        """
        statuses: list[bytes] = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            process = virtual_process.VirtualProcess("caller-2", "")
            env = fixture.cluster.network.make_environment(process, 1)

            async def exchange() -> None:
                reader, writer = await env.connect(
                    environment.Address("vm-0", gateway_cluster.FRONT_PORT)
                )
                for _ in range(_TIMES):
                    writer.write(request)
                    await asyncio.sleep(0.5)
                    received = await reader.read(100_000)
                    statuses.append(received.split(b" ")[1])
                writer.close()

            await process.start(exchange)

        gateway_fixture.run_scenario(scenario)
        return statuses

    # It was answered 404, as the whole target was taken for a path.
    def test_absolute_form_names_host_and_path(self) -> None:
        for target in (
            f"http://{_HOST}/open/x",
            f"HTTP://{_HOST}/open/x?y=http://z/",
            f"https://{_HOST}/open/x",
        ):
            request = _make_head(target, "another.example")
            self.assertEqual(self._send(request), [b"200"] * _TIMES, target)

    def test_absolute_form_of_another_host_is_not_found(self) -> None:
        for target in ("http://another.example/open/x", f"http://{_HOST}"):
            self.assertEqual(
                self._send(_make_head(target)), [b"404"] * _TIMES, target
            )

    # It was answered 400.
    def test_empty_line_before_a_request_is_ignored(self) -> None:
        request = b"\r\n" + _make_head("/open/x")
        self.assertEqual(self._send(request), [b"200"] * _TIMES)

    def test_empty_line_alone_is_no_request(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            process = virtual_process.VirtualProcess("caller-2", "")
            env = fixture.cluster.network.make_environment(process, 1)

            async def exchange() -> bytes:
                reader, writer = await env.connect(
                    environment.Address("vm-0", gateway_cluster.FRONT_PORT)
                )
                writer.write(b"\r\n")
                await asyncio.sleep(1.0)
                writer.write(_make_head("/open/x"))
                return await reader.readline()

            line = await process.start(exchange)
            self.assertIn(b" 200 ", line)

        gateway_fixture.run_scenario(scenario)
