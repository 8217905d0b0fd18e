"""Which incarnations get no requests, and which drains are announced."""

import unittest

from ruddergate.decisions import drain_suspects
from ruddergate.decisions import draining
from ruddergate.fleet import incarnation as incarnations

_OLD = incarnations.Incarnation("i-1", 5)
_NEW = incarnations.Incarnation("i-1", 6)


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = draining.DrainState()

    def test_published_drain_applies_to_the_incarnation(self) -> None:
        self.state.note_published_drain(_OLD)
        self._check_that_only_the_old_one_drains()

    def test_drain_hint_applies_to_the_incarnation(self) -> None:
        self.assertTrue(self.state.note_drain_hint(_OLD, 0.0))
        self.assertFalse(self.state.note_drain_hint(_OLD, 1.0))
        self._check_that_only_the_old_one_drains()

    def test_gossiped_drain_applies_until_the_target_is_probed(self) -> None:
        self.state.note_listed(_OLD, 0.0)
        self.assertTrue(self.state.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.assertFalse(self.state.merge_gossip(_OLD, "peer", 1.0, 9.0))
        self._check_that_only_the_old_one_drains()
        self.assertEqual(self.state.suspects.find_due(8.0), [])
        self.assertEqual(self.state.suspects.find_due(9.0), [_OLD])
        self.assertTrue(self.state.note_drain_hint(_OLD, 10.0))
        self.assertEqual(self.state.suspects.find_due(1e12), [])
        self.assertFalse(self.state.note_refuted(_OLD, 11.0))
        self._check_that_only_the_old_one_drains()

    def test_refuted_gossip_of_a_peer_is_ignored_temporarily(
        self,
    ) -> None:
        self.state.note_listed(_OLD, 0.0)
        self.state.merge_gossip(_OLD, "faulty", 0.0, 9.0)
        self.assertTrue(self.state.note_refuted(_OLD, 10.0))
        self.assertTrue(self.state.accepts_requests(_OLD, 10.0))
        accepted_again_ms = 10.0 + drain_suspects.REFUTED_MS
        self.assertFalse(
            self.state.merge_gossip(
                _OLD, "faulty", accepted_again_ms - 1.0, 1e9
            )
        )
        self.assertTrue(self.state.merge_gossip(_OLD, "other", 11.0, 1e9))
        self.assertTrue(self.state.note_refuted(_OLD, 12.0))
        self.assertTrue(
            self.state.merge_gossip(_OLD, "faulty", accepted_again_ms, 1e9)
        )

    def test_gossip_counts_for_the_listed_incarnation_only(self) -> None:
        unknown = incarnations.Incarnation("i-1")
        self.assertFalse(self.state.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.state.note_listed(_NEW, 0.0)
        self.assertFalse(self.state.merge_gossip(_OLD, "peer", 0.0, 9.0))
        self.assertTrue(self.state.accepts_requests(_NEW, 0.0))
        self.assertTrue(self.state.merge_gossip(unknown, "peer", 0.0, 9.0))
        self.assertFalse(self.state.accepts_requests(_NEW, 0.0))

    def test_unresponsive_incarnation_is_probed_with_growing_delays(
        self,
    ) -> None:
        self.state.note_listed(_OLD, 0.0)
        self.state.merge_gossip(_OLD, "peer", 0.0, 0.0)
        now_ms, delays_ms = 0.0, []
        for _ in range(6):
            self.state.suspects.postpone(_OLD, now_ms)
            delays_ms.append(self.state.suspects.find_next_due_ms() - now_ms)
            now_ms += delays_ms[-1]
        self.assertEqual(delays_ms[0], drain_suspects.PROBE_RETRY_MS)
        self.assertEqual(delays_ms[-1], drain_suspects.MAX_PROBE_RETRY_MS)
        self.state.note_unlisted(_OLD.target_id)
        self.assertEqual(len(self.state.suspects), 0)

    def test_refutations_are_bounded(self) -> None:
        self.state.note_listed(_OLD, 0.0)
        for number in range(drain_suspects.MAX_REFUTED + 1):
            self.state.merge_gossip(_OLD, f"peer-{number}", 0.0, 0.0)
            self.state.note_refuted(_OLD, 0.0)
        self.assertTrue(self.state.merge_gossip(_OLD, "peer-0", 0.0, 0.0))
        self.state.note_refuted(_OLD, 0.0)
        self.assertFalse(self.state.merge_gossip(_OLD, "peer-2", 0.0, 0.0))

    def test_probe_response_overtaken_by_a_drain_hint_refutes_nothing(
        self,
    ) -> None:
        # The response to the probe was in flight when the target answered a
        # request with a drain hint. An incarnation that is listed later may be
        # the one that drains.
        self.state.note_listed(_OLD, 0.0)
        self.state.merge_gossip(_OLD, "peer", 0.0, 0.0)
        self.state.note_drain_hint(_OLD, 1.0, has_incarnation=False)
        self.assertFalse(self.state.note_refuted(_OLD, 2.0))
        self.state.note_listed(_NEW, 3.0)
        self.assertFalse(self.state.accepts_requests(_NEW, 3.0))

    def test_unattributed_drain_hint_makes_other_incarnations_suspect(
        self,
    ) -> None:
        self.state.note_drain_hint(_OLD, 0.0, has_incarnation=False)
        self.state.note_listed(_NEW, 1.0)
        self.assertFalse(self.state.accepts_requests(_NEW, 1.0))
        self.assertEqual(self.state.suspects.find_due(1.0), [_NEW])
        self.state.note_refuted(_NEW, 2.0)
        self.state.note_listed(_NEW, 3.0)
        self.assertTrue(self.state.accepts_requests(_NEW, 3.0))
        self.assertFalse(self.state.accepts_requests(_OLD, 3.0))

    def _check_that_only_the_old_one_drains(self) -> None:
        self.state.note_success(_OLD, 1.0)
        self.state.note_backoff(_OLD, 2.0)
        self.assertFalse(self.state.accepts_requests(_OLD, 1e12))
        self.assertTrue(self.state.accepts_requests(_NEW, 0.0))

    def test_drains_from_responses_are_announced(self) -> None:
        self.state.note_drain_hint(_OLD, 0.0)
        self.state.note_listed(_NEW, 0.0)
        self.state.merge_gossip(_NEW, "peer", 0.0, 9.0)
        self.state.note_drain_hint(_NEW, 0.5)
        self.state.note_published_drain(incarnations.Incarnation("i-2", 1))
        self.assertEqual(self.state.summarize(1.0), ("i-1@5",))
        late_ms = draining.ANNOUNCE_DURATION_MS + 1.0
        self.assertEqual(self.state.summarize(late_ms), ())

    def test_published_drains_are_not_announced(self) -> None:
        self.state.note_drain_hint(_OLD, 0.0)
        self.state.note_published_drain(_OLD)
        self.assertEqual(self.state.summarize(1.0), ())

    def test_drains_kept_and_announced_are_bounded(self) -> None:
        for number in range(draining.MAX_DRAINING + 10):
            self.state.note_drain_hint(
                incarnations.Incarnation(f"i-{number}"), 0.0
            )
        announced = self.state.summarize(0.0)
        self.assertEqual(len(announced), draining.MAX_ANNOUNCED)
        self.assertEqual(announced[-1], f"i-{draining.MAX_DRAINING + 9}")
        self.assertFalse(
            self.state.may_be_draining(incarnations.Incarnation("i-9"))
        )
        self.assertTrue(
            self.state.may_be_draining(incarnations.Incarnation("i-10"))
        )


class BackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = draining.DrainState()

    def test_later_responses_only_prolong_a_backoff(self) -> None:
        self.assertTrue(self.state.note_backoff(_OLD, 100.0))
        self.assertFalse(self.state.note_backoff(_OLD, 50.0))
        self.assertFalse(self.state.accepts_requests(_OLD, 99.0))
        self.assertTrue(self.state.note_backoff(_OLD, 200.0))
        self.assertFalse(self.state.accepts_requests(_OLD, 199.0))
        self.assertTrue(self.state.accepts_requests(_OLD, 200.0))
        self.assertTrue(self.state.accepts_requests(_NEW, 0.0))

    def test_half_open_ends_with_a_success_after_the_backoff(self) -> None:
        self.state.note_backoff(_OLD, 100.0)
        self.state.note_success(_OLD, 50.0)
        self.assertFalse(self.state.accepts_requests(_OLD, 50.0))
        self.assertTrue(self.state.is_half_open(_OLD))
        self.state.note_success(_OLD, 100.0)
        self.assertFalse(self.state.is_half_open(_OLD))

    def test_expired_backoff_is_dropped_with_its_incarnation(self) -> None:
        self.state.note_backoff(_OLD, 100.0)
        self.state.forget_expired_backoffs({_NEW}, 50.0)
        # A target whose entry expired may be listed again during its backoff.
        self.assertTrue(self.state.has_backoffs())
        self.state.forget_expired_backoffs({_OLD}, 100.0)
        self.assertTrue(self.state.has_backoffs())
        self.state.forget_expired_backoffs({_NEW}, 100.0)
        self.assertFalse(self.state.has_backoffs())

    def test_backoffs_kept_are_bounded(self) -> None:
        for number in range(draining.MAX_BACKOFFS + 1):
            self.state.note_backoff(
                incarnations.Incarnation(f"i-{number}"), 100.0
            )
        max_backoffs = draining.MAX_BACKOFFS
        self.assertEqual(self.state.count_backing_off(0.0), max_backoffs)
        self.assertEqual(self.state.count_backing_off(100.0), 0)


class UnattributedBackoffTest(unittest.TestCase):
    """A refusal does not name the incarnation of its target.

    If a target restarts while the store is away, the list shows its former
    start time, and a backoff that it asks for is noted for that incarnation.
    The backoff must also hold for the incarnation that is listed next:
    otherwise VMs send it requests during the backoff.
    """

    def setUp(self) -> None:
        self.state = draining.DrainState()
        self.state.note_listed(_OLD, 0.0)

    def test_backoff_holds_for_the_incarnation_that_is_listed_next(
        self,
    ) -> None:
        self.state.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        self.state.note_listed(_NEW, 10.0)
        self.assertFalse(self.state.accepts_requests(_NEW, 10.0))
        self.assertTrue(self.state.accepts_requests(_NEW, 100.0))

    def test_backoff_holds_for_an_incarnation_listed_before_the_hint(
        self,
    ) -> None:
        self.state.note_listed(_NEW, 10.0)
        self.state.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        self.assertFalse(self.state.accepts_requests(_NEW, 20.0))

    def test_backoff_does_not_hold_for_an_incarnation_started_later(
        self,
    ) -> None:
        self.state.note_backoff(_OLD, 100.0, hinted_wall_ms=50.0)
        later = incarnations.Incarnation("i-1", 51)
        self.state.note_listed(later, 60.0)
        self.assertTrue(self.state.accepts_requests(later, 60.0))

    def test_attributed_backoff_holds_for_its_incarnation_only(self) -> None:
        self.state.note_backoff(_OLD, 100.0)
        self.state.note_listed(_NEW, 10.0)
        self.assertTrue(self.state.accepts_requests(_NEW, 10.0))
