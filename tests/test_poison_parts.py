"""Which parts of prompts are blamed for crashes, and what is tried."""

import dataclasses
import unittest

import msgpack

from ruddergate.decisions import poison_requests
from ruddergate.decisions import request_fingerprint
from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import poison_reports as messages
from ruddergate.wire import codec

_NOW_MS = 1_000_000.0
_SYSTEM = request_fingerprint.fingerprint_part("system")
_POISON = request_fingerprint.fingerprint_part("poison")
_COMPANION = request_fingerprint.fingerprint_part("companion")
_Verdict = poison_requests.Verdict


def _make_incarnation(number: int) -> incarnations.Incarnation:
    return incarnations.Incarnation(f"engine-{number}", 0)


class PartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = poison_requests.PoisonRequests()
        self._crashes = 0

    def _crash(
        self,
        *fingerprints: str,
        at_ms: float = _NOW_MS,
        since_sent_ms: float = 100.0,
        weight: float = 1.0,
    ) -> None:
        """Notes one crash under requests with fingerprints."""
        self._crashes += 1
        for each in fingerprints:
            self.table.note_crash(
                each,
                _make_incarnation(self._crashes),
                weight,
                at_ms,
                since_sent_ms,
            )

    def _judge(
        self, *fingerprints: str, now_ms: float = _NOW_MS
    ) -> poison_requests.Verdict:
        return self.table.judge(fingerprints, now_ms).verdict

    def _prove(self, fingerprint: str, at_ms: float) -> bool:
        return self.table.note_lasting(fingerprint, at_ms)

    def test_crashes_of_different_contents_add_up(self) -> None:
        for number in range(3):
            self.assertIsNot(
                self._judge(f"{number}", _POISON), _Verdict.QUARANTINED
            )
            self._crash(f"{number}", _POISON)
        self.assertIs(self._judge("new", _POISON), _Verdict.QUARANTINED)
        self.assertIs(self._judge("new", _SYSTEM), _Verdict.ADMITTED)

    def test_one_crash_makes_a_part_wait_for_its_trial(self) -> None:
        self._crash("1", _POISON)
        self.assertIs(self._judge("2", _POISON), _Verdict.ON_TRIAL)
        self.assertFalse(self.table.is_trial_running([_POISON], _NOW_MS))
        suspects = self.table.begin_trial(["2", _POISON], _NOW_MS + 1.0)
        self.assertEqual(suspects, [_POISON])
        self.assertTrue(self.table.is_trial_running([_POISON], _NOW_MS + 2.0))
        self._crash("2", _POISON, at_ms=_NOW_MS + 50.0)
        self.assertFalse(self.table.is_trial_running([_POISON], _NOW_MS + 51.0))

    def test_trial_without_a_result_ends(self) -> None:
        self._crash("1", _POISON)
        suspects = self.table.begin_trial(["2", _POISON], _NOW_MS + 1.0)
        self.table.end_trial(suspects, _NOW_MS + 1.0)
        self.assertFalse(self.table.is_trial_running([_POISON], _NOW_MS + 2.0))

    def test_end_of_a_trial_does_not_end_a_later_one(self) -> None:
        # A trial that lost its target ends some time after that. Guards
        # against two trials at once, when another one has begun meanwhile.
        self._crash("1", _POISON)
        first = self.table.begin_trial(["2", _POISON], _NOW_MS + 1.0)
        self._crash("2", _POISON, at_ms=_NOW_MS + 50.0)
        self.table.begin_trial(["3", _POISON], _NOW_MS + 60.0)
        self.table.end_trial(first, _NOW_MS + 1.0)
        self.assertTrue(self.table.is_trial_running([_POISON], _NOW_MS + 99.0))

    def test_response_that_lasts_clears_the_crashes_before_it(self) -> None:
        for number in range(3):
            self._crash(f"{number}", _POISON, at_ms=_NOW_MS + number)
        # It began before the last crash, which may be due to the part.
        self.assertTrue(self._prove(_POISON, _NOW_MS + 1.5))
        self.assertEqual(self.table.count_crashes(_POISON, _NOW_MS + 9.0), 1)
        self.assertTrue(self._prove(_POISON, _NOW_MS + 5.0))
        self.assertIs(
            self._judge("new", _POISON, now_ms=_NOW_MS + 9.0),
            _Verdict.ADMITTED,
        )

    def test_part_that_proved_harmless_is_not_blamed_for_an_unknown_one(
        self,
    ) -> None:
        self._prove(_SYSTEM, _NOW_MS - 5.0)
        for number in range(5):
            at_ms = _NOW_MS + 200.0 * number
            self._crash(f"{number}", _SYSTEM, _POISON, at_ms=at_ms)
        now_ms = _NOW_MS + 1_000.0
        self.assertIs(
            self._judge("new", _SYSTEM, now_ms=now_ms), _Verdict.ADMITTED
        )
        self.assertIs(
            self._judge("new", _SYSTEM, _POISON, now_ms=now_ms),
            _Verdict.QUARANTINED,
        )

    def test_two_poison_parts_explain_all_crashes_of_a_common_one(self) -> None:
        other = request_fingerprint.fingerprint_part("other")
        self._prove(_SYSTEM, _NOW_MS - 5.0)
        for number in range(6):
            at_ms = _NOW_MS + 200.0 * number
            part = (_POISON, other)[number % 2]
            self._crash(f"{number}", _SYSTEM, part, at_ms=at_ms)
        now_ms = _NOW_MS + 1_200.0
        for part in (_POISON, other):
            self.assertIs(
                self._judge("new", part, now_ms=now_ms), _Verdict.QUARANTINED
            )
        self.assertIs(
            self._judge("new", _SYSTEM, now_ms=now_ms), _Verdict.ADMITTED
        )

    def test_loss_of_all_targets_does_not_quarantine_a_common_part(
        self,
    ) -> None:
        # All were under way at the same time, so one of them counts.
        self._prove(_SYSTEM, _NOW_MS - 5.0)
        for number in range(8):
            self._crash(f"{number}", _SYSTEM, at_ms=_NOW_MS + number)
        self.assertIs(
            self._judge("new", _SYSTEM, now_ms=_NOW_MS + 9.0),
            _Verdict.ON_TRIAL,
        )

    def test_part_that_turns_is_quarantined_by_consecutive_crashes(
        self,
    ) -> None:
        self._prove(_POISON, _NOW_MS - 5.0)
        for number in range(4):
            now_ms = _NOW_MS + 200.0 * number
            self.assertIsNot(
                self._judge("new", _POISON, now_ms=now_ms),
                _Verdict.QUARANTINED,
            )
            self._crash(f"{number}", _POISON, at_ms=now_ms)
        self.assertIs(
            self._judge("new", _POISON, now_ms=now_ms), _Verdict.QUARANTINED
        )

    def test_request_with_one_of_two_tied_parts_is_tried(self) -> None:
        for number in range(3):
            self._crash(f"{number}", _COMPANION, _POISON)
        self.assertIs(
            self._judge("a", _COMPANION, _POISON), _Verdict.QUARANTINED
        )
        self.assertIs(self._judge("b", _COMPANION), _Verdict.ON_TRIAL)
        self.assertIs(self._judge("c", _POISON), _Verdict.ON_TRIAL)
        self._crash("c", _POISON)
        self.assertIs(self._judge("d", _POISON), _Verdict.QUARANTINED)
        self.assertIsNot(self._judge("b", _COMPANION), _Verdict.QUARANTINED)

    def test_quarantined_part_is_tried_again_ever_less_often(self) -> None:
        for number in range(3):
            self._crash(f"{number}", _POISON)
        now_ms = _NOW_MS
        delays_ms = []
        for number in range(3, 6):
            left_ms = self.table.judge(["new", _POISON], now_ms).left_ms
            self.assertGreater(left_ms, 0.0)
            delays_ms.append(left_ms)
            now_ms += left_ms
            self.assertIs(
                self._judge("new", _POISON, now_ms=now_ms), _Verdict.ON_TRIAL
            )
            self._crash(f"{number}", _POISON, at_ms=now_ms)
        self.assertEqual(delays_ms[1], 4.0 * delays_ms[0])
        self.assertEqual(delays_ms[2], 16.0 * delays_ms[0])

    def test_late_crashes_hold_no_request_back(self) -> None:
        late = poison_requests.LATE_CRASH_WEIGHT
        for number in range(4):
            self._crash(f"{number}", _POISON, weight=late)
            self.assertIs(self._judge("new", _POISON), _Verdict.ADMITTED)
        self._crash("4", _POISON, weight=late)
        self.assertIs(self._judge("new", _POISON), _Verdict.QUARANTINED)

    def test_full_record_keeps_the_latest_crashes(self) -> None:
        # A burst must not fill the record of a part for good.
        self._prove(_POISON, _NOW_MS - 5.0)
        for _ in range(poison_requests.MAX_CRASHES):
            self._crash(_POISON)
        for number in range(1, 4):
            self._crash(_POISON, at_ms=_NOW_MS + 1_000.0 * number)
        self.assertIs(
            self._judge("new", _POISON, now_ms=_NOW_MS + 3_000.0),
            _Verdict.QUARANTINED,
        )


