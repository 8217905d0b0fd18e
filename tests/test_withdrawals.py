"""Which targets take no calls, and what is told of it."""

import unittest

from ruddergate.decisions import drain_suspects
from ruddergate.decisions import draining
from ruddergate.fleet import incarnation as incarnations

_OLD = incarnations.Incarnation("i-1", 5)
_YOUNG = incarnations.Incarnation("i-1", 6)


class LeavingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.withdrawn = draining.DrainState()

    def test_list_binds_the_life(self) -> None:
        self.withdrawn.note_published_drain(_OLD)
        self._check_that_the_old_one_left()

    def test_answer_binds_the_life(self) -> None:
        self.assertTrue(self.withdrawn.note_drain_hint(_OLD, 0.0))
        self.assertFalse(self.withdrawn.note_drain_hint(_OLD, 1.0))
        self._check_that_the_old_one_left()

    def test_peer_binds_the_life_until_it_was_asked(self) -> None:
        self.withdrawn.note_listed(_OLD, 0.0)
        self.assertTrue(self.withdrawn.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.assertFalse(self.withdrawn.merge_gossip(_OLD, "peer", 1.0, 9.0))
        self._check_that_the_old_one_left()
        self.assertEqual(self.withdrawn.suspects.find_due(8.0), [])
        self.assertEqual(self.withdrawn.suspects.find_due(9.0), [_OLD])
        self.assertTrue(self.withdrawn.note_drain_hint(_OLD, 10.0))
        self.assertEqual(self.withdrawn.suspects.find_due(1e12), [])
        self.assertFalse(self.withdrawn.note_refuted(_OLD, 11.0))
        self._check_that_the_old_one_left()

    def test_peers_word_on_a_life_that_stays_is_over_with_its_answer(
        self,
    ) -> None:
        self.withdrawn.note_listed(_OLD, 0.0)
        self.withdrawn.merge_gossip(_OLD, "liar", 0.0, 9.0)
        self.assertTrue(self.withdrawn.note_refuted(_OLD, 10.0))
        self.assertTrue(self.withdrawn.accepts_requests(_OLD, 10.0))
        again_ms = 10.0 + drain_suspects.REFUTED_MS
        self.assertFalse(
            self.withdrawn.merge_gossip(_OLD, "liar", again_ms - 1.0, 1e9)
        )
        self.assertTrue(self.withdrawn.merge_gossip(_OLD, "other", 11.0, 1e9))
        self.assertTrue(self.withdrawn.note_refuted(_OLD, 12.0))
        self.assertTrue(
            self.withdrawn.merge_gossip(_OLD, "liar", again_ms, 1e9)
        )

    def test_peers_word_counts_for_the_listed_life_only(self) -> None:
        unknown = incarnations.Incarnation("i-1")
        self.assertFalse(self.withdrawn.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.withdrawn.note_listed(_YOUNG, 0.0)
        self.assertFalse(self.withdrawn.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 0.0))
        self.assertTrue(self.withdrawn.merge_gossip(unknown, "peer", 0.0, 9.0))
        self.assertFalse(self.withdrawn.accepts_requests(_YOUNG, 0.0))

    def test_life_without_an_answer_is_asked_less_and_less_often(self) -> None:
        self.withdrawn.note_listed(_OLD, 0.0)
        self.withdrawn.merge_gossip(_OLD, "peer", 0.0, 0.0)
        now_ms, pauses_ms = 0.0, []
        for _ in range(6):
            self.withdrawn.suspects.postpone(_OLD, now_ms)
            pauses_ms.append(
                self.withdrawn.suspects.find_next_due_ms() - now_ms
            )
            now_ms += pauses_ms[-1]
        self.assertEqual(pauses_ms[0], drain_suspects.PROBE_RETRY_MS)
        self.assertEqual(pauses_ms[-1], drain_suspects.MAX_PROBE_RETRY_MS)
        self.withdrawn.note_unlisted(_OLD.target_id)
        self.assertEqual(len(self.withdrawn.suspects), 0)

    def test_words_that_were_wrong_are_remembered_within_bounds(self) -> None:
        self.withdrawn.note_listed(_OLD, 0.0)
        for number in range(drain_suspects.MAX_REFUTED + 1):
            self.withdrawn.merge_gossip(_OLD, f"peer-{number}", 0.0, 0.0)
            self.withdrawn.note_refuted(_OLD, 0.0)
        self.assertTrue(self.withdrawn.merge_gossip(_OLD, "peer-0", 0.0, 0.0))
        self.withdrawn.note_refuted(_OLD, 0.0)
        self.assertFalse(self.withdrawn.merge_gossip(_OLD, "peer-2", 0.0, 0.0))

    def test_answer_that_was_overtaken_by_a_call_s_ends_nothing(self) -> None:
        # The answer to the question was on its way when the target told a call
        # that it leaves; a life that is listed later may be the one that did.
        self.withdrawn.note_listed(_OLD, 0.0)
        self.withdrawn.merge_gossip(_OLD, "peer", 0.0, 0.0)
        self.withdrawn.note_drain_hint(_OLD, 1.0, has_incarnation=False)
        self.assertFalse(self.withdrawn.note_refuted(_OLD, 2.0))
        self.withdrawn.note_listed(_YOUNG, 3.0)
        self.assertFalse(self.withdrawn.accepts_requests(_YOUNG, 3.0))

    def test_answer_of_an_unknown_start_puts_other_lives_in_doubt(self) -> None:
        self.withdrawn.note_drain_hint(_OLD, 0.0, has_incarnation=False)
        self.withdrawn.note_listed(_YOUNG, 1.0)
        self.assertFalse(self.withdrawn.accepts_requests(_YOUNG, 1.0))
        self.assertEqual(self.withdrawn.suspects.find_due(1.0), [_YOUNG])
        self.withdrawn.note_refuted(_YOUNG, 2.0)
        self.withdrawn.note_listed(_YOUNG, 3.0)
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 3.0))
        self.assertFalse(self.withdrawn.accepts_requests(_OLD, 3.0))

    def _check_that_the_old_one_left(self) -> None:
        self.withdrawn.note_success(_OLD, 1.0)
        self.withdrawn.note_backoff(_OLD, 2.0)
        self.assertFalse(self.withdrawn.accepts_requests(_OLD, 1e12))
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 0.0))

    def test_peers_are_told_what_was_heard_in_answers(self) -> None:
        self.withdrawn.note_drain_hint(_OLD, 0.0)
        self.withdrawn.note_listed(_YOUNG, 0.0)
        self.withdrawn.merge_gossip(_YOUNG, "peer", 0.0, 9.0)
        self.withdrawn.note_drain_hint(_YOUNG, 0.5)
        self.withdrawn.note_published_drain(incarnations.Incarnation("i-2", 1))
        self.assertEqual(self.withdrawn.summarize(1.0), ("i-1@5",))
        late_ms = draining.ANNOUNCE_DURATION_MS + 1.0
        self.assertEqual(self.withdrawn.summarize(late_ms), ())

    def test_peers_are_not_told_what_they_read_in_the_list(self) -> None:
        self.withdrawn.note_drain_hint(_OLD, 0.0)
        self.withdrawn.note_published_drain(_OLD)
        self.assertEqual(self.withdrawn.summarize(1.0), ())

    def test_what_is_kept_and_told_is_bounded(self) -> None:
        for number in range(draining.MAX_DRAINING + 10):
            self.withdrawn.note_drain_hint(
                incarnations.Incarnation(f"i-{number}"), 0.0
            )
        told = self.withdrawn.summarize(0.0)
        self.assertEqual(len(told), draining.MAX_ANNOUNCED)
        self.assertEqual(told[-1], f"i-{draining.MAX_DRAINING + 9}")
        self.assertFalse(
            self.withdrawn.may_be_draining(incarnations.Incarnation("i-9"))
        )
        self.assertTrue(
            self.withdrawn.may_be_draining(incarnations.Incarnation("i-10"))
        )


