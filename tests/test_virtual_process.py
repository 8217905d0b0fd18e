"""Virtual processes that are frozen, woken and killed."""

import asyncio
import unittest

from standins import virtual_process


class KillTest(unittest.TestCase):
    def test_what_a_woken_process_starts_ends_with_it(self) -> None:
        """Tasks that a woken process starts are its own and end with it.

        If the first callbacks after a wake-up run outside of the process, the
        tasks they start outlive it: a killed gateway then kept renewing
        reservations of an engine every 800 ms for 5 s.
        """
        steps: list[str] = []

        async def renew() -> None:
            while True:
                await asyncio.sleep(0.8)
                steps.append("renewed")

        async def serve(is_due: asyncio.Event) -> None:
            await is_due.wait()
            task = asyncio.ensure_future(renew())
            await asyncio.sleep(60.0)
            task.cancel()

        async def scenario() -> None:
            process = virtual_process.VirtualProcess("vm-0", "hall-0")
            is_due = asyncio.Event()
            process.start(lambda: serve(is_due))
            await asyncio.sleep(0.5)
            is_due.set()
            process.freeze()
            await asyncio.sleep(2.0)
            process.resume()
            await asyncio.sleep(1.0)
            self.assertEqual(steps, ["renewed"])
            process.kill()
            await asyncio.sleep(5.0)
            self.assertEqual(steps, ["renewed"])

        virtual_process.run(scenario)
