"""A VM's share of the rate limits that targets report."""

import random
import unittest

from ruddergate.decisions import rate_limits
from ruddergate.fleet import rate_limit

_TARGET = "i-1"


def _make_limits(
    holders: int = 1, vms: int = 9, seed: int = 1
) -> rate_limits.RateLimits:
    return rate_limits.RateLimits(
        random.Random(seed), lambda *_: holders, lambda: vms
    )


def _count_sent(
    limits: rate_limits.RateLimits, from_ms: int, to_ms: int
) -> int:
    """Counts the requests sent when one is tried every millisecond."""
    return sum(
        limits.take_token(_TARGET, "", float(now_ms))
        for now_ms in range(from_ms, to_ms)
    )


class ShareTest(unittest.TestCase):
    def test_bound_holds_for_any_limit(self) -> None:
        for tenths in range(20_000):
            rate_per_s = tenths / 10.0
            max_holders = rate_limits.find_max_holders(rate_per_s)
            has_free_probes = rate_per_s / max_holders < 0.5
            worst_case = (
                3 if has_free_probes else 2
            ) * max_holders + 5.0 * rate_per_s
            self.assertLessEqual(worst_case, 6.0 * rate_per_s + 5.0, rate_per_s)

    def test_vms_of_the_hall_hold_the_shares(self) -> None:
        members = {f"vm-{n}": f"hall-{n % 3}" for n in range(195)}
        halls = {"hall-0", "hall-1", "hall-2"}
        for rate_per_s in (0.0, 1.0, 5.0, 50.0, 500.0):
            holders = rate_limits.choose_holders(
                _TARGET, "hall-1", rate_per_s, members, halls
            )
            self.assertEqual({members[each] for each in holders}, {"hall-1"})
            max_holders = rate_limits.find_max_holders(rate_per_s)
            self.assertEqual(len(holders), min(65, max_holders))

    def test_halls_without_a_target_of_the_pool_hold_shares_too(self) -> None:
        members = {f"vm-{n}": f"hall-{n % 3}" for n in range(9)}
        holders = rate_limits.choose_holders(
            _TARGET, "hall-1", 100.0, members, {"hall-1", "hall-2"}
        )
        self.assertEqual(
            {members[each] for each in holders}, {"hall-0", "hall-1"}
        )

    def test_target_in_a_hall_without_vms_has_holders_elsewhere(self) -> None:
        members = {"vm-0": "hall-0", "vm-1": "hall-1"}
        holders = rate_limits.choose_holders(
            _TARGET, "hall-2", 1.0, members, {"hall-0", "hall-1", "hall-2"}
        )
        self.assertEqual(sorted(holders), ["vm-0", "vm-1"])

    def test_shares_of_different_targets_go_to_different_vms(self) -> None:
        members = {f"vm-{n}": "hall" for n in range(9)}
        found = {
            rate_limits.choose_holders(
                f"i-{number}", "hall", 0.0, members, {"hall"}
            )[0]
            for number in range(60)
        }
        self.assertEqual(len(found), 9)


