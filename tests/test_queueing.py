"""The order in which waiting requests are taken, and what is refused."""

import unittest

from ruddergate import outcomes
from ruddergate.decisions import queueing
from ruddergate.settings import effective

HIGH = effective.PriorityClass("high", 8, 0.0, 10_000.0)
LOW = effective.PriorityClass("low", 1, 20.0, 10_000.0)
LANE = queueing.Lane("pool", 0)


def make_job(name: str, **fields: object) -> queueing.Job:
    """Returns a job that costs 100 ms."""
    shape = {
        "priority": HIGH,
        "workspace": "w",
        "weight": 1.0,
        "lane": LANE,
        "cost_ms": 100.0,
        "unloaded_ms": 100.0,
        "deadline_ms": 60_000.0,
        **fields,
    }
    return queueing.Job(job_id=name, **shape)


def take_all(queue: queueing.Queue) -> list[str]:
    """Takes all jobs; returns their names in order."""
    names = []
    while (found := queue.take_next(0.0, set())) is not None:
        names.append(found.job_id)
    return names


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = queueing.Queue(lambda: 1.0)

    def offer(self, *jobs: queueing.Job) -> None:
        for each in jobs:
            self.assertIsNone(self.queue.offer(each, 0.0))

    def test_higher_class_goes_first_but_keeps_the_floor(self) -> None:
        self.offer(*(make_job(f"low{n}", priority=LOW) for n in range(20)))
        self.offer(*(make_job(f"high{n}") for n in range(40)))
        first = take_all(self.queue)[:30]
        low = sum(name.startswith("low") for name in first)
        self.assertEqual(low, 6)

    def test_without_a_floor_the_lower_class_waits(self) -> None:
        floorless = effective.PriorityClass("low", 1, 0.0, 10_000.0)
        self.offer(*(make_job(f"low{n}", priority=floorless) for n in range(5)))
        self.offer(*(make_job(f"high{n}") for n in range(20)))
        first = take_all(self.queue)[:20]
        self.assertTrue(all(name.startswith("high") for name in first))

    # Adding a job without a cost was taken for a removal, so later jobs of its
    # class were not found.
    def test_job_without_a_cost_counts(self) -> None:
        self.offer(make_job("free", cost_ms=0.0))
        self.assertEqual(take_all(self.queue), ["free"])
        self.offer(make_job("a"), make_job("b"))
        self.assertEqual(take_all(self.queue), ["a", "b"])

    def test_workspaces_share_by_weight_on_cost(self) -> None:
        self.offer(*(make_job(f"a{n}", workspace="a") for n in range(30)))
        self.offer(
            *(make_job(f"b{n}", workspace="b", weight=3.0) for n in range(30))
        )
        first = take_all(self.queue)[:24]
        self.assertEqual(sum(name[0] == "b" for name in first), 18)

    def test_closed_lane_does_not_block_others(self) -> None:
        long = queueing.Lane("pool", 4)
        self.offer(make_job("long", lane=long), make_job("short"))
        self.assertEqual(self.queue.take_next(0.0, {long}).job_id, "short")

    def test_requeued_job_is_next(self) -> None:
        self.offer(make_job("a"), make_job("b"))
        taken = self.queue.take_next(0.0, set())
        self.queue.requeue(taken, 0.0)
        self.assertEqual(take_all(self.queue), ["a", "b"])

    def test_removed_job_is_not_taken(self) -> None:
        waiting = make_job("a")
        self.offer(waiting, make_job("b"))
        self.assertTrue(self.queue.remove(waiting))
        self.assertFalse(self.queue.remove(waiting))
        self.assertEqual(take_all(self.queue), ["b"])


class RefusalTest(unittest.TestCase):
    def test_job_that_cannot_finish_in_time_is_refused_at_once(self) -> None:
        queue = queueing.Queue(lambda: 0.1)
        for number in range(5):
            queue.offer(make_job(str(number)), 0.0)
        refused = queue.offer(make_job("late", deadline_ms=1_000.0), 0.0)
        self.assertIs(refused.reason, outcomes.Reason.CANNOT_FINISH_IN_TIME)
        self.assertIs(refused.ran, outcomes.Ran.NOT_RUN)
        self.assertEqual(refused.retry_after_ms, 5_000.0)

    def test_waiting_long_prompts_do_not_count_for_short_ones(self) -> None:
        queue = queueing.Queue(lambda: 0.1)
        long_lane = queueing.Lane("pool", 4)
        queue.offer(make_job("a", lane=long_lane, cost_ms=9_000.0), 0.0)
        self.assertIsNone(queue.offer(make_job("s", deadline_ms=1_000.0), 0.0))

    def test_queue_is_bounded_in_cost(self) -> None:
        small = effective.PriorityClass("small", 1, 0.0, 250.0)
        queue = queueing.Queue(lambda: 1.0)
        refusals = [
            queue.offer(make_job(str(number), priority=small), 0.0)
            for number in range(4)
        ]
        self.assertEqual(refusals[:2], [None, None])
        self.assertIs(refusals[2].reason, outcomes.Reason.QUEUE_FULL)

    def test_jobs_that_can_no_longer_finish_are_removed(self) -> None:
        queue = queueing.Queue(lambda: 1.0)
        queue.offer(make_job("a", deadline_ms=150.0), 0.0)
        self.assertEqual(queue.remove_expired(40.0), [])
        self.assertEqual([x.job_id for x in queue.remove_expired(60.0)], ["a"])
        self.assertEqual(len(queue), 0)


class RetryAfterTest(unittest.TestCase):
    """Retry-After of refusals while targets can't be used for a moment.

    The rate at which a queue empties is 0 then. Dividing by almost nothing told
    callers to come back in 26 days.
    """

    def test_unknown_wait_is_no_reason_to_refuse(self) -> None:
        queue = queueing.Queue(lambda: 0.0)
        self.assertIsNone(queue.offer(make_job("first"), 0.0))
        self.assertIsNone(queue.offer(make_job("second"), 0.0))

    def test_full_queue_names_a_bounded_time(self) -> None:
        queue = queueing.Queue(lambda: 0.0)
        self.assertIsNone(queue.offer(make_job("first", cost_ms=9_999.0), 0.0))
        refusal = queue.offer(make_job("second"), 0.0)
        self.assertIs(refusal.reason, outcomes.Reason.QUEUE_FULL)
        self.assertLessEqual(refusal.retry_after_ms, 10_000.0)

    def test_long_wait_names_a_bounded_time(self) -> None:
        queue = queueing.Queue(lambda: 1e-5)
        self.assertIsNone(queue.offer(make_job("first"), 0.0))
        refusal = queue.offer(make_job("second"), 0.0)
        self.assertIs(refusal.reason, outcomes.Reason.CANNOT_FINISH_IN_TIME)
        self.assertLessEqual(refusal.retry_after_ms, 10_000.0)
