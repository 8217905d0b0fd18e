"""A VM that is suspended for seconds, and what it believes when it wakes.

The monotonic clock stands still in a suspension. A VM that went by it woke with
settings that looked as fresh as before and used a key that had been removed
while it slept: with keys refused after 3.8 s without a proof, one of a VM that
slept for 6 s was taken for 0.4 s old.
"""

import asyncio
import time
import unittest
from unittest import mock

import loguru

from ruddergate import clock
from ruddergate import environment
from ruddergate import event_loop
from standins import gateway_caller
from tests import gateway_scene

_SLEEP_S = 6.0


class ClockTest(unittest.TestCase):
    def test_clock_counts_a_suspension(self) -> None:
        shown = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 107.0}
        env = environment.make_system_environment()
        with mock.patch("time.clock_gettime", shown.get):
            self.assertEqual(clock.read_s(), 107.0)
            self.assertEqual(env.now_ms(), 107_000.0)

    def test_timers_are_due_after_a_suspension(self) -> None:
        slept_s = 0.0
        loop = event_loop.make_event_loop(lambda: time.monotonic() + slept_s)

        async def wait() -> str:
            nonlocal slept_s
            try:
                async with asyncio.timeout(30.0):
                    await asyncio.sleep(0.0)
                    slept_s = 31.0
                    # Whatever wakes the loop next lets it see that time passed.
                    loop.call_soon(lambda: None)
                    await asyncio.Event().wait()
            except TimeoutError:
                return "overdue"
            return "not due"

        try:
            self.assertEqual(loop.run_until_complete(wait()), "overdue")
        finally:
            loop.close()


class WakingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _call_after_sleep(
        self, counts_frozen_time: bool
    ) -> gateway_caller.CallResult:
        """Returns what a caller got whose key was removed meanwhile."""
        found = []

        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.network.counts_frozen_time = counts_frozen_time
            node = cluster.vms["vm-0"]
            await asyncio.sleep(1.0)
            node.process.freeze()
            cluster.keys = {"w1": ["another"]}
            cluster.publish()
            await asyncio.sleep(_SLEEP_S - 0.1)
            # On its way as the VM wakes, before any news can have come.
            calling = asyncio.ensure_future(scene.call("short"))
            await asyncio.sleep(0.1)
            node.process.resume()
            found.append(await calling)

        gateway_scene.play(scene, vms=2)
        return found[0]

    def test_key_that_was_removed_meanwhile_is_refused(self) -> None:
        got = self._call_after_sleep(counts_frozen_time=True)
        self.assertIn(got.status, (401, 503))

    def test_clock_that_stands_still_would_use_it(self) -> None:
        got = self._call_after_sleep(counts_frozen_time=False)
        self.assertEqual(got.status, 200)
