"""Targets that drain or ask for a backoff, among random other faults."""

import unittest

from standins import withdrawal_schedules

# Seeds that failed while response hints were ignored: three or more requests of
# a VM reached a target at least 2 s after that VM had passed on its drain hint.
#   106: an attempt failed on one engine and another answered with a drain hint;
#      the check took the hint for one of the first engine.
_REGRESSIONS = (1, 3, 106)
_FIRST = 40
_COUNT = 2


class WithdrawalSchedulesTest(unittest.TestCase):
    def test_response_hints_are_observed(self) -> None:
        for seed in (*_REGRESSIONS, *range(_FIRST, _FIRST + _COUNT)):
            with self.subTest(seed=seed):
                result = withdrawal_schedules.run_schedule(seed)
                self.assertEqual(result.broken, [])
                self.assertGreater(result.statuses.get(200, 0), 10)
