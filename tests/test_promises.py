"""What must always hold, under failure; each with its mechanism switched off.

A test named `..._without_...` shows the fault that the mechanism prevents: it
is the proof that the test beside it can fail.
"""

import dataclasses
import unittest
from unittest import mock

from ruddergate.agent import target_task
from ruddergate.decisions import retries
from ruddergate.entry import canceller
from ruddergate.fleet import listing as listings
from tests import virtual


class TimeLimitTest(unittest.TestCase):
    """Every admitted request finishes or fails within its time limit."""

    def check(self, lines: list) -> None:
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_engines_die(self) -> None:
        lines = virtual.requests(60, 50.0)
        lines += [virtual.fault(1_000, "kill", f"engine-{n}") for n in (1, 2)]
        self.check(lines)

    def test_all_engines_fall_silent(self) -> None:
        lines = virtual.requests(60, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual.fault(1_000, "pause", f"engine-{n}") for n in (1, 2, 3, 4)
        ]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])
        self.assertGreater(virtual.statuses(found)["failed"], 0)

    def test_an_entry_is_paused(self) -> None:
        lines = virtual.requests(60, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual.fault(1_000, "pause", "vm-1"),
            virtual.fault(40_000, "resume", "vm-1"),
        ]
        self.check(lines)

    def test_home_of_a_key_is_cut_off(self) -> None:
        lines = virtual.requests(30, 50.0, time_limit_ms=9_000.0)
        lines += virtual.requests(30, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual.fault(500, "cut", "vm-2"),
            virtual.fault(30_000, "heal", "vm-2"),
        ]
        self.check(lines)

    def test_queues_are_full(self) -> None:
        lines = virtual.requests(
            200, 10.0, prompt_tokens=30_000, time_limit_ms=12_000.0
        )
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])
        refused = [x for x in found.outcomes if x.status == "refused"]
        self.assertGreater(len(refused), 0)
        self.assertTrue(all(x.retry_after_ms for x in refused))


class MemoryTest(unittest.TestCase):
    """No engine loses memory for good."""

    lines = [
        *virtual.requests(40, 50.0, output_tokens=300, time_limit_ms=12_000.0),
        virtual.fault(1_200, "kill", "vm-1"),
    ]

    def test_swept_after_an_entry_died(self) -> None:
        found = virtual.play(self.lines)
        self.assertEqual(found.held_tokens, 0)

    def test_held_without_the_sweep(self) -> None:
        with mock.patch.object(target_task.Targets, "_sweep"):
            found = virtual.play(self.lines)
        self.assertGreater(found.held_tokens, 0)

    def test_freed_when_the_cancel_is_lost_at_first(self) -> None:
        lines = virtual.requests(40, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual.fault(600, "cut", "vm-1", "engine-1"),
            virtual.fault(20_000, "heal", "vm-1", "engine-1"),
        ]
        self.assertEqual(virtual.play(lines).held_tokens, 0)

    def test_gang_is_freed_when_its_entry_dies(self) -> None:
        lines = virtual.requests(
            2, 100.0, prompt_tokens=900_000, time_limit_ms=90_000.0
        )
        lines += [virtual.fault(8_000, "kill", f"vm-{n}") for n in (1, 2, 3)]
        self.assertEqual(virtual.play(lines).held_tokens, 0)

    def test_two_gangs_at_once_both_finish(self) -> None:
        lines = virtual.requests(
            2, 0.0, prompt_tokens=900_000, time_limit_ms=300_000.0
        )
        found = virtual.play(lines)
        self.assertEqual(virtual.statuses(found), {"finished": 2})
        self.assertEqual(found.held_tokens, 0)

    def test_paused_engine_comes_back(self) -> None:
        lines = virtual.requests(40, 50.0, time_limit_ms=9_000.0)
        lines += [
            virtual.fault(700, "pause", "engine-2"),
            virtual.fault(25_000, "resume", "engine-2"),
        ]
        self.assertEqual(virtual.play(lines).held_tokens, 0)

    def test_live_requests_of_a_cut_off_vm_are_not_swept(self) -> None:
        lines = virtual.requests(
            8, 10.0, output_tokens=900, time_limit_ms=60_000.0, vm="vm-1"
        )
        lines += [
            virtual.fault(1_000, "cut", "vm-1", "vm-2"),
            virtual.fault(1_000, "cut", "vm-1", "vm-3"),
            virtual.fault(1_000, "cut", "vm-1", "vm-4"),
            virtual.fault(1_000, "cut", "vm-1", "config"),
        ]
        found = virtual.play(lines)
        self.assertEqual(virtual.statuses(found), {"finished": 8})


