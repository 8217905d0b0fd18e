"""Replays: the same seed gives the same bytes; expectations are checked."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import orjson

from ruddergate.experiments import expectation
from ruddergate.experiments import plots
from ruddergate.experiments import trace
from ruddergate.telemetry import metrics

_TOP = pathlib.Path(__file__).parent.parent


def _write_trace(path: pathlib.Path) -> None:
    lines: list[trace.Line] = [
        trace.TracedRequest(
            number * 40.0, f"r{number}", "w", "a", 1_500 + number, 20
        )
        for number in range(30)
    ]
    lines.append(trace.TracedFault(300.0, "kill", "engine-1"))
    lines.append(trace.TracedFault(500.0, "pause", "vm-2"))
    lines.append(trace.TracedFault(2_500.0, "resume", "vm-2"))
    trace.write_trace(path, lines)


class ReplayTest(unittest.TestCase):
    def replay(self, folder: pathlib.Path, hash_seed: str) -> list[bytes]:
        out = folder / hash_seed
        command = [sys.executable, "-m", "standins.replay"]
        sizes = ["--vms=3", "--halls=2", "--engines=3", "--services=1"]
        subprocess.run(
            [*command, str(folder / "t.jsonl"), f"--out={out}", *sizes],
            check=True,
            cwd=_TOP,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            stdout=subprocess.DEVNULL,
        )
        names = ("outcomes.jsonl", "summary.json")
        return [(out / name).read_bytes() for name in names]

    def test_same_seed_same_bytes(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            _write_trace(folder / "t.jsonl")
            first = self.replay(folder, "1")
            self.assertEqual(first, self.replay(folder, "2"))
            self.assertIn(b'"finished"', first[0])


class TraceTest(unittest.TestCase):
    def read(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / "t.jsonl"
            path.write_text(text)
            return trace.read_trace(path)

    def test_lines_are_put_in_order(self) -> None:
        late = '{"at_ms":9,"fault":"kill","on":"vm-1"}\n'
        early = '{"at_ms":1,"id":"r","workspace":"w","workload":"a","x":1}\n'
        found = self.read(late + early)
        self.assertEqual([line.at_ms for line in found], [1.0, 9.0])

    def test_invalid_lines_are_reported_with_their_number(self) -> None:
        for text in ("{", "[]", '{"at_ms":1,"fault":"melt"}', '{"at_ms":1}'):
            found = self.read("\n" + text)
            self.assertIsInstance(found, trace.MalformedLine)
            self.assertEqual(found.number, 2)


class ExpectationTest(unittest.TestCase):
    def test_bounds_hold_or_fail(self) -> None:
        summary = {"a": {"b": 3}, "c": None}
        bounds = {
            "a.b": {"least": 1, "most": 3},
            "a.x": {"most": 1},
            "c": {"most": 1},
        }
        found = expectation.check(bounds, summary)
        self.assertEqual([x.is_met for x in found], [True, False, False])


class BucketTest(unittest.TestCase):
    def test_lengths(self) -> None:
        names = [metrics.length_bucket(x) for x in (1, 1_025, 300_000)]
        self.assertEqual(names, ["1k", "4k", "1M"])


class ReportTest(unittest.TestCase):
    def test_table_and_plots(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            row = {"finished": 3, "ttft_p95_ms": 20.0}
            summary = {
                "trace": "t",
                "policy": "by_length",
                "all": row,
                "by_length": {"1k": row},
                "short_slowdown_p99": 1.1,
            }
            (folder / "summary.json").write_bytes(orjson.dumps(summary))
            text = plots.write_report([folder], folder / "out")
            self.assertIn("by_length", text)
            written = {path.name for path in (folder / "out").iterdir()}
            self.assertIn("report.txt", written)
