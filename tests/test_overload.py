"""A VM with more work than processor time closes new connections unread."""

import asyncio
import unittest

import loguru

from ruddergate.entry import overload
from tests import gateway_fixture


class _Clock:
    def now_ms(self) -> float:
        return 0.0


class DetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        loguru.logger.remove()
        self.detector = overload.OverloadDetector(_Clock())

    def test_one_suspension_is_no_overload(self) -> None:
        self.detector.note_lag(60_000.0)
        self.assertFalse(self.detector.must_shed())

    def test_constant_lag_is_overload_until_it_is_gone(self) -> None:
        for _ in range(10):
            self.detector.note_lag(200.0)
        self.assertTrue(self.detector.must_shed())
        self.assertEqual(self.detector.shed, 1)
        for _ in range(10):
            self.detector.note_lag(0.0)
        self.assertFalse(self.detector.must_shed())

    def test_small_lag_is_no_overload(self) -> None:
        for _ in range(100):
            self.detector.note_lag(overload.MAX_LAG_MS - 1.0)
        self.assertFalse(self.detector.must_shed())


class SheddingTest(unittest.TestCase):
    """Most new connections at one VM must not be read late.

    Guards against a VM that reads more requests than it has processor time for,
    when the platform directs the connections of all callers to it.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_overloaded_vm_reads_nothing_and_others_serve(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-0"].gateway
            for _ in range(20):
                gateway.overload.note_lag(overload.MAX_SAMPLE_MS)
            shed = await fixture.call("short", "vm-0")
            self.assertEqual((shed.status, shed.body), (0, b""))
            self.assertLess(shed.took_ms, 50.0)
            self.assertEqual(fixture.find_runs(shed), [])
            served = await fixture.call("short", "vm-1")
            self.assertEqual((served.status, served.is_complete), (200, True))
            # It serves again once it has caught up.
            await asyncio.sleep(1.0)
            served = await fixture.call("short", "vm-0")
            self.assertEqual((served.status, served.is_complete), (200, True))

        gateway_fixture.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
