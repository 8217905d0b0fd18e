"""Which targets take no calls, and what is told of it."""

import unittest

from ruddergate.decisions import withdrawals
from ruddergate.fleet import life as lives

_OLD = lives.Life("i-1", 5)
_YOUNG = lives.Life("i-1", 6)


class LeavingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.withdrawn = withdrawals.Withdrawals()

    def test_list_binds_the_life(self) -> None:
        self.withdrawn.note_published(_OLD)
        self._check_that_the_old_one_left()

    def test_answer_binds_the_life(self) -> None:
        self.assertTrue(self.withdrawn.note_answered(_OLD, 0.0))
        self.assertFalse(self.withdrawn.note_answered(_OLD, 1.0))
        self._check_that_the_old_one_left()

    def test_peer_binds_the_life(self) -> None:
        self.assertTrue(self.withdrawn.note_told(_OLD))
        self.assertFalse(self.withdrawn.note_told(_OLD))
        self._check_that_the_old_one_left()

    def _check_that_the_old_one_left(self) -> None:
        self.withdrawn.note_served(_OLD, 1.0)
        self.withdrawn.note_quiet(_OLD, 2.0)
        self.assertFalse(self.withdrawn.takes_calls(_OLD, 1e12))
        self.assertTrue(self.withdrawn.takes_calls(_YOUNG, 0.0))

    def test_peers_are_told_what_was_heard_in_answers(self) -> None:
        self.withdrawn.note_answered(_OLD, 0.0)
        self.withdrawn.note_told(_YOUNG)
        self.withdrawn.note_published(lives.Life("i-2", 1))
        self.assertEqual(self.withdrawn.summarize(1.0), ("i-1@5",))
        late_ms = withdrawals.TOLD_MS + 1.0
        self.assertEqual(self.withdrawn.summarize(late_ms), ())

    def test_peers_are_not_told_what_they_read_in_the_list(self) -> None:
        self.withdrawn.note_answered(_OLD, 0.0)
        self.withdrawn.note_published(_OLD)
        self.assertEqual(self.withdrawn.summarize(1.0), ())

    def test_what_is_kept_and_told_is_bounded(self) -> None:
        for number in range(withdrawals.LEFT_MOST + 10):
            self.withdrawn.note_answered(lives.Life(f"i-{number}"), 0.0)
        told = self.withdrawn.summarize(0.0)
        self.assertEqual(len(told), withdrawals.TOLD_MOST)
        self.assertEqual(told[-1], f"i-{withdrawals.LEFT_MOST + 9}")
        self.assertFalse(self.withdrawn.has_left(lives.Life("i-9")))
        self.assertTrue(self.withdrawn.has_left(lives.Life("i-10")))


class QuietTest(unittest.TestCase):
    def setUp(self) -> None:
        self.withdrawn = withdrawals.Withdrawals()

    def test_later_answers_only_prolong_it(self) -> None:
        self.assertTrue(self.withdrawn.note_quiet(_OLD, 100.0))
        self.assertFalse(self.withdrawn.note_quiet(_OLD, 50.0))
        self.assertFalse(self.withdrawn.takes_calls(_OLD, 99.0))
        self.assertTrue(self.withdrawn.note_quiet(_OLD, 200.0))
        self.assertFalse(self.withdrawn.takes_calls(_OLD, 199.0))
        self.assertTrue(self.withdrawn.takes_calls(_OLD, 200.0))
        self.assertTrue(self.withdrawn.takes_calls(_YOUNG, 0.0))

    def test_trial_ends_with_an_answer_of_after_its_end(self) -> None:
        self.withdrawn.note_quiet(_OLD, 100.0)
        self.withdrawn.note_served(_OLD, 50.0)
        self.assertFalse(self.withdrawn.takes_calls(_OLD, 50.0))
        self.assertTrue(self.withdrawn.is_on_trial(_OLD))
        self.withdrawn.note_served(_OLD, 100.0)
        self.assertFalse(self.withdrawn.is_on_trial(_OLD))

    def test_it_is_gone_with_the_life(self) -> None:
        self.withdrawn.note_quiet(_OLD, 100.0)
        self.withdrawn.forget_quiet({_YOUNG}, 50.0)
        # A target that lapsed from the list may come back within its time.
        self.assertTrue(self.withdrawn.has_quiet())
        self.withdrawn.forget_quiet({_OLD}, 100.0)
        self.assertTrue(self.withdrawn.has_quiet())
        self.withdrawn.forget_quiet({_YOUNG}, 100.0)
        self.assertFalse(self.withdrawn.has_quiet())

    def test_what_is_kept_is_bounded(self) -> None:
        for number in range(withdrawals.QUIET_MOST + 1):
            self.withdrawn.note_quiet(lives.Life(f"i-{number}"), 100.0)
        most = withdrawals.QUIET_MOST
        self.assertEqual(self.withdrawn.count_quiet(0.0), most)
        self.assertEqual(self.withdrawn.count_quiet(100.0), 0)
