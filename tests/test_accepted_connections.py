"""Connections that come up in the moment in which a process ends.

The log of a gateway that had been stopped as planned held a traceback: "in
callback: exc = task.exception(), asyncio.exceptions.CancelledError". A
connection had been accepted in the loop's last turn. Its task was cancelled
before its first step, so that nothing in it could catch that, and asyncio's
own callback raises for a task that was cancelled.
"""

import asyncio
import socket
import unittest

from ruddergate import environment
from standins import _private

# The loop accepts a connection and starts its task within this many turns.
_TURNS = 20


class LastTurnTest(unittest.TestCase):
    def test_task_that_is_cancelled_before_its_first_step_is_no_fault(
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

    def test_fault_of_a_handler_is_reported(self) -> None:
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
            # Its connection is closed, too.
            self.assertEqual(await reader.read(), b"")
            writer.close()
            server.close()

        asyncio.run(run())
        self.assertEqual(reported, ["a fault"])


async def _cancel_next_task() -> None:
    """Cancels the task of the next connection as soon as there is one."""
    for _ in range(_TURNS):
        await asyncio.sleep(0.0)
        for task in asyncio.all_tasks():
            if task.get_coro().__qualname__.endswith("serve.<locals>.accept"):
                task.cancel()
                return
    raise AssertionError("no connection was accepted")
