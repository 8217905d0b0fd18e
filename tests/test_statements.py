"""What targets say of themselves beside an answer's result."""

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


def _says_nothing(said) -> bool:
    return (
        said.backoff_ms is None
        and said.rate_limit_per_s is None
        and not (said.is_draining or said.problems)
    )


class RateLimitTest(unittest.TestCase):
    def test_any_answer_names_it(self) -> None:
        for status in (200, 202, 400, 409, 429, 500, 503, 504):
            for text, rate in (("1", 1.0), ("0.25", 0.25), ("0", 0.0)):
                said = _read(status, ("server-limit", text))
                self.assertEqual(said.rate_limit_per_s, rate)
                self.assertFalse(said.is_unlimited)
                self.assertEqual(said.problems, ())

    def test_answer_without_it_names_none(self) -> None:
        self.assertTrue(_read(200).is_unlimited)

    def test_the_lowest_of_several_holds(self) -> None:
        for rates in (["3", "2"], ["2, 3"], ["2", "soon"]):
            said = _read(200, *(("server-limit", each) for each in rates))
            self.assertEqual(said.rate_limit_per_s, 2.0)

    def test_large_rates_are_rates(self) -> None:
        self.assertEqual(
            _read(200, ("server-limit", "1e9")).rate_limit_per_s, 1e9
        )

    def test_malformed_rate_neither_names_nor_ends_a_limit(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e999", "+1", "1_0", "fast"):
            said = _read(200, ("server-limit", text))
            self.assertIsNone(said.rate_limit_per_s)
            self.assertFalse(said.is_unlimited)
            self.assertEqual(len(said.problems), 1)


class LeavingTest(unittest.TestCase):
    def test_any_answer_tells_it(self) -> None:
        for status in (200, 202, 400, 409, 429, 500, 503, 504):
            said = _read(status, ("server-leaving", "1"))
            self.assertTrue(said.is_draining)
            self.assertEqual(
                said.incarnation, incarnations.Incarnation("i-1", 5)
            )

    def test_another_target_at_the_address_tells_nothing(self) -> None:
        said = _read(421, ("server-leaving", "1"), ("server-limit", "1"))
        self.assertTrue(_says_nothing(said))
        self.assertFalse(said.is_unlimited)

    def test_an_answer_that_says_nothing_is_no_statement(self) -> None:
        for field in (
            ("x-replica-load", "1,0,8"),
            ("server-leaving", "0"),
            ("retry-after", "3"),
        ):
            self.assertTrue(_says_nothing(_read(200, field)))

    def test_one_sound_word_is_enough(self) -> None:
        for words in (["1", "1"], ["1, 1"], ["0", "1"], [" 1 "]):
            said = _read(200, *(("server-leaving", each) for each in words))
            self.assertTrue(said.is_draining)
            self.assertEqual(said.problems, ())

    def test_other_words_have_no_meaning(self) -> None:
        for word in ("", "2", "true", "01", "-1", "1.0", "\u0661"):
            said = _read(200, ("server-leaving", word))
            self.assertFalse(said.is_draining)
            self.assertEqual(len(said.problems), 1)

    def test_document_that_tells_the_start_tells_whose_word_it_is(self) -> None:
        said = _read(200, ("server-leaving", "1"), document={"born": 6})
        self.assertEqual(said.incarnation, incarnations.Incarnation("i-1", 6))
        for document in ({"born": "6"}, {"born": -6}, {"born": True}, [], None):
            said = _read(200, ("server-leaving", "1"), document=document)
            self.assertEqual(
                said.incarnation, incarnations.Incarnation("i-1", 5)
            )

    def test_name_stands_for_a_life_where_starts_are_not_known(self) -> None:
        said = hints.read_hints(
            _make_target(0), 200, (("server-leaving", "1"),), {"born": 6}
        )
        self.assertEqual(said.incarnation, incarnations.Incarnation("i-1", 0))


class QuietTest(unittest.TestCase):
    def test_refusals_tell_for_how_long(self) -> None:
        for status in (429, 503):
            for text, told_ms in (("2", 2_000.0), ("0.25", 250.0), ("0", 0.0)):
                said = _read(status, ("retry-after", text))
                self.assertEqual(said.backoff_ms, told_ms)
                self.assertEqual(said.problems, ())

    def test_the_longest_of_several_holds(self) -> None:
        said = _read(503, ("retry-after", "2"), ("retry-after", "3"))
        self.assertEqual(said.backoff_ms, 3_000.0)

    def test_what_is_no_time_is_none(self) -> None:
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
            said = _read(503, ("retry-after", text))
            self.assertIsNone(said.backoff_ms)
            self.assertEqual(len(said.problems), 1)

    def test_a_year_is_believed_for_an_hour(self) -> None:
        said = _read(503, ("retry-after", "31536000"))
        self.assertEqual(said.backoff_ms, 3_600_000.0)
        self.assertEqual(len(said.problems), 1)

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
    def test_whatever_stands_there_is_read_without_harm(
        self, status: int, fields: list[tuple[str, str]]
    ) -> None:
        said = _read(status, *fields)
        if said.backoff_ms is not None:
            self.assertTrue(math.isfinite(said.backoff_ms))
            self.assertGreaterEqual(said.backoff_ms, 0.0)
            self.assertLessEqual(said.backoff_ms, hints.MAX_BACKOFF_MS)
        for detail in said.problems:
            self.assertLess(len(detail), 100)
