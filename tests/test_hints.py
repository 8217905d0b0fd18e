"""Response hints: what targets report of themselves in response headers."""

import math
import unittest

import hypothesis
from hypothesis import strategies

from ruddergate import environment
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.platform import hints


def _make_target(started_ms: int = 5) -> targets.Target:
    return targets.Target(
        "i-1",
        "p",
        "h",
        environment.Address("i-1", 1),
        condition.Condition.LIVE,
        8,
        started_ms,
    )


def _read(status: int, *fields: tuple[str, str], document: object = None):
    return hints.read_hints(_make_target(), status, fields, document)


def _has_no_hints(parsed) -> bool:
    return (
        parsed.backoff_ms is None
        and parsed.rate_limit_per_s is None
        and not (parsed.is_draining or parsed.problems)
    )


class RateLimitHintTest(unittest.TestCase):
    def test_any_response_may_report_a_limit(self) -> None:
        for status in (200, 202, 400, 409, 429, 500, 503, 504):
            for text, rate in (("1", 1.0), ("0.25", 0.25), ("0", 0.0)):
                parsed = _read(status, ("server-limit", text))
                self.assertEqual(parsed.rate_limit_per_s, rate)
                self.assertFalse(parsed.is_unlimited)
                self.assertEqual(parsed.problems, ())

    def test_response_without_a_limit_is_unlimited(self) -> None:
        self.assertTrue(_read(200).is_unlimited)

    def test_lowest_of_several_limits_holds(self) -> None:
        for rates in (["3", "2"], ["2, 3"], ["2", "soon"]):
            parsed = _read(200, *(("server-limit", each) for each in rates))
            self.assertEqual(parsed.rate_limit_per_s, 2.0)

    def test_large_rates_are_accepted(self) -> None:
        self.assertEqual(
            _read(200, ("server-limit", "1e9")).rate_limit_per_s, 1e9
        )

    def test_malformed_rate_neither_sets_nor_ends_a_limit(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e999", "+1", "1_0", "fast"):
            parsed = _read(200, ("server-limit", text))
            self.assertIsNone(parsed.rate_limit_per_s)
            self.assertFalse(parsed.is_unlimited)
            self.assertEqual(len(parsed.problems), 1)


class DrainHintTest(unittest.TestCase):
    def test_any_response_may_report_a_drain(self) -> None:
        for status in (200, 202, 400, 409, 429, 500, 503, 504):
            parsed = _read(status, ("server-leaving", "1"))
            self.assertTrue(parsed.is_draining)
            self.assertEqual(
                parsed.incarnation, incarnations.Incarnation("i-1", 5)
            )

    def test_misdirected_response_has_no_hints(self) -> None:
        parsed = _read(421, ("server-leaving", "1"), ("server-limit", "1"))
        self.assertTrue(_has_no_hints(parsed))
        self.assertFalse(parsed.is_unlimited)

    def test_other_headers_are_no_hints(self) -> None:
        for field in (
            ("x-replica-load", "1,0,8"),
            ("server-leaving", "0"),
            ("retry-after", "3"),
        ):
            self.assertTrue(_has_no_hints(_read(200, field)))

    def test_one_valid_value_is_enough(self) -> None:
        for values in (["1", "1"], ["1, 1"], ["0", "1"], [" 1 "]):
            parsed = _read(200, *(("server-leaving", each) for each in values))
            self.assertTrue(parsed.is_draining)
            self.assertEqual(parsed.problems, ())

    def test_malformed_drain_hints_are_ignored(self) -> None:
        for value in ("", "2", "true", "01", "-1", "1.0", "\u0661"):
            parsed = _read(200, ("server-leaving", value))
            self.assertFalse(parsed.is_draining)
            self.assertEqual(len(parsed.problems), 1)

    def test_start_time_in_the_body_identifies_the_incarnation(self) -> None:
        parsed = _read(200, ("server-leaving", "1"), document={"born": 6})
        self.assertEqual(parsed.incarnation, incarnations.Incarnation("i-1", 6))
        for document in ({"born": "6"}, {"born": -6}, {"born": True}, [], None):
            parsed = _read(200, ("server-leaving", "1"), document=document)
            self.assertEqual(
                parsed.incarnation, incarnations.Incarnation("i-1", 5)
            )

    def test_name_identifies_the_incarnation_if_start_times_are_unknown(
        self,
    ) -> None:
        parsed = hints.read_hints(
            _make_target(0), 200, (("server-leaving", "1"),), {"born": 6}
        )
        self.assertEqual(parsed.incarnation, incarnations.Incarnation("i-1", 0))


class BackoffHintTest(unittest.TestCase):
    def test_refusals_may_report_a_backoff(self) -> None:
        for status in (429, 503):
            for text, expected_ms in (
                ("2", 2_000.0),
                ("0.25", 250.0),
                ("0", 0.0),
            ):
                parsed = _read(status, ("retry-after", text))
                self.assertEqual(parsed.backoff_ms, expected_ms)
                self.assertEqual(parsed.problems, ())

    def test_longest_of_several_backoffs_holds(self) -> None:
        parsed = _read(503, ("retry-after", "2"), ("retry-after", "3"))
        self.assertEqual(parsed.backoff_ms, 3_000.0)

    def test_malformed_backoffs_are_ignored(self) -> None:
        for text in (
            "",
            "-1",
            "nan",
            "inf",
            "1e9",
            "soon",
            "+1",
            "1_0",
            "Wed, 21 Oct 2026 07:28:00 GMT",
            "1,2",
        ):
            parsed = _read(503, ("retry-after", text))
            self.assertIsNone(parsed.backoff_ms)
            self.assertEqual(len(parsed.problems), 1)

    def test_backoff_is_capped_at_an_hour(self) -> None:
        parsed = _read(503, ("retry-after", "31536000"))
        self.assertEqual(parsed.backoff_ms, 3_600_000.0)
        self.assertEqual(len(parsed.problems), 1)

    @hypothesis.given(
        strategies.integers(100, 599),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["server-leaving", "retry-after", "x"]),
                strategies.text(max_size=60),
            ),
            max_size=6,
        ),
    )
    def test_arbitrary_headers_are_read_without_harm(
        self, status: int, fields: list[tuple[str, str]]
    ) -> None:
        parsed = _read(status, *fields)
        if parsed.backoff_ms is not None:
            self.assertTrue(math.isfinite(parsed.backoff_ms))
            self.assertGreaterEqual(parsed.backoff_ms, 0.0)
            self.assertLessEqual(parsed.backoff_ms, hints.MAX_BACKOFF_MS)
        for detail in parsed.problems:
            self.assertLess(len(detail), 100)
