"""Random schedules of a store with more changes than one response holds."""

import unittest

from standins import backlog_schedules

# Seeds that failed while each response with changes counted as proof that a VM
# was current: settings late by seconds, requests with a removed key and to
# targets that had drained, and live targets that were not used.
_REGRESSIONS = (2, 5)
_FIRST = 60
_COUNT = 2


class BacklogSchedulesTest(unittest.TestCase):
    def test_guarantees_hold(self) -> None:
        for seed in (*_REGRESSIONS, *range(_FIRST, _FIRST + _COUNT)):
            with self.subTest(seed=seed):
                result = backlog_schedules.run_schedule(seed)
                self.assertEqual(result.broken, [])
                self.assertGreater(result.statuses.get(200, 0), 40)


if __name__ == "__main__":
    unittest.main()
