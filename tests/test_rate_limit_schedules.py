"""Rate limits under random faults, with whole gateways and in larger fleets."""

import unittest

import loguru

from standins import rate_limit_fleet
from standins import rate_limit_schedules

# Seeds that failed:
#   7: a memory reservation made before the limit was renewed every 800 ms, so a
#      target with a limit of 0 got 7 requests in 4 s.
#   125: the same on an engine that was probed during the prefill of a long
#      prompt: 7 requests where 6.5 are allowed.
_REGRESSIONS = (7, 125)
_FLEETS = ((2, 8), (9, 8), (40, 1))


class RateLimitSchedulesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_gateways_observe_limits(self) -> None:
        for seed in _REGRESSIONS:
            with self.subTest(seed=seed):
                result = rate_limit_schedules.run_schedule(seed)
                self.assertEqual(result.broken, [])
                self.assertGreater(result.counts["calls under a limit"], 10)

    def test_fleets_observe_limits(self) -> None:
        for vms, count in _FLEETS:
            for seed in range(1, count + 1):
                with self.subTest(vms=vms, seed=seed):
                    result = rate_limit_fleet.run_schedule(vms, seed)
                    self.assertEqual(result.broken, [])

    def test_check_fails_if_each_vm_uses_the_whole_limit(self) -> None:
        broken = [
            rate_limit_fleet.run_schedule(9, seed, without="sharing").broken
            for seed in range(1, 5)
        ]
        self.assertTrue(any(broken))

    def test_check_fails_if_all_vms_hold_shares(self) -> None:
        broken = [
            rate_limit_fleet.run_schedule(9, seed, without="bound").broken
            for seed in range(1, 5)
        ]
        self.assertTrue(any(broken))
