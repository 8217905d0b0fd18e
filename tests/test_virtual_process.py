"""Processes of the emulator that are frozen, woken and killed."""

import asyncio
import unittest

from standins import virtual_process


class KillTest(unittest.TestCase):
    def test_what_a_woken_process_starts_ends_with_it(self) -> None:
        """A gateway that was killed went on renewing memory of engines.

        It had been frozen before. What ran first after it woke ran outside of
        its process, so that tasks begun there outlived it: of a gateway killed
        at 20.7 s orders came to an engine every 800 ms until 25.7 s.
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

        async def play() -> None:
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

        virtual_process.run(play)