class TokenTest(unittest.TestCase):
    def test_share_is_used_in_full_and_no_more(self) -> None:
        limits = _make_limits(holders=2)
        limits.observe_limit(_TARGET, 4.0, 0.0, 0.0)
        sent = _count_sent(limits, 0, 10_000)
        self.assertIn(sent, (20, 21))

    def test_no_burst_when_a_limit_is_reported(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
        self.assertFalse(limits.take_token(_TARGET, "", 0.0))

    def test_vms_that_learn_a_limit_at_once_send_at_different_times(
        self,
    ) -> None:
        first = []
        for seed in range(20):
            limits = _make_limits(seed=seed)
            limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
            first.append(round(limits.find_token_ms(_TARGET, 0.0) / 50.0))
        self.assertGreater(len(set(first)), 10)

    def test_one_token_is_saved(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 10.0, 0.0, 0.0)
        self.assertTrue(limits.take_token(_TARGET, "", 60_000.0))
        self.assertFalse(limits.take_token(_TARGET, "", 60_000.0))

    def test_saved_token_is_lost_when_the_limit_changes(self) -> None:
        for rate_per_s in (0.5, 5.0):
            limits = _make_limits()
            limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
            self.assertTrue(limits.can_send(_TARGET, 3_000.0))
            limits.observe_limit(_TARGET, rate_per_s, 2_900.0, 3_000.0)
            self.assertFalse(limits.can_send(_TARGET, 3_000.0))

    def test_placed_request_counts_until_it_is_sent(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
        limits.note_placed(_TARGET, "a", 2_000.0)
        self.assertFalse(limits.can_send(_TARGET, 2_000.0))
        self.assertTrue(limits.take_token(_TARGET, "a", 2_010.0))
        self.assertFalse(limits.can_send(_TARGET, 2_010.0))

    def test_unsent_request_returns_its_token(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
        self.assertTrue(limits.take_token(_TARGET, "", 2_000.0))
        limits.return_token(_TARGET)
        self.assertTrue(limits.take_token(_TARGET, "", 2_000.0))
        self.assertFalse(limits.take_token(_TARGET, "", 2_000.0))

    def test_charged_requests_delay_later_ones(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
        for _ in range(3):
            limits.charge(_TARGET, 2_000.0)
        self.assertEqual(_count_sent(limits, 2_000, 4_990), 0)
        self.assertEqual(_count_sent(limits, 4_990, 5_500), 1)

    def test_vm_without_a_share_sends_nothing(self) -> None:
        limits = _make_limits(holders=0)
        limits.observe_limit(_TARGET, 50.0, 0.0, 0.0)
        self.assertEqual(_count_sent(limits, 0, 9_000), 0)

    def test_target_without_a_limit_gets_all_requests(self) -> None:
        self.assertEqual(_count_sent(_make_limits(), 0, 100), 100)


class ReorderedResponsesTest(unittest.TestCase):
    """Responses on different connections overtake one another."""

    def test_overtaken_response_does_not_end_a_limit(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 1_000.0)
        ended = limits.observe_no_limit(_TARGET, True, 900.0, 1_100.0)
        self.assertFalse(ended)
        self.assertTrue(limits.is_limited(_TARGET))
        self.assertTrue(
            limits.observe_no_limit(_TARGET, True, 1_200.0, 1_300.0)
        )
        self.assertFalse(limits.is_limited(_TARGET))

    def test_overtaken_response_does_not_restore_a_limit(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 1_000.0)
        limits.observe_no_limit(_TARGET, True, 1_200.0, 1_300.0)
        limits.observe_limit(_TARGET, 1.0, 1_100.0, 1_400.0)
        self.assertFalse(limits.is_limited(_TARGET))
        limits.observe_limit(_TARGET, 1.0, 1_350.0, 1_450.0)
        self.assertTrue(limits.is_limited(_TARGET))

    def test_overtaken_response_does_not_raise_a_limit(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 1_000.0)
        limits.observe_limit(_TARGET, 50.0, 900.0, 1_100.0)
        self.assertEqual(limits.find_share(_TARGET, 1_100.0)[0], 1.0)
        limits.observe_limit(_TARGET, 50.0, 1_150.0, 1_200.0)
        self.assertEqual(limits.find_share(_TARGET, 1_200.0)[0], 50.0)

    def test_lower_limit_applies_at_once(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 50.0, 0.0, 1_000.0)
        limits.observe_limit(_TARGET, 1.0, 900.0, 1_100.0)
        self.assertEqual(limits.find_share(_TARGET, 1_100.0)[0], 1.0)

    def test_probe_alone_ends_no_limit(self) -> None:
        limits = _make_limits(holders=0)
        limits.observe_limit(_TARGET, 0.0, 0.0, 1_000.0)
        limits.observe_no_limit(_TARGET, False, 5_000.0, 5_010.0)
        # One request is sent; its response will show whether the limit ended.
        self.assertEqual(_count_sent(limits, 5_010, 6_000), 1)
        self.assertTrue(limits.is_limited(_TARGET))


class SlowStartTest(unittest.TestCase):
    def test_load_returns_gradually_after_a_limit(self) -> None:
        limits = _make_limits(holders=0)
        limits.observe_limit(_TARGET, 0.0, 0.0, 0.0)
        limits.observe_no_limit(_TARGET, True, 1_000.0, 1_100.0)
        first = _count_sent(limits, 1_100, 2_000)
        self.assertLessEqual(first, 3)
        self.assertGreater(_count_sent(limits, 3_200, 3_300), 90)


class PeerTest(unittest.TestCase):
    def _merge(
        self,
        limits: rate_limits.RateLimits,
        rate_per_s: float | None,
        now_ms: float,
        age_ms: float = 0.0,
    ) -> bool:
        update = rate_limit.RateLimitUpdate(_TARGET, rate_per_s, age_ms)
        return limits.merge(update, now_ms)

    def test_gossiped_limit_is_enforced(self) -> None:
        limits = _make_limits(holders=0)
        self.assertTrue(self._merge(limits, 1.0, 0.0))
        self.assertEqual(_count_sent(limits, 0, 9_000), 0)

    def test_only_limits_from_responses_are_announced(self) -> None:
        limits = _make_limits()
        self._merge(limits, 1.0, 0.0)
        self.assertEqual(limits.summarize(0.0), ())
        limits.observe_limit(_TARGET, 1.0, 90.0, 100.0)
        self.assertEqual(
            limits.summarize(150.0),
            (rate_limit.RateLimitUpdate(_TARGET, 1.0, 50.0),),
        )
        # The update is repeated, but not in each digest.
        self.assertEqual(limits.summarize(160.0), ())
        self.assertEqual(len(limits.summarize(700.0)), 1)

    def test_digest_has_a_bounded_number_of_updates(self) -> None:
        limits = _make_limits()
        for number in range(100):
            limits.observe_limit(f"i-{number}", 1.0, 0.0, float(number))
        updates = limits.summarize(100.0)
        self.assertEqual(len(updates), rate_limits.MAX_UPDATES)
        self.assertEqual(updates[0].target_id, "i-99")

    def test_end_of_a_limit_is_gossiped(self) -> None:
        one, other = _make_limits(), _make_limits(holders=0)
        one.observe_limit(_TARGET, 1.0, 0.0, 100.0)
        other.merge(one.summarize(100.0)[0], 102.0)
        one.observe_no_limit(_TARGET, True, 2_000.0, 2_100.0)
        self.assertTrue(other.merge(one.summarize(2_101.0)[0], 2_103.0))
        self.assertFalse(other.is_limited(_TARGET))

    def test_older_gossip_changes_nothing(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 1.0, 0.0, 5_000.0)
        self.assertFalse(self._merge(limits, None, 5_100.0, age_ms=500.0))
        self.assertFalse(self._merge(limits, 9.0, 5_100.0, age_ms=500.0))
        self.assertEqual(limits.find_share(_TARGET, 5_100.0)[0], 1.0)

    def test_response_overrides_gossip(self) -> None:
        limits = _make_limits()
        self._merge(limits, 0.0, 0.0)
        self.assertTrue(limits.observe_no_limit(_TARGET, True, 50.0, 100.0))
        for now_ms in range(200, 50_000, 400):
            self._merge(limits, 0.0, float(now_ms))
        self.assertFalse(limits.is_limited(_TARGET))

    def test_gossiped_limit_is_tried_even_without_a_share(self) -> None:
        limits = _make_limits(holders=0)
        sent = 0
        for now_ms in range(0, 120_000, 50):
            if now_ms % 400 == 0:
                self._merge(limits, 0.0, float(now_ms))
            sent += limits.take_token(_TARGET, "", float(now_ms))
        self.assertGreater(sent, 0)
        self.assertLess(sent, 10)

    def test_unconfirmed_limit_is_tried(self) -> None:
        limits = _make_limits(holders=0)
        limits.observe_limit(_TARGET, 1.0, 0.0, 0.0)
        self.assertEqual(_count_sent(limits, 0, 10_000), 0)
        self.assertEqual(_count_sent(limits, 10_000, 20_000), 1)

    def test_limits_of_removed_targets_are_dropped(self) -> None:
        limits = _make_limits(holders=0)
        for number in range(100):
            limits.observe_limit(f"i-{number}", 1.0, 0.0, 0.0)
        limits.observe_no_limit("i-0", True, 10.0, 20.0)
        limits.forget_old(30_000.0)
        self.assertEqual(len(limits.list_limited()), 99)
        limits.forget_old(60_100.0)
        self.assertEqual(len(limits), 0)
        self.assertEqual(limits.summarize(60_100.0), ())

    def test_holder_probes_a_gossiped_limit_at_once(self) -> None:
        limits = _make_limits()
        self._merge(limits, 0.0, 1_000.0)
        self.assertEqual(limits.take_due_probes(1_000.0), [_TARGET])
        self.assertEqual(limits.take_due_probes(2_000.0), [])

    def test_holder_probes_a_target_that_does_not_respond(self) -> None:
        limits = _make_limits()
        limits.observe_limit(_TARGET, 0.0, 0.0, 0.0)
        probes = [
            now_ms
            for now_ms in range(0, 16_000, 500)
            if limits.take_due_probes(float(now_ms))
        ]
        self.assertEqual(probes, [4_000, 8_000, 12_000])

    def test_vm_without_a_share_does_not_probe(self) -> None:
        limits = _make_limits(holders=0)
        limits.observe_limit(_TARGET, 0.0, 0.0, 0.0)
        self.assertEqual(limits.take_due_probes(60_000.0), [])
