"""Real gateways under faults from outside; a short share of the soak."""

import unittest

import loguru

from standins import soak

# Seeds that once failed, with the cause.
#   1: connections open at a planned stop's end were reported as faults, and a
#      gateway without a free port for datagrams did not start.
_REGRESSIONS = (1,)
#   7101: while nothing went by what targets say in their answers, two calls
#      reached one 2.3 s after their gateway had passed on that it leaves.
_WITHDRAWALS = (7101,)
_FLEETS = (1,)


class SoakTest(unittest.TestCase):
    def test_promises_hold(self) -> None:
        loguru.logger.remove()
        for seed in _REGRESSIONS:
            with self.subTest(seed=seed):
                self._check(soak.run_seed(seed))

    def test_what_targets_say_holds(self) -> None:
        loguru.logger.remove()
        for seed in _WITHDRAWALS:
            with self.subTest(seed=seed):
                self._check(
                    soak.run_seed(seed, soak.SoakOptions(withdraws=True))
                )

    def test_gateways_that_know_each_other_keep_their_promises(self) -> None:
        loguru.logger.remove()
        for seed in _FLEETS:
            with self.subTest(seed=seed):
                self._check(
                    soak.run_seed(seed, soak.SoakOptions(6, fleet=True))
                )

    def _check(self, result: soak.SoakResult) -> None:
        self.assertEqual(result.violations, [])
        self.assertGreater(result.statuses.get(200, 0), 10)
