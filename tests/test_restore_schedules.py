"""Restores of the store from older copies, among faults of everything else."""

import unittest

from standins import restore_schedules

# Seeds in which calls reached targets 3.1 to 7.0 s after the store had told
# that they leave, while positions were ordered by revisions alone.
_REGRESSIONS = (2, 16, 35)
_FIRST = 60
_COUNT = 3


class RestoreSchedulesTest(unittest.TestCase):
    def test_promises_hold(self) -> None:
        for seed in (*_REGRESSIONS, *range(_FIRST, _FIRST + _COUNT)):
            with self.subTest(seed=seed):
                played = restore_schedules.run_schedule(seed)
                self.assertEqual(played.broken, [])
                self.assertGreater(played.statuses.get(200, 0), 40)


if __name__ == "__main__":
    unittest.main()