class QuietTest(unittest.TestCase):
    def setUp(self) -> None:
        self.withdrawn = draining.DrainState()

    def test_later_answers_only_prolong_it(self) -> None:
        self.assertTrue(self.withdrawn.note_backoff(_OLD, 100.0))
        self.assertFalse(self.withdrawn.note_backoff(_OLD, 50.0))
        self.assertFalse(self.withdrawn.accepts_requests(_OLD, 99.0))
        self.assertTrue(self.withdrawn.note_backoff(_OLD, 200.0))
        self.assertFalse(self.withdrawn.accepts_requests(_OLD, 199.0))
        self.assertTrue(self.withdrawn.accepts_requests(_OLD, 200.0))
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 0.0))

    def test_trial_ends_with_an_answer_of_after_its_end(self) -> None:
        self.withdrawn.note_backoff(_OLD, 100.0)
        self.withdrawn.note_success(_OLD, 50.0)
        self.assertFalse(self.withdrawn.accepts_requests(_OLD, 50.0))
        self.assertTrue(self.withdrawn.is_half_open(_OLD))
        self.withdrawn.note_success(_OLD, 100.0)
        self.assertFalse(self.withdrawn.is_half_open(_OLD))

    def test_it_is_gone_with_the_life(self) -> None:
        self.withdrawn.note_backoff(_OLD, 100.0)
        self.withdrawn.forget_expired_backoffs({_YOUNG}, 50.0)
        # A target that lapsed from the list may come back within its time.
        self.assertTrue(self.withdrawn.has_backoffs())
        self.withdrawn.forget_expired_backoffs({_OLD}, 100.0)
        self.assertTrue(self.withdrawn.has_backoffs())
        self.withdrawn.forget_expired_backoffs({_YOUNG}, 100.0)
        self.assertFalse(self.withdrawn.has_backoffs())

    def test_what_is_kept_is_bounded(self) -> None:
        for number in range(draining.MAX_BACKOFFS + 1):
            self.withdrawn.note_backoff(
                incarnations.Incarnation(f"i-{number}"), 100.0
            )
        most = draining.MAX_BACKOFFS
        self.assertEqual(self.withdrawn.count_backing_off(0.0), most)
        self.assertEqual(self.withdrawn.count_backing_off(100.0), 0)


