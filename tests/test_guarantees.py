"""Guarantees under failure, each also with its mechanism switched off.

A test named `..._without_...` shows the fault that the mechanism prevents, and
thereby that the corresponding test can fail.
"""

import dataclasses
import unittest
from unittest import mock

from ruddergate.agent import target_task
from ruddergate.decisions import retries
from ruddergate.entry import canceller
from ruddergate.fleet import listing as listings
from tests import virtual_cluster


class TimeLimitTest(unittest.TestCase):
    """Every admitted request finishes or fails within its time limit."""

    def check_guarantees(self, lines: list) -> None:
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_engines_die(self) -> None:
        lines = virtual_cluster.make_requests(60, 50.0)
        lines += [
            virtual_cluster.make_fault(1_000, "kill", f"engine-{n}")
            for n in (1, 2)
        ]
        self.check_guarantees(lines)

    def test_all_engines_stop_responding(self) -> None:
        lines = virtual_cluster.make_requests(60, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual_cluster.make_fault(1_000, "pause", f"engine-{n}")
            for n in (1, 2, 3, 4)
        ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])
        self.assertGreater(virtual_cluster.count_statuses(found)["failed"], 0)

    def test_an_entry_is_paused(self) -> None:
        lines = virtual_cluster.make_requests(60, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual_cluster.make_fault(1_000, "pause", "vm-1"),
            virtual_cluster.make_fault(40_000, "resume", "vm-1"),
        ]
        self.check_guarantees(lines)

    def test_home_of_a_key_is_cut_off(self) -> None:
        lines = virtual_cluster.make_requests(30, 50.0, time_limit_ms=9_000.0)
        lines += virtual_cluster.make_requests(30, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual_cluster.make_fault(500, "cut", "vm-2"),
            virtual_cluster.make_fault(30_000, "heal", "vm-2"),
        ]
        self.check_guarantees(lines)

    def test_queues_are_full(self) -> None:
        lines = virtual_cluster.make_requests(
            200, 10.0, prompt_tokens=30_000, time_limit_ms=12_000.0
        )
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])
        refused = [x for x in found.outcomes if x.status == "refused"]
        self.assertGreater(len(refused), 0)
        self.assertTrue(all(x.retry_after_ms for x in refused))


class MemoryTest(unittest.TestCase):
    """Every reservation of an engine's memory is released in the end."""

    lines = [
        *virtual_cluster.make_requests(
            40, 50.0, output_tokens=300, time_limit_ms=12_000.0
        ),
        virtual_cluster.make_fault(1_200, "kill", "vm-1"),
    ]

    def test_swept_after_an_entry_died(self) -> None:
        found = virtual_cluster.replay_trace(self.lines)
        self.assertEqual(found.held_tokens, 0)

    def test_held_without_the_sweep(self) -> None:
        with mock.patch.object(target_task.TargetPoller, "_sweep"):
            found = virtual_cluster.replay_trace(self.lines)
        self.assertGreater(found.held_tokens, 0)

    def test_freed_when_the_cancel_is_lost_at_first(self) -> None:
        lines = virtual_cluster.make_requests(40, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual_cluster.make_fault(600, "cut", "vm-1", "engine-1"),
            virtual_cluster.make_fault(20_000, "heal", "vm-1", "engine-1"),
        ]
        self.assertEqual(virtual_cluster.replay_trace(lines).held_tokens, 0)

    def test_gang_is_freed_when_its_entry_dies(self) -> None:
        lines = virtual_cluster.make_requests(
            2, 100.0, prompt_tokens=900_000, time_limit_ms=90_000.0
        )
        lines += [
            virtual_cluster.make_fault(8_000, "kill", f"vm-{n}")
            for n in (1, 2, 3)
        ]
        self.assertEqual(virtual_cluster.replay_trace(lines).held_tokens, 0)

    def test_two_gangs_at_once_both_finish(self) -> None:
        lines = virtual_cluster.make_requests(
            2, 0.0, prompt_tokens=900_000, time_limit_ms=300_000.0
        )
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.count_statuses(found), {"finished": 2})
        self.assertEqual(found.held_tokens, 0)

    def test_paused_engine_resumes(self) -> None:
        lines = virtual_cluster.make_requests(40, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual_cluster.make_fault(700, "pause", "engine-2"),
            virtual_cluster.make_fault(25_000, "resume", "engine-2"),
        ]
        self.assertEqual(virtual_cluster.replay_trace(lines).held_tokens, 0)

    def test_live_requests_of_a_cut_off_vm_are_not_swept(self) -> None:
        lines = virtual_cluster.make_requests(
            8, 10.0, output_tokens=900, time_limit_ms=60_000.0, vm="vm-1"
        )
        lines += [
            virtual_cluster.make_fault(1_000, "cut", "vm-1", "vm-2"),
            virtual_cluster.make_fault(1_000, "cut", "vm-1", "vm-3"),
            virtual_cluster.make_fault(1_000, "cut", "vm-1", "vm-4"),
            virtual_cluster.make_fault(1_000, "cut", "vm-1", "config"),
        ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.count_statuses(found), {"finished": 8})