class CrashWeightTest(unittest.TestCase):
    def test_target_that_cannot_have_begun_to_answer_counts_nothing(
        self,
    ) -> None:
        weigh = poison_requests.weigh_part_crash
        self.assertEqual(weigh(5.0, 20.0, 1), 0.0)
        self.assertEqual(weigh(30.0, 20.0, 1), 1.0)
        # Six engines prefill six times as fast.
        self.assertEqual(weigh(600.0, 9_000.0, 1), 0.0)
        self.assertEqual(
            weigh(800.0, 9_000.0, 6), poison_requests.LATE_CRASH_WEIGHT
        )


class PartGossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one = poison_requests.PoisonRequests()
        self.other = poison_requests.PoisonRequests()

    def _tell(self, now_ms: float) -> set[str]:
        rows = [
            self.one.describe(each, now_ms) for each in self.one.rank(now_ms)
        ]
        return self.other.merge(rows, now_ms)

    def test_trial_keeps_requests_at_peers_back(self) -> None:
        self.one.note_crash(_POISON, _make_incarnation(0), 1.0, _NOW_MS)
        self._tell(_NOW_MS + 1.0)
        self.one.begin_trial([_POISON], _NOW_MS + 2.0)
        self._tell(_NOW_MS + 3.0)
        self.assertTrue(self.other.is_trial_running([_POISON], _NOW_MS + 4.0))
        self.assertFalse(
            self.other.is_trial_running([_POISON], _NOW_MS + 3_000.0)
        )

    def test_known_trial_is_no_news(self) -> None:
        self.one.note_crash(_POISON, _make_incarnation(0), 1.0, _NOW_MS)
        self.one.begin_trial([_POISON], _NOW_MS + 2.0)
        self.assertEqual(self._tell(_NOW_MS + 3.0), {_POISON})
        self.assertEqual(self._tell(_NOW_MS + 30.0), set())

    def test_peer_learns_that_a_part_proved_harmless(self) -> None:
        self.other.note_lasting(_SYSTEM, _NOW_MS - 5.0)
        self.one.note_crash(_SYSTEM, _make_incarnation(0), 1.0, _NOW_MS)
        row = self.one.describe(_SYSTEM, _NOW_MS)
        self.other.merge([row], _NOW_MS)
        self.assertTrue(self.other.lacks_proof(row))
        reply = self.other.describe(_SYSTEM, _NOW_MS)
        self.assertNotEqual(reply.completed_age_ms, messages.NEVER)
        self.one.merge([reply], _NOW_MS)
        # The crash came later than the proof, so it still counts.
        self.assertEqual(self.one.count_crashes(_SYSTEM, _NOW_MS), 1)
        self.assertFalse(
            self.other.lacks_proof(self.one.describe(_SYSTEM, _NOW_MS))
        )

    def test_rows_of_an_earlier_release_are_read(self) -> None:
        ended = messages.EndedIncarnation(_make_incarnation(0), 9.0, 1.0, 120)
        row = messages.PoisonReport(_POISON, (ended,), 5.0, 2.0)
        data = codec.encode(messages.PoisonReports("10.0.0.1:83", (row,)))
        tag, (sender, ((name, ((*crash, _),), completed_age_ms, _),)) = (
            msgpack.unpackb(data)
        )
        earlier = [tag, [sender, [[name, [crash], completed_age_ms]]]]
        self.assertEqual(
            codec.decode(msgpack.packb(earlier)).rows,
            (
                messages.PoisonReport(
                    _POISON,
                    (dataclasses.replace(ended, since_sent_ms=0),),
                    5.0,
                ),
            ),
        )

    def test_order_of_sending_survives_gossip(self) -> None:
        self.one.note_lasting(_POISON, _NOW_MS - 5.0)
        for number in range(4):
            at_ms = _NOW_MS + 200.0 * number
            self.one.note_crash(
                _POISON, _make_incarnation(number), 1.0, at_ms, 150.0
            )
        self._tell(_NOW_MS + 700.0)
        found = self.other.judge([_POISON], _NOW_MS + 700.0)
        self.assertIs(found.verdict, _Verdict.QUARANTINED)


if __name__ == "__main__":
    unittest.main()
