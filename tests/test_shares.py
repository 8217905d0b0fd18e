"""Shares of fleet-wide limits: their sum never exceeds the limit."""

import random
import unittest

from ruddergate.decisions import meter
from ruddergate.decisions import shares
from ruddergate.settings import effective


class BaseFractionTest(unittest.TestCase):
    def test_new_vm_has_no_share_until_all_others_have_replied(self) -> None:
        listed = {"a", "b", "c"}
        fraction = shares.base_fraction(listed, {"c"}, {"a"}, "c")
        self.assertEqual(fraction, 0.0)
        fraction = shares.base_fraction(listed, {"c"}, {"a", "b"}, "c")
        self.assertEqual(fraction, 1.0 / 3.0)

    def test_unlisted_vm_has_no_share(self) -> None:
        self.assertEqual(shares.base_fraction({"a"}, {"b"}, {"a"}, "b"), 0.0)

    def test_known_but_unlisted_vms_keep_their_share(self) -> None:
        fraction = shares.base_fraction({"a", "b"}, {"z"}, {"b"}, "a")
        self.assertEqual(fraction, 1.0 / 3.0)

    def test_hall_keeps_its_share_when_another_is_unlisted(self) -> None:
        self.assertEqual(shares.hall_fraction("h1", {}, {"h1", "h2"}), 0.5)
        self.assertEqual(shares.hall_fraction("h1", {"h1": 70}, {}), 0.7)


class LoanTest(unittest.TestCase):
    def test_sum_never_exceeds_the_whole(self) -> None:
        """VMs lend at random; replies come late or never."""
        for seed in range(200):
            self.check_random_loans(random.Random(seed))

    def check_random_loans(self, rng: random.Random) -> None:
        count = 4
        loan_books = [shares.LoanBook() for _ in range(count)]
        base = 1.0 / count
        for step in range(200):
            now_ms = step * 137.0
            borrower, lender = rng.sample(range(count), 2)
            delay_ms = rng.uniform(0.0, 900.0)
            lent = loan_books[lender].lend(
                "w",
                base,
                rng.uniform(0.0, base),
                rng.uniform(0.0, 0.4),
                shares.LOAN_VALID_MS,
                now_ms,
            )
            if rng.random() < 0.7:
                requested_ms = now_ms - delay_ms
                loan_books[borrower].borrow(
                    "w", lent, requested_ms, shares.LOAN_VALID_MS
                )
            total = sum(
                book.find_fraction("w", base, now_ms) for book in loan_books
            )
            self.assertLessEqual(total, 1.0 + 1e-9)

    def test_unused_share_is_lent(self) -> None:
        idle, busy = shares.LoanBook(), shares.LoanBook()
        lent = idle.lend("w", 0.5, 0.0, 0.4, 4_000.0, 0.0)
        busy.borrow("w", lent, 0.0, 4_000.0)
        self.assertEqual(busy.find_fraction("w", 0.5, 100.0), 0.75)
        self.assertEqual(idle.find_fraction("w", 0.5, 100.0), 0.25)
        self.assertEqual(busy.find_fraction("w", 0.5, 4_000.0), 0.5)
        self.assertEqual(idle.find_fraction("w", 0.5, 4_100.0), 0.25)

    def test_busy_vm_lends_nothing(self) -> None:
        book = shares.LoanBook()
        self.assertEqual(book.lend("w", 0.5, 0.45, 0.4, 4_000.0, 0.0), 0.0)


class MeterTest(unittest.TestCase):
    def test_rate_stays_below_the_share(self) -> None:
        limit = effective.Limit("w", 10.0, float("inf"))
        limit_meter = meter.Meter(0.0)
        started = 0
        for step in range(1_000):
            if limit_meter.start(limit, 0.5, step * 10.0) is None:
                started += 1
        self.assertLessEqual(started, 50 + 25)
        self.assertGreaterEqual(started, 49)

    def test_concurrency(self) -> None:
        limit = effective.Limit("w", float("inf"), 4)
        limit_meter = meter.Meter(0.0)
        started = [limit_meter.start(limit, 0.5, 0.0) for _ in range(3)]
        self.assertEqual(started[:2], [None, None])
        self.assertIsNotNone(started[2])
        limit_meter.end()
        self.assertIsNone(limit_meter.start(limit, 0.5, 0.0))
