"""Planned stops of gateways whose pools are full.

Guards against requests that a stop ends without an answer: they waited for a
place, or between two attempts, and their connections ended with the process.
And against a judge that is narrower than the rule: it passed over requests that
were never passed on.
"""

from collections.abc import Iterable
import unittest

import loguru

from standins import gateway_caller
from standins import kept_connection
from standins import loaded_stops
from standins import platform_replica
from standins import schedule_runner
from standins import stop_judge

_FIRST_SEED = 82
_SCHEDULES = 6
# Requests wait for their first place as the process ends.
_WAITING_SEEDS = (75, 109)
# Requests wait for another place as the process ends, since an engine crashed,
# refused them or refused them memory.
_RETRIED_SEEDS = (160, 292, 319)
# Engines hold requests without running them as the process ends.
_HELD_SEEDS = (35, 49)
_ABLATION_SEEDS = (1, 2, 4)
# Killed so early, a gateway can't answer what waits for a place.
_ABLATION_KILLED_S = 0.5
_SIGNAL_S = 100.0
_TIMEOUT_MS = 15_000.0
_CUT = kept_connection.Answer(0, False, True)
_CUT_IN_MID_STREAM = kept_connection.Answer(200, False, True)


class LoadedStopsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_no_schedule_breaks_a_rule(self) -> None:
        status = schedule_runner.run_all(
            loaded_stops.run_schedule, _FIRST_SEED, _SCHEDULES, jobs=2
        )
        self.assertEqual(status, 0)

    def test_no_request_waits_to_the_end_without_an_answer(self) -> None:
        self._check(_WAITING_SEEDS)

    def test_no_request_waits_for_a_retry_without_an_answer(self) -> None:
        self._check(_RETRIED_SEEDS)

    def test_no_request_that_a_silent_engine_holds_lacks_an_answer(
        self,
    ) -> None:
        self._check(_HELD_SEEDS)

    def test_check_finds_cut_requests_that_were_never_passed_on(self) -> None:
        for seed in _ABLATION_SEEDS:
            with self.subTest(seed):
                result = loaded_stops.run_schedule(seed, _ABLATION_KILLED_S)
                found = [
                    each
                    for each in result.broken
                    if stop_judge.Loss.NOT_PASSED_ON.value in each
                ]
                self.assertNotEqual(found, [])

    def _check(self, seeds: Iterable[int]) -> None:
        broken = {
            seed: loaded_stops.run_schedule(seed).broken for seed in seeds
        }
        self.assertEqual(broken, {seed: [] for seed in seeds})


