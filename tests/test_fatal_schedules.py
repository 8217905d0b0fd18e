"""Calls that end their engines, among random faults of everything else."""

import unittest

from standins import fatal_schedules

_FIRST = 40
_COUNT = 4


class FatalSchedulesTest(unittest.TestCase):
    """A fatal content is sent on only until all in reach can know of it.

    Before VMs remembered contents, each of five seeds in six sent one 4 to 17
    times later than that.
    """

    def test_fatal_contents_are_sent_on_for_a_while_only(self) -> None:
        for seed in range(_FIRST, _FIRST + _COUNT):
            with self.subTest(seed=seed):
                broken, counts = fatal_schedules.run_schedule(seed)
                self.assertEqual(broken, [])
                self.assertGreater(counts.get(200, 0), 10)
