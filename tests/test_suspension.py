"""A VM that is suspended for some seconds and then wakes.

CLOCK_MONOTONIC stops during a suspension. A VM that uses it computes too low an
age of its settings (0.4 s after 6 s of sleep, where keys are refused after
3.8 s) and accepts a key that was removed during the sleep.
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
from tests import gateway_fixture

_SLEEP_S = 6.0


class ClockTest(unittest.TestCase):
    def test_clock_counts_a_suspension(self) -> None:
        clock_times = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 107.0}
        env = environment.make_system_environment()
        with mock.patch("time.clock_gettime", clock_times.get):
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
                    # Any event wakes the loop, which then reads the clock.
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
        """Returns the response to a key that was removed during the sleep."""
        results = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.network.counts_frozen_time = counts_frozen_time
            node = cluster.vms["vm-0"]
            await asyncio.sleep(1.0)
            node.process.freeze()
            cluster.keys = {"w1": ["another"]}
            cluster.publish()
            await asyncio.sleep(_SLEEP_S - 0.1)
            # In flight as the VM wakes, before any update can reach it.
            pending = asyncio.ensure_future(fixture.call("short"))
            await asyncio.sleep(0.1)
            node.process.resume()
            results.append(await pending)

        gateway_fixture.run_scenario(scenario, vms=2)
        return results[0]

    def test_key_removed_during_a_suspension_is_refused(self) -> None:
        result = self._call_after_sleep(counts_frozen_time=True)
        self.assertIn(result.status, (401, 503))

    def test_clock_that_stops_in_suspension_would_accept_it(self) -> None:
        result = self._call_after_sleep(counts_frozen_time=False)
        self.assertEqual(result.status, 200)
