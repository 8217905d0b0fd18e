"""Arbitrary inputs at each boundary of a gateway; see `standins.fuzzing`."""

import unittest

import loguru

from standins import fuzz_inputs
from standins import fuzzing

_RUNS = 20
_SEED = 1


class FuzzingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_inputs_of_callers_break_no_rule(self) -> None:
        fuzzing.fuzz(fuzz_inputs.Boundary.CALLERS, _RUNS, _SEED)

    def test_inputs_of_targets_break_no_rule(self) -> None:
        fuzzing.fuzz(fuzz_inputs.Boundary.TARGETS, _RUNS, _SEED)

    def test_inputs_of_peers_break_no_rule(self) -> None:
        fuzzing.fuzz(fuzz_inputs.Boundary.PEERS, _RUNS, _SEED)

    def test_inputs_of_the_store_break_no_rule(self) -> None:
        fuzzing.fuzz(fuzz_inputs.Boundary.STORE, _RUNS, _SEED)
