"""Halls that seem unreachable are avoided for a limited time."""

import unittest

from ruddergate.decisions import reachability


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.halls = reachability.Reachability()

    def test_one_dead_target_does_not_make_its_hall_suspect(self) -> None:
        for now_ms in (0.0, 100.0, 200.0):
            self.assertFalse(self.halls.note_connect_failure("h", "t1", now_ms))
        self.assertFalse(self.halls.is_suspect("h", 200.0))

    def test_two_dead_targets_make_their_hall_suspect(self) -> None:
        self.halls.note_connect_failure("h", "t1", 0.0)
        self.assertTrue(self.halls.note_connect_failure("h", "t2", 100.0))
        self.assertTrue(self.halls.is_suspect("h", 100.0))
        self.assertFalse(self.halls.is_suspect("other", 100.0))
        after_ms = 101.0 + reachability.MIN_AVOID_MS
        self.assertFalse(self.halls.is_suspect("h", after_ms))

    def test_old_failures_do_not_count(self) -> None:
        self.halls.note_connect_failure("h", "t1", 0.0)
        late_ms = reachability.WINDOW_MS + 1.0
        self.assertFalse(self.halls.note_connect_failure("h", "t2", late_ms))

    def test_avoidance_grows_until_the_hall_is_reached(self) -> None:
        now_ms = 0.0
        avoided_ms = []
        for _ in range(4):
            self.halls.note_connect_failure("h", "t1", now_ms)
            self.halls.note_connect_failure("h", "t2", now_ms)
            began_ms = now_ms
            while self.halls.is_suspect("h", now_ms):
                now_ms += 50.0
            avoided_ms.append(now_ms - began_ms)
        self.assertEqual(avoided_ms, sorted(avoided_ms))
        self.assertLessEqual(avoided_ms[-1], reachability.MAX_AVOID_MS)
        self.halls.note_reached("h")
        self.halls.note_connect_failure("h", "t1", now_ms)
        self.assertFalse(self.halls.is_suspect("h", now_ms))
