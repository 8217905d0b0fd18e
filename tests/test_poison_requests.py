"""Which request fingerprints are quarantined for crashing targets."""

import dataclasses
import itertools
import math
import random
import unittest

import hypothesis
from hypothesis import strategies

from ruddergate.decisions import poison_requests
from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import poison_reports as messages
from ruddergate.wire import codec

_NOW_MS = 1_000_000.0


def _make_incarnation(number: int) -> incarnations.Incarnation:
    return incarnations.Incarnation(
        f"engine-{number}", 1_700_000_000_000 + number
    )


def _make_row(
    fingerprint: str, *numbers: int, completed_age_ms=None
) -> messages.PoisonReport:
    ended = tuple(
        messages.EndedIncarnation(_make_incarnation(number), 100.0, 1.0)
        for number in numbers
    )
    if completed_age_ms is None:
        return messages.PoisonReport(fingerprint, ended)
    return messages.PoisonReport(fingerprint, ended, completed_age_ms)


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = poison_requests.PoisonRequests()

    def _crash(
        self, fingerprint: str, number: int, weight: float = 1.0
    ) -> None:
        self.table.note_crash(
            fingerprint, _make_incarnation(number), weight, _NOW_MS
        )

    def _is_quarantined(
        self, fingerprint: str, now_ms: float = _NOW_MS
    ) -> bool:
        return self.table.find_quarantine_left_ms(fingerprint, now_ms) > 0.0

    def test_three_crashes_are_enough(self) -> None:
        for number in range(3):
            self.assertFalse(self._is_quarantined("a"))
            self._crash("a", number)
        self.assertTrue(self._is_quarantined("a"))

    def test_late_crashes_count_less(self) -> None:
        # A harmless prompt of 505,905 tokens was quarantined after engines had
        # crashed at random when they had prefilled it for 1.6 and 2.8 s.
        late_weight = poison_requests.weigh_crash(2_800.0, 20.0)
        self.assertEqual(poison_requests.weigh_crash(500.0, 20.0), 1.0)
        # A long prompt that is lost soon after it was sent was not running yet.
        self.assertEqual(
            poison_requests.weigh_crash(500.0, 2_000.0), late_weight
        )
        for number in range(4):
            self._crash("a", number, late_weight)
        self.assertFalse(self._is_quarantined("a"))
        self._crash("a", 4, late_weight)
        self.assertTrue(self._is_quarantined("a"))

    def test_one_crash_is_not_enough(self) -> None:
        self._crash("a", 0)
        self.assertFalse(self._is_quarantined("a"))
        self.assertEqual(self.table.count_crashes("a", _NOW_MS), 1)

    def test_same_incarnation_counts_once(self) -> None:
        for _ in range(5):
            self._crash("a", 0)
        self.assertFalse(self._is_quarantined("a"))

    def test_starts_under_one_name_are_different_incarnations(self) -> None:
        for started_ms in (5, 6, 7):
            incarnation = incarnations.Incarnation("engine-0", started_ms)
            self.table.note_crash("a", incarnation, 1.0, _NOW_MS)
        self.assertTrue(self._is_quarantined("a"))

    def test_fingerprint_is_cleared_when_a_request_completes(self) -> None:
        for number in range(2):
            self._crash("a", number)
        self.assertTrue(self.table.note_completed("a", _NOW_MS + 1.0))
        self.table.note_crash("a", _make_incarnation(2), 1.0, _NOW_MS + 2.0)
        self.assertEqual(self.table.count_crashes("a", _NOW_MS + 2.0), 1)

    def test_poison_request_explains_losses_of_other_requests(self) -> None:
        # Requests that lose their engine to the poison request may be retried
        # on the same engine as that request, and lose that one as well.
        for number in range(2):
            self._crash("culprit", number)
            self._crash("victim", number)
        self.assertEqual(self.table.count_crashes("victim", _NOW_MS), 2)
        self._crash("culprit", 2)
        self.assertTrue(self._is_quarantined("culprit"))
        self.assertEqual(self.table.count_crashes("victim", _NOW_MS), 0)

    def test_quarantine_and_suspicion_expire(self) -> None:
        for number in range(3):
            self._crash("a", number)
        self._crash("b", 7)
        later_ms = _NOW_MS + poison_requests.SUSPECT_MS
        self.assertTrue(self._is_quarantined("a", later_ms))
        self.assertEqual(self.table.count_crashes("b", later_ms), 0)
        self.assertFalse(
            self._is_quarantined("a", _NOW_MS + poison_requests.QUARANTINE_MS)
        )
        self.assertEqual(len(self.table), 0)

    def test_table_is_bounded_and_keeps_the_worst(self) -> None:
        for number in range(3):
            self._crash("worst", number)
        for number in range(2 * poison_requests.MAX_FINGERPRINTS):
            self._crash(f"c{number}", 10 + number)
        self.assertLessEqual(len(self.table), poison_requests.MAX_FINGERPRINTS)
        self.assertTrue(self._is_quarantined("worst"))


