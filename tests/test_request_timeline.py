"""Timelines of requests and sums of outcomes from the logs of several VMs."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from ruddergate.telemetry import outcome_summary
from ruddergate.telemetry import request_timeline


def _make_line(at: str, request_id: str, event: str, **inputs: object) -> str:
    document = {
        "at": at,
        "level": "INFO",
        "event": event,
        "part": "entry",
        "request_id": request_id,
        **inputs,
    }
    return json.dumps(document)


class RequestTimelineTest(unittest.TestCase):
    def test_lines_of_several_vms_in_order(self) -> None:
        one = [
            _make_line(
                "2026-01-01T00:00:03", "r1", "Request ended.", took_ms=9
            ),
            _make_line(
                "2026-01-01T00:00:01", "r1", "Attempt begins.", target="t"
            ),
            _make_line("2026-01-01T00:00:02", "r11", "Attempt begins."),
        ]
        two = [
            "  12.5 vm-2 "
            + _make_line("2026-01-01T00:00:02", "r1", "Refused."),
            "no log line at all, though it names r1 {",
        ]
        lines = request_timeline.collect_lines(
            "r1", [("vm-1", one), ("vm-2", two)]
        )
        self.assertEqual(
            [each.event for each in lines],
            ["Attempt begins.", "Refused.", "Request ended."],
        )
        self.assertIn("target=t", str(lines[0]))

    def test_command_prints_the_timeline(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "vm-1.log"
            path.write_text(_make_line("1", "r1", "Request ended.") + "\n")
            command = [
                sys.executable,
                "-c",
                "from ruddergate.cli import ctl; ctl.run()",
                "trace",
            ]
            found = subprocess.run(
                [*command, "r1", str(path)], capture_output=True, text=True
            )
            self.assertIn("Request ended.", found.stdout)
            missing = subprocess.run(
                [*command, "r2", str(path)], capture_output=True, text=True
            )
            self.assertEqual(missing.returncode, 2)
            self.assertIn("no log names request r2", missing.stderr)


class OutcomeSummaryTest(unittest.TestCase):
    def test_outcomes_are_summed_by_route_time_and_helpers(self) -> None:
        at = "2026-01-01T00:00:0"
        slos = {"aim_ms": 300.0, "gap_aim_ms": 200.0, "route": "ask"}
        ended = "Request ended: "
        finished = ended + "finished (ran). "
        lines = [
            _make_line(
                at + "1.000", "r1", "Attempt begins at t.", helpers=["u"]
            ),
            _make_line(
                at + "2.000",
                "r1",
                finished,
                first_ms=100,
                longest_pause_ms=90,
                **slos,
            ),
            _make_line(
                at + "2.100",
                "r2",
                finished,
                first_ms=400,
                longest_pause_ms=90,
                **slos,
            ),
            _make_line(
                at + "6.000",
                "r3",
                finished,
                first_ms=100,
                longest_pause_ms=250,
                **slos,
            ),
            _make_line(
                at + "6.200", "r4", ended + "target_lost (unknown).", **slos
            ),
            _make_line(at + "6.300", "r5", "Request refused: no_target. None."),
            "no log line: Request ended",
        ]
        outcomes = outcome_summary.read_outcomes([lines])
        self.assertEqual(
            [each.outcome for each in outcomes],
            [
                outcome_summary.IN_TIME,
                outcome_summary.LATE_FIRST,
                outcome_summary.LATE_PAUSE,
                "target_lost",
                "refused: no_target",
            ],
        )
        self.assertEqual(
            (outcomes[0].attempt_count, outcomes[0].helpers), (1, 1)
        )
        text = "\n".join(outcome_summary.render(outcomes))
        self.assertIn("ask                          4       1", text)
        self.assertIn("     4                       3       0", text)
        self.assertEqual(
            outcome_summary.render([]), ["no request ended in these logs"]
        )
