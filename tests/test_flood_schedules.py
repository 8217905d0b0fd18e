"""Random floods of targets cost a bounded amount of memory and time.

Guards against targets in trouble that send without end: they took the event
loop of a VM, or its memory, from all its callers.
"""

import unittest
from unittest import mock

import loguru

from ruddergate.http import body_memory
from ruddergate.http import parsing_rate
from standins import flood_schedules
from standins import schedule_runner

_SCHEDULES = 12
_ABLATION_SEED = 63
# One of its floods is of tiny chunks.
_CHUNKS_SEED = 115


class FloodSchedulesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_sound_requests_are_served_beside_floods(self) -> None:
        status = schedule_runner.run_all(
            flood_schedules.run_schedule, 1, _SCHEDULES, jobs=2
        )
        self.assertEqual(status, 0)

    def test_check_fails_if_bodies_share_no_bound(self) -> None:
        with mock.patch.object(body_memory.BodyMemory, "add"):
            result = flood_schedules.run_schedule(_ABLATION_SEED)
        self.assertTrue(any("memory" in each for each in result.broken))

    def test_check_fails_if_pieces_take_turns_of_any_length(self) -> None:
        with mock.patch.object(parsing_rate, "PIECES_PER_TURN", 80_000):
            result = flood_schedules.run_schedule(_CHUNKS_SEED)
        self.assertTrue(any("turn" in each for each in result.broken))