class NotRunTest(unittest.TestCase):
    """When a caller is told its request was not run, it was not run."""

    def test_resets_around_the_dispatch(self) -> None:
        for at_ms in (990.0, 1_002.0, 1_011.0, 1_050.0):
            lines = virtual.requests(40, 50.0, repeatable=False)
            lines += [
                virtual.fault(at_ms, "kill", f"engine-{n}") for n in (1, 2, 3)
            ]
            found = virtual.play(lines)
            self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_lost_answers_are_unknown(self) -> None:
        lines = virtual.requests(
            30, 20.0, prompt_tokens=0, workload="dispatch", repeatable=False
        )
        lines += [
            virtual.fault(315, "kill", "service-1"),
            virtual.fault(322, "kill", "service-2"),
        ]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])
        self.assertEqual(
            {x.ran for x in found.outcomes if x.status == "failed"}, {"unknown"}
        )


class AtMostOnceTest(unittest.TestCase):
    """A request marked as not repeatable runs at most once."""

    def once(self, *offsets_ms: float, **fields: object) -> list:
        lines = []
        for offset_ms in offsets_ms:
            for line in virtual.requests(
                24, 50.0, repeatable=False, time_limit_ms=8_000.0, **fields
            ):
                at_ms = line.at_ms + offset_ms
                lines.append(dataclasses.replace(line, at_ms=at_ms))
        return lines

    def test_sent_to_two_entries_at_once(self) -> None:
        lines = self.once(0.0, 0.0)
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])
        self.assertEqual(virtual.statuses(found), {"finished": 48})

    def test_sent_again_after_its_home_died(self) -> None:
        lines = self.once(0.0, 9_000.0)
        lines += [virtual.fault(700, "kill", "vm-1")]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_sent_again_after_its_home_restarted(self) -> None:
        lines = self.once(0.0, 4_000.0, 20_000.0)
        for name in ("vm-1", "vm-3"):
            lines += [
                virtual.fault(700, "kill", name),
                virtual.fault(1_500, "resume", name),
            ]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_sent_again_across_a_cut_hall_and_a_stale_list(self) -> None:
        lines = self.once(0.0, 5_000.0, 30_000.0)
        lines += [
            virtual.fault(300, "stale", "config"),
            virtual.fault(600, "cut", "hall-2", "hall-1"),
            virtual.fault(700, "kill", "vm-2"),
            virtual.fault(25_000, "heal", "hall-2"),
            virtual.fault(26_000, "heal", "config"),
        ]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_home_wakes_after_a_minute(self) -> None:
        lines = self.once(0.0, 10_000.0, 62_000.0)
        lines += [
            virtual.fault(650, "pause", "vm-1"),
            virtual.fault(61_000, "resume", "vm-1"),
        ]
        found = virtual.play(lines)
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_runs_twice_without_the_key(self) -> None:
        lines = self.once(0.0, 0.0)
        with mock.patch.object(
            virtual.replay.Replay,
            "_make_outgoing",
            lambda self, request, now_ms: virtual.replay.caller.make_request(
                request,
                virtual.clusters.make_key(request.workspace),
                "",
                0.0,
            ),
        ):
            found = virtual.play(lines)
        self.assertIn("r0: ran 2 times", virtual.broken_promises(found, lines))

    def test_runs_twice_with_retries_of_what_may_have_run(self) -> None:
        lines = self.once(0.0, output_tokens=100)
        lines += [virtual.fault(800, "kill", "engine-1")]

        def always(ended: object, *rest: object) -> retries.RetryDelay:
            return retries.RetryDelay(10.0)

        with mock.patch.object(retries, "decide", always):
            found = virtual.play(lines)
        self.assertTrue(virtual.broken_promises(found, lines))


