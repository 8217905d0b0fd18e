"""Connections that are accepted while the process stops.

Guards against a traceback in the log of a gateway after a planned stop: "in
callback: exc = task.exception(), asyncio.exceptions.CancelledError". A
connection accepted in the loop's last iteration has its task cancelled before
the first step, so the task cannot catch the cancellation, and asyncio's own
done callback raises for a cancelled task.
"""

import asyncio
import socket
import unittest

from ruddergate import environment
from standins import _private

# The loop accepts a connection and starts its task within this many
# iterations.
_MAX_LOOP_ITERATIONS = 20


class AcceptedConnectionTest(unittest.TestCase):
    def test_task_cancelled_before_its_first_step_is_not_reported(
        self,
    ) -> None:
        reported: list[str] = []
        steps: list[str] = []

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            steps.append("begun")
            await reader.read()

        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: reported.append(context["message"])
            )
            port = _private.find_free_port()
            address = environment.Address("127.0.0.1", port)
            env = environment.make_system_environment()
            server = await env.serve(handle, address)
            with socket.create_connection((address.host, address.port)):
                await _cancel_next_task()
                await asyncio.sleep(0.01)
            server.close()

        asyncio.run(run())
        self.assertEqual((reported, steps), ([], []))

    def test_handler_error_is_reported(self) -> None:
        reported: list[str] = []

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            raise ValueError("a fault")

        async def run() -> None:
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: reported.append(str(context["exception"]))
            )
            port = _private.find_free_port()
            address = environment.Address("127.0.0.1", port)
            env = environment.make_system_environment()
            server = await env.serve(handle, address)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            # The connection is closed as well.
            self.assertEqual(await reader.read(), b"")
            writer.close()
            server.close()

        asyncio.run(run())
        self.assertEqual(reported, ["a fault"])


async def _cancel_next_task() -> None:
    """Cancels the task of the next connection as soon as it exists."""
    for _ in range(_MAX_LOOP_ITERATIONS):
        await asyncio.sleep(0.0)
        for task in asyncio.all_tasks():
            if task.get_coro().__qualname__.endswith("serve.<locals>.accept"):
                task.cancel()
                return
    raise AssertionError("no connection was accepted")