class GossipTest(unittest.TestCase):
    def test_gossip_in_any_order_gives_the_same_table(self) -> None:
        rows = [
            _make_row("a", 0),
            _make_row("a", 1, 2),
            _make_row("b", 1, 2),
            _make_row("b", 2),
        ]
        for order in itertools.permutations(rows):
            table = poison_requests.PoisonRequests()
            for row in (*order, *order):
                table.merge([row], _NOW_MS)
            self.assertGreater(table.find_quarantine_left_ms("a", _NOW_MS), 0.0)
            self.assertEqual(table.count_crashes("b", _NOW_MS), 0)

    def test_known_crashes_are_not_new(self) -> None:
        table = poison_requests.PoisonRequests()
        self.assertEqual(table.merge([_make_row("a", 0)], _NOW_MS), {"a"})
        self.assertEqual(table.merge([_make_row("a", 0)], _NOW_MS + 9.0), set())

    def test_gossip_between_two_tables_ends(self) -> None:
        one, other = (
            poison_requests.PoisonRequests(),
            poison_requests.PoisonRequests(),
        )
        one.note_crash("a", _make_incarnation(0), 1.0, _NOW_MS)
        one.note_completed("a", _NOW_MS + 1.0)
        now_ms = _NOW_MS + 2.0
        new_count = 0
        for _ in range(50):
            for sender, receiver in ((one, other), (other, one)):
                row = sender.describe("a", now_ms)
                now_ms += 40.0
                new_count += len(receiver.merge([row], now_ms)) if row else 0
        self.assertLessEqual(new_count, 1)

    def test_old_gossip_about_a_cleared_fingerprint_changes_nothing(
        self,
    ) -> None:
        table = poison_requests.PoisonRequests()
        table.merge([_make_row("a", 0, 1)], _NOW_MS)
        table.note_completed("a", _NOW_MS + 10.0)
        late = dataclasses.replace(_make_row("a", 0, 1, 2))
        ended = tuple(
            dataclasses.replace(each, age_ms=500.0) for each in late.ended
        )
        late = dataclasses.replace(late, ended=ended)
        self.assertEqual(table.merge([late], _NOW_MS + 50.0), set())
        self.assertEqual(table.count_crashes("a", _NOW_MS + 50.0), 0)

    def test_rows_round_trip_on_the_wire(self) -> None:
        message = messages.PoisonReports(
            "10.0.0.1:83",
            (_make_row("a", 0, 1, completed_age_ms=5.0), _make_row("b", 2)),
        )
        self.assertEqual(codec.decode(codec.encode(message)), message)

    def test_full_datagram_is_small(self) -> None:
        rows = tuple(
            _make_row(f"{number:032x}", number, number + 1, number + 2)
            for number in range(poison_requests.MAX_ROWS_PER_DATAGRAM)
        )
        data = codec.encode(messages.PoisonReports("10.0.0.1:83", rows))
        self.assertLess(len(data), 3_000)

    def test_invalid_rows_are_rejected(self) -> None:
        ended = messages.EndedIncarnation(_make_incarnation(0), 1.0, 1.0)
        invalid = [
            dataclasses.replace(ended, age_ms=-1.0),
            dataclasses.replace(ended, age_ms=math.nan),
            dataclasses.replace(ended, age_ms=math.inf),
            dataclasses.replace(ended, weight=0.0),
            dataclasses.replace(ended, weight=2.0),
            dataclasses.replace(ended, weight=math.nan),
        ]
        for each in invalid:
            rows = (messages.PoisonReport("a", (each,)),)
            self.assertNotEqual(poison_requests.find_error(rows), "")
        for age_ms in (-5.0, math.inf):
            rows = (messages.PoisonReport("a", (ended,), age_ms),)
            self.assertNotEqual(poison_requests.find_error(rows), "")
        many = (ended,) * (poison_requests.MAX_CRASHES + 1)
        self.assertNotEqual(
            poison_requests.find_error((messages.PoisonReport("a", many),)), ""
        )
        rows = (_make_row("a", 0),) * (
            poison_requests.MAX_ROWS_PER_DATAGRAM + 1
        )
        self.assertNotEqual(poison_requests.find_error(rows), "")
        self.assertEqual(
            poison_requests.find_error((_make_row("a", 0, 1),)), ""
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"), strategies.integers(0, 4)
            ),
            max_size=12,
        ),
        strategies.integers(0, 999),
    )
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_vms_that_saw_different_crashes_conclude_the_same(
        self, crashes: list[tuple[str, int]], seed: int
    ) -> None:
        rng = random.Random(seed)
        vms = [poison_requests.PoisonRequests() for _ in range(3)]
        for fingerprint, number in crashes:
            vm = rng.choice(vms)
            vm.note_crash(fingerprint, _make_incarnation(number), 1.0, _NOW_MS)
        for _ in range(3):
            for sender, receiver in itertools.permutations(vms, 2):
                rows = [
                    sender.describe(each, _NOW_MS)
                    for each in sender.rank(_NOW_MS)
                ]
                receiver.merge(rows, _NOW_MS)
        found = [sorted(vm.list_quarantined(_NOW_MS)) for vm in vms]
        self.assertEqual(found[0], found[1])
        self.assertEqual(found[0], found[2])
