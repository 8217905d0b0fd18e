"""Real gateways under external faults; a short part of the soak test."""

import unittest

import loguru

from standins import soak

# Seeds that failed, with the cause.
#   1: connections that were open at the end of a planned stop were reported as
#      faults, and a gateway without a free datagram port did not start.
_REGRESSIONS = (1,)
#   7101: while response hints were ignored, two requests reached a target 2.3 s
#      after their gateway had passed on its drain hint.
_HINT_REGRESSIONS = (7101,)
_FLEET_SEEDS = (1,)
_STOP_SEED = 87000


class SoakTest(unittest.TestCase):
    def test_guarantees_hold(self) -> None:
        loguru.logger.remove()
        for seed in _REGRESSIONS:
            with self.subTest(seed=seed):
                self._check(soak.run_seed(seed))

    def test_response_hints_are_observed(self) -> None:
        loguru.logger.remove()
        for seed in _HINT_REGRESSIONS:
            with self.subTest(seed=seed):
                self._check(
                    soak.run_seed(seed, soak.SoakOptions(withdraws=True))
                )

    def test_guarantees_hold_for_gateways_that_gossip(self) -> None:
        loguru.logger.remove()
        for seed in _FLEET_SEEDS:
            with self.subTest(seed=seed):
                self._check(
                    soak.run_seed(seed, soak.SoakOptions(6, fleet=True))
                )

    def test_stop_answers_calls_that_wait(self) -> None:
        loguru.logger.remove()
        self._check(soak.run_seed(_STOP_SEED, soak.SoakOptions(stops=True)))

    def _check(self, result: soak.SoakResult) -> None:
        self.assertEqual(result.violations, [])
        self.assertGreater(result.statuses.get(200, 0), 10)