class UndatedBackoffTest(unittest.TestCase):
    """A refusal does not tell when its target started.

    A target ended at 6.5 s and started again at 6.9 s while the list still told
    its former start, as the store was away. From 9.7 s on it asked three VMs
    for 6 s without calls, which was noted under the listed start. Then the list
    told the real one, and two VMs sent 3 and 4 calls within these 6 s.
    """

    def setUp(self) -> None:
        self.withdrawn = draining.DrainState()
        self.withdrawn.note_listed(_OLD, 0.0)

    def test_it_holds_for_the_start_that_is_listed_next(self) -> None:
        self.withdrawn.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        self.withdrawn.note_listed(_YOUNG, 10.0)
        self.assertFalse(self.withdrawn.accepts_requests(_YOUNG, 10.0))
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 100.0))

    def test_it_holds_for_one_that_was_listed_meanwhile(self) -> None:
        self.withdrawn.note_listed(_YOUNG, 10.0)
        self.withdrawn.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        self.assertFalse(self.withdrawn.accepts_requests(_YOUNG, 20.0))

    def test_it_does_not_hold_for_one_that_started_later(self) -> None:
        self.withdrawn.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        later = incarnations.Incarnation("i-1", 51)
        self.withdrawn.note_listed(later, 60.0)
        self.assertTrue(self.withdrawn.accepts_requests(later, 60.0))

    def test_one_that_told_its_start_holds_for_that_only(self) -> None:
        self.withdrawn.note_backoff(_OLD, 100.0)
        self.withdrawn.note_listed(_YOUNG, 10.0)
        self.assertTrue(self.withdrawn.accepts_requests(_YOUNG, 10.0))