class NotRunTest(unittest.TestCase):
    """A request that is reported as `not_run` to its caller did not run."""

    def test_resets_around_the_dispatch(self) -> None:
        for at_ms in (990.0, 1_002.0, 1_011.0, 1_050.0):
            lines = virtual_cluster.make_requests(40, 50.0, repeatable=False)
            lines += [
                virtual_cluster.make_fault(at_ms, "kill", f"engine-{n}")
                for n in (1, 2, 3)
            ]
            found = virtual_cluster.replay_trace(lines)
            self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_lost_responses_are_reported_as_unknown(self) -> None:
        lines = virtual_cluster.make_requests(
            30, 20.0, prompt_tokens=0, workload="dispatch", repeatable=False
        )
        lines += [
            virtual_cluster.make_fault(315, "kill", "service-1"),
            virtual_cluster.make_fault(322, "kill", "service-2"),
        ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])
        self.assertEqual(
            {x.ran for x in found.outcomes if x.status == "failed"}, {"unknown"}
        )


class AtMostOnceTest(unittest.TestCase):
    """A request marked as not repeatable runs at most once."""

    def make_requests(self, *offsets_ms: float, **fields: object) -> list:
        lines = []
        for offset_ms in offsets_ms:
            for line in virtual_cluster.make_requests(
                24, 50.0, repeatable=False, time_limit_ms=8_000.0, **fields
            ):
                at_ms = line.at_ms + offset_ms
                lines.append(dataclasses.replace(line, at_ms=at_ms))
        return lines

    def test_sent_to_two_entries_at_once(self) -> None:
        lines = self.make_requests(0.0, 0.0)
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])
        self.assertEqual(
            virtual_cluster.count_statuses(found), {"finished": 48}
        )

    def test_sent_again_after_its_home_died(self) -> None:
        lines = self.make_requests(0.0, 9_000.0)
        lines += [virtual_cluster.make_fault(700, "kill", "vm-1")]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_sent_again_after_its_home_restarted(self) -> None:
        lines = self.make_requests(0.0, 4_000.0, 20_000.0)
        for name in ("vm-1", "vm-3"):
            lines += [
                virtual_cluster.make_fault(700, "kill", name),
                virtual_cluster.make_fault(1_500, "resume", name),
            ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_sent_again_across_a_cut_hall_and_a_stale_list(self) -> None:
        lines = self.make_requests(0.0, 5_000.0, 30_000.0)
        lines += [
            virtual_cluster.make_fault(300, "stale", "config"),
            virtual_cluster.make_fault(600, "cut", "hall-2", "hall-1"),
            virtual_cluster.make_fault(700, "kill", "vm-2"),
            virtual_cluster.make_fault(25_000, "heal", "hall-2"),
            virtual_cluster.make_fault(26_000, "heal", "config"),
        ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_home_resumes_after_a_minute(self) -> None:
        lines = self.make_requests(0.0, 10_000.0, 62_000.0)
        lines += [
            virtual_cluster.make_fault(650, "pause", "vm-1"),
            virtual_cluster.make_fault(61_000, "resume", "vm-1"),
        ]
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_runs_twice_without_the_idempotency_key(self) -> None:
        lines = self.make_requests(0.0, 0.0)
        with mock.patch.object(
            virtual_cluster.replay.Replay,
            "_make_outgoing",
            lambda self, request, now_ms: (
                virtual_cluster.replay.caller.make_request(
                    request,
                    virtual_cluster.clusters.make_key(request.workspace),
                    "",
                    0.0,
                )
            ),
        ):
            found = virtual_cluster.replay_trace(lines)
        self.assertIn(
            "r0: ran 2 times", virtual_cluster.find_violations(found, lines)
        )

    def test_runs_twice_with_retries_of_what_may_have_run(self) -> None:
        lines = self.make_requests(0.0, output_tokens=100)
        lines += [virtual_cluster.make_fault(800, "kill", "engine-1")]

        def always_retry(ended: object, *rest: object) -> retries.RetryDelay:
            return retries.RetryDelay(10.0)

        with mock.patch.object(retries, "decide", always_retry):
            found = virtual_cluster.replay_trace(lines)
        self.assertTrue(virtual_cluster.find_violations(found, lines))


class DrainTest(unittest.TestCase):
    """A draining target gets no new requests after a few seconds."""

    def count_late_executions(self, lines: list) -> int:
        """Counts what engine-1 ran of the requests sent 6 s after it drains."""
        captured = mock.Mock()
        original = virtual_cluster.clusters.Cluster.count_executions

        def executions(
            self: virtual_cluster.clusters.Cluster,
        ) -> dict[str, int]:
            captured.cluster = self
            return original(self)

        with mock.patch.object(
            virtual_cluster.clusters.Cluster, "count_executions", executions
        ):
            virtual_cluster.replay_trace(lines)
        late = {
            line.id
            for line in lines
            if line.at_ms > 7_000.0 and not hasattr(line, "fault")
        }
        runs = dict(captured.cluster.all_targets)["engine-1"].executions
        return len(late & set(runs))

    def lines(self) -> list:
        return [
            *virtual_cluster.make_requests(100, 200.0, output_tokens=20),
            virtual_cluster.make_fault(1_000, "leave", "engine-1"),
        ]

    def test_list_is_late(self) -> None:
        self.assertEqual(self.count_late_executions(self.lines()), 0)

    def test_list_is_stale_but_the_target_hints_that_it_drains(self) -> None:
        lines = [
            *self.lines(),
            virtual_cluster.make_fault(900, "stale", "config"),
        ]
        self.assertEqual(self.count_late_executions(lines), 0)

    def test_vm_resumes_with_an_old_list(self) -> None:
        lines = [
            *self.lines(),
            virtual_cluster.make_fault(900, "pause", "vm-1"),
            virtual_cluster.make_fault(15_000, "resume", "vm-1"),
        ]
        self.assertEqual(self.count_late_executions(lines), 0)

    def test_halls_are_cut_off_from_the_platform(self) -> None:
        lines = [
            *self.lines(),
            virtual_cluster.make_fault(900, "cut", "hall-1", "config"),
            virtual_cluster.make_fault(900, "cut", "hall-2", "config"),
        ]
        self.assertEqual(self.count_late_executions(lines), 0)

    def test_older_list_is_ignored(self) -> None:
        target = mock.Mock(target_id="t", address="a", condition="leaving")
        current = listings.Listing(2, (), (target,))
        older = dataclasses.replace(current, version=1)
        self.assertIs(listings.merge(current, older), current)


class PlannedStopTest(unittest.TestCase):
    """A planned stop interrupts no request."""

    def make_rolling_restart(self) -> list:
        lines = virtual_cluster.make_requests(160, 250.0, output_tokens=60)
        lines += virtual_cluster.make_requests(
            40, 1_000.0, prompt_tokens=0, workload="s", repeatable=False
        )
        names = [f"{line.id}{line.workload}" for line in lines]
        lines = [
            dataclasses.replace(line, id=name)
            for line, name in zip(lines, names, strict=True)
        ]
        for number in range(4):
            at_ms = 1_000.0 + number * 10_000.0
            name = f"vm-{number + 1}"
            lines.append(virtual_cluster.make_fault(at_ms, "leave", name))
            lines.append(
                virtual_cluster.make_fault(at_ms + 7_000.0, "resume", name)
            )
        return lines

    def test_all_vms_are_restarted_in_turn(self) -> None:
        lines = self.make_rolling_restart()
        found = virtual_cluster.replay_trace(lines)
        self.assertEqual(
            virtual_cluster.count_statuses(found), {"finished": 200}
        )
        self.assertEqual(virtual_cluster.find_violations(found, lines), [])

    def test_requests_are_cut_off_without_the_wait(self) -> None:
        layout = dataclasses.replace(virtual_cluster.LAYOUT, stop_lag_ms=0.0)
        lines = self.make_rolling_restart()
        lines = [
            dataclasses.replace(line, fault="kill")
            if getattr(line, "fault", "") == "leave"
            else line
            for line in lines
        ]
        found = virtual_cluster.replay_trace(lines, layout)
        self.assertGreater(
            virtual_cluster.count_statuses(found).get("failed", 0), 0
        )


class CancelTest(unittest.TestCase):
    """An engine whose attempt was abandoned gets a cancel."""

    def test_held_until_swept_without_cancels(self) -> None:
        lines = virtual_cluster.make_requests(20, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual_cluster.make_fault(300, "pause", "engine-1"),
            virtual_cluster.make_fault(12_000, "resume", "engine-1"),
        ]
        with (
            mock.patch.object(canceller.Canceller, "post"),
            mock.patch.object(target_task.TargetPoller, "_sweep"),
        ):
            found = virtual_cluster.replay_trace(lines)
        self.assertGreater(found.held_tokens, 0)


if __name__ == "__main__":
    unittest.main()