class LeavingTest(unittest.TestCase):
    """A target that is leaving gets no new work after a few seconds."""

    def late_executions(self, lines: list) -> int:
        """Returns runs on engine-1 of what was sent 6 s after it left."""
        cluster = mock.Mock()
        original = virtual.clusters.Cluster.count_executions

        def executions(self: virtual.clusters.Cluster) -> dict[str, int]:
            cluster.found = self
            return original(self)

        with mock.patch.object(
            virtual.clusters.Cluster, "count_executions", executions
        ):
            virtual.play(lines)
        late = {
            line.id
            for line in lines
            if line.at_ms > 7_000.0 and not hasattr(line, "fault")
        }
        runs = dict(cluster.found.all_targets)["engine-1"].executions
        return len(late & set(runs))

    def lines(self) -> list:
        return [
            *virtual.requests(100, 200.0, output_tokens=20),
            virtual.fault(1_000, "leave", "engine-1"),
        ]

    def test_list_lags(self) -> None:
        self.assertEqual(self.late_executions(self.lines()), 0)

    def test_list_is_stale_but_the_target_says_it_drains(self) -> None:
        lines = [*self.lines(), virtual.fault(900, "stale", "config")]
        self.assertEqual(self.late_executions(lines), 0)

    def test_vm_wakes_with_an_old_list(self) -> None:
        lines = [
            *self.lines(),
            virtual.fault(900, "pause", "vm-1"),
            virtual.fault(15_000, "resume", "vm-1"),
        ]
        self.assertEqual(self.late_executions(lines), 0)

    def test_hall_without_platform_reaches_the_target(self) -> None:
        lines = [
            *self.lines(),
            virtual.fault(900, "cut", "hall-1", "config"),
            virtual.fault(900, "cut", "hall-2", "config"),
        ]
        self.assertEqual(self.late_executions(lines), 0)

    def test_leaving_is_undone_without_being_sticky(self) -> None:
        target = mock.Mock(target_id="t", address="a", condition="leaving")
        old = listings.Listing(2, (), (target,))
        newer = dataclasses.replace(old, version=1)
        self.assertIs(listings.merge(old, newer), old)


class PlannedStopTest(unittest.TestCase):
    """A planned stop cuts off no request."""

    def rolling(self) -> list:
        lines = virtual.requests(160, 250.0, output_tokens=60)
        lines += virtual.requests(
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
            lines.append(virtual.fault(at_ms, "leave", name))
            lines.append(virtual.fault(at_ms + 7_000.0, "resume", name))
        return lines

    def test_all_vms_are_restarted_in_turn(self) -> None:
        lines = self.rolling()
        found = virtual.play(lines)
        self.assertEqual(virtual.statuses(found), {"finished": 200})
        self.assertEqual(virtual.broken_promises(found, lines), [])

    def test_requests_are_cut_off_without_the_wait(self) -> None:
        layout = dataclasses.replace(virtual.LAYOUT, stop_lag_ms=0.0)
        lines = self.rolling()
        lines = [
            dataclasses.replace(line, fault="kill")
            if getattr(line, "fault", "") == "leave"
            else line
            for line in lines
        ]
        found = virtual.play(lines, layout)
        self.assertGreater(virtual.statuses(found).get("failed", 0), 0)


class CancelTest(unittest.TestCase):
    """An engine given up gets its cancel."""

    def test_held_until_swept_without_cancels(self) -> None:
        lines = virtual.requests(20, 50.0, time_limit_ms=8_000.0)
        lines += [
            virtual.fault(300, "pause", "engine-1"),
            virtual.fault(12_000, "resume", "engine-1"),
        ]
        with (
            mock.patch.object(canceller.Canceller, "post"),
            mock.patch.object(target_task.Targets, "_sweep"),
        ):
            found = virtual.play(lines)
        self.assertGreater(found.held_tokens, 0)


if __name__ == "__main__":
    unittest.main()