class StopJudgeTest(unittest.TestCase):
    """Each line of the rule; times are in seconds from the signal."""

    def _find_loss(
        self,
        *works: platform_replica.Work,
        sent_s: float = 1.0,
        ended_s: float = 7.6,
        answer: kept_connection.Answer = _CUT,
        time_limit_ms: float = 15_000.0,
    ) -> stop_judge.Loss:
        call = gateway_caller.Call(
            "a1", "long", "vm-0", 1_000, 100, time_limit_ms=time_limit_ms
        )
        exchange = stop_judge.Exchange(
            call,
            True,
            _SIGNAL_S + sent_s,
            _SIGNAL_S + sent_s,
            _SIGNAL_S + ended_s,
            answer,
        )
        return stop_judge.find_loss(exchange, _SIGNAL_S, works, _TIMEOUT_MS)

    def _check(
        self,
        loss: stop_judge.Loss,
        expected: stop_judge.Loss,
        is_violation: bool,
    ) -> None:
        self.assertIs(loss, expected)
        self.assertEqual(loss.is_violation(), is_violation)

    def test_request_that_crosses_the_close(self) -> None:
        loss = self._find_loss(sent_s=7.45)
        self._check(loss, stop_judge.Loss.CROSSED, False)

    def test_request_that_waited_longer_than_the_slack(self) -> None:
        loss = self._find_loss(sent_s=7.35)
        self._check(loss, stop_judge.Loss.NOT_PASSED_ON, True)

    def test_request_that_was_passed_on_has_no_slack(self) -> None:
        work = _make_work(began_s=7.5)
        loss = self._find_loss(work, sent_s=7.45)
        self._check(loss, stop_judge.Loss.SENT_LATE, True)

    def test_deadline_that_was_reached(self) -> None:
        loss = self._find_loss(time_limit_ms=6_600.0)
        self._check(loss, stop_judge.Loss.LATE, False)
        loss = self._find_loss(time_limit_ms=6_700.0)
        self._check(loss, stop_judge.Loss.NOT_PASSED_ON, True)

    def test_timeout_of_the_route_that_was_reached(self) -> None:
        loss = self._find_loss(sent_s=-7.4, time_limit_ms=60_000.0)
        self._check(loss, stop_judge.Loss.LATE, False)

    def test_replica_that_was_at_work_in_the_last_sixth(self) -> None:
        for answer in (_CUT, _CUT_IN_MID_STREAM):
            work = _make_work(began_s=1.1)
            loss = self._find_loss(work, answer=answer)
            self._check(loss, stop_judge.Loss.AT_WORK, False)

    def test_replica_at_work_on_a_request_sent_late(self) -> None:
        loss = self._find_loss(_make_work(began_s=3.1), sent_s=3.0)
        self._check(loss, stop_judge.Loss.AT_WORK, False)
        loss = self._find_loss(_make_work(began_s=3.2), sent_s=3.1)
        self._check(loss, stop_judge.Loss.SENT_LATE, True)

    def test_replica_at_work_on_a_request_that_was_cut_earlier(self) -> None:
        loss = self._find_loss(_make_work(began_s=1.1), ended_s=6.6)
        self._check(loss, stop_judge.Loss.NOT_AT_WORK, True)

    def test_replica_that_had_ended_before_the_last_sixth(self) -> None:
        work = _make_work(began_s=1.1, ended_s=6.6)
        loss = self._find_loss(work, answer=_CUT_IN_MID_STREAM)
        self._check(loss, stop_judge.Loss.UNDELIVERED, True)

    def test_replica_that_holds_a_request_is_not_at_work(self) -> None:
        loss = self._find_loss(_make_work())
        self._check(loss, stop_judge.Loss.NOT_BEGUN, True)

    def test_request_that_waits_after_a_replica_refused_it(self) -> None:
        loss = self._find_loss(_make_work(ended_s=1.2))
        self._check(loss, stop_judge.Loss.BETWEEN_ATTEMPTS, True)

    def test_replica_that_broke_off_as_the_request_was_cut(self) -> None:
        work = _make_work(began_s=1.1, broke_off_s=5.0)
        loss = self._find_loss(work, ended_s=5.1)
        self._check(loss, stop_judge.Loss.BROKEN_OFF, False)

    def test_replica_that_broke_off_long_before(self) -> None:
        work = _make_work(began_s=1.1, broke_off_s=5.0)
        loss = self._find_loss(work)
        self._check(loss, stop_judge.Loss.BETWEEN_ATTEMPTS, True)

    def test_stream_that_broke_off_and_waits_to_be_resumed(self) -> None:
        work = _make_work(began_s=1.1, broke_off_s=5.0)
        loss = self._find_loss(work, answer=_CUT_IN_MID_STREAM)
        self._check(loss, stop_judge.Loss.RESUMING, False)

    def test_replica_that_crashed_as_the_request_was_cut(self) -> None:
        work = _make_work(began_s=1.1)
        work.replica.crashed_s = _SIGNAL_S + 5.0
        loss = self._find_loss(work, ended_s=5.1)
        self._check(loss, stop_judge.Loss.BROKEN_OFF, False)

    def test_complete_answer(self) -> None:
        answer = kept_connection.Answer(502, True, True)
        loss = self._find_loss(answer=answer)
        self._check(loss, stop_judge.Loss.NONE, False)


def _make_work(
    began_s: float = float("inf"),
    ended_s: float = float("inf"),
    broke_off_s: float = float("inf"),
) -> platform_replica.Work:
    """Returns work on a request; times are in seconds from the signal."""
    replica = platform_replica.PlatformReplica("engine-0.1", None, None, {})
    work = platform_replica.Work("a1", replica, _SIGNAL_S + 1.0)
    work.began_s = _SIGNAL_S + began_s
    work.ended_s = _SIGNAL_S + min(ended_s, broke_off_s)
    work.broke_off_s = _SIGNAL_S + broke_off_s
    return work
