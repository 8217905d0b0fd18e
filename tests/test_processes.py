"""Real processes on loopback; the tests assert outcomes, never times."""

import concurrent.futures
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from ruddergate.experiments import outcome
from ruddergate.experiments import trace
from standins import _private
from standins import answers
from standins import processes

_TREE = (
    pathlib.Path(__file__).parent.parent
    / "examples"
    / "stanovanjski-signal.json"
)


def _make_headers(workload: str) -> dict[str, str]:
    return {
        "authorization": "Bearer demo-bezigrad",
        "ruddergate-workload": workload,
    }


def _complete(port: int, prompt: str, **fields: object) -> processes.Reply:
    document = {"prompt": prompt, "max_tokens": 8, **fields}
    body = json.dumps(document).encode()
    path = "/v1/completions"
    return processes.send_request(
        port, "POST", path, _make_headers("repairs"), body
    )


def _run_program(program: str, *arguments: str) -> tuple[int, str]:
    """Runs a program; returns its exit status and what it printed."""
    path = pathlib.Path(sys.executable).with_name(program)
    completed = subprocess.run(
        [str(path), *arguments], capture_output=True, text=True, check=False
    )
    return completed.returncode, completed.stdout + completed.stderr


class EndToEndTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = processes.Processes(_TREE)
        cls.addClassCleanup(cls.cluster.close)
        pools = {f"engine-{n}": "model-pool" for n in (1, 2, 3)}
        vms = {"vm-1": "hall-bezigrad", "vm-2": "hall-vic"}
        cls.cluster.start_platform({**pools, "service-1": "estate-app"}, vms)
        for name in vms:
            cls.cluster.start_vm(name, stop_lag_ms="100")
        cls.cluster.wait_ready()

    def test_plain_response_is_complete(self) -> None:
        reply = _complete(self.cluster.entries["vm-1"], "a tap drips")
        self.assertEqual(reply.status, 200)
        text = reply.json()["choices"][0]["text"]
        self.assertEqual(text, answers.make_answer("a tap drips", 8))

    def test_streamed_response_is_complete(self) -> None:
        reply = _complete(
            self.cluster.entries["vm-2"], "no heating", stream=True
        )
        self.assertTrue(reply.body.endswith(b"data: [DONE]\n\n"), reply)

    def test_service_responds(self) -> None:
        reply = processes.send_request(
            self.cluster.entries["vm-2"],
            "POST",
            "/services/plumbers/dispatch",
            _make_headers("plumbers"),
            b"flat 12",
        )
        expected = answers.make_service_answer("flat 12")
        self.assertEqual(reply.json(), {"answer": expected})

    def test_ctl_replays_a_trace_and_shows_the_status(self) -> None:
        lines = [
            trace.TracedRequest(0.0, "r1", "vic", "repairs", 900, 5),
            trace.TracedRequest(50.0, "r2", "vic", "plumbers"),
            trace.TracedFault(60.0, "kill", "engine-1"),
        ]
        ports = self.cluster.entries.values()
        entries = ",".join(f"127.0.0.1:{port}" for port in ports)
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            trace.write_trace(folder / "t.jsonl", lines)
            status, text = _run_program(
                "ruddergatectl",
                "replay",
                str(folder / "t.jsonl"),
                f"--entry={entries}",
                f"--out={folder}",
            )
            found = outcome.read_outcomes(folder / "outcomes.jsonl")
        self.assertEqual(status, 0, text)
        self.assertIn("1 fault lines skipped", text)
        self.assertEqual([x.status for x in found], ["finished"] * 2)
        first = entries.partition(",")[0]
        status, text = _run_program("ruddergatectl", "status", first)
        self.assertEqual(status, 0)
        self.assertIn("engine-1", text)


class AgentStatusTest(unittest.TestCase):
    def test_agent_serves_status_and_metrics(self) -> None:
        cluster = processes.Processes(_TREE)
        self.addCleanup(cluster.close)
        cluster.start_platform(
            {"service-1": "estate-app"}, {"vm-1": "hall-vic"}
        )
        port = _private.find_free_port()
        cluster.start_agent("vm-1", status_listen=f"127.0.0.1:{port}")
        cluster.start_entry("vm-1")
        cluster.wait_ready()
        status = processes.send_request(port, "GET", "/status").json()
        self.assertEqual(status["revision"], 1)
        self.assertEqual(status["live_in_hall"], ["vm-1"])
        page = processes.send_request(port, "GET", "/metrics").body
        self.assertIn(b"ruddergate_platform_calls_total", page)


class FailureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = processes.Processes(_TREE)
        self.addCleanup(self.cluster.close)
        pools = {f"engine-{n}": "model-pool" for n in (1, 2)}
        vms = {"vm-1": "hall-bezigrad", "vm-2": "hall-vic"}
        self.cluster.start_platform({**pools, "service-1": "estate-app"}, vms)
        for name in vms:
            self.cluster.start_vm(name, stop_lag_ms="100")
        self.cluster.wait_ready()

    def complete_in_background(
        self, prompt: str, tokens: int
    ) -> concurrent.futures.Future:
        pool = concurrent.futures.ThreadPoolExecutor(1)
        self.addCleanup(pool.shutdown)
        port = self.cluster.entries["vm-1"]
        return pool.submit(
            _complete, port, prompt, max_tokens=tokens, stream=True
        )

    def wait_for_stream(self) -> None:
        """Waits until vm-1 has a stream on a target."""
        for _ in range(1_000):
            port = self.cluster.entries["vm-1"]
            status = processes.send_request(port, "GET", "/status").json()
            if any(row["streams"] for row in status["targets"]):
                return
        self.fail("vm-1 has no stream on a target")

    def test_planned_stop_finishes_the_stream(self) -> None:
        streaming = self.complete_in_background("a pipe has burst", 60)
        self.wait_for_stream()
        self.cluster.signal("entry vm-1", signal.SIGTERM)
        reply = streaming.result()
        self.assertTrue(reply.body.endswith(b"data: [DONE]\n\n"), reply)
        self.assertEqual(self.cluster.wait("entry vm-1"), 0)

    def test_paused_entry_continues_when_resumed(self) -> None:
        streaming = self.complete_in_background("no hot water", 40)
        self.wait_for_stream()
        self.cluster.signal("entry vm-1", signal.SIGSTOP)
        other = _complete(self.cluster.entries["vm-2"], "meanwhile")
        self.assertEqual(other.status, 200)
        self.cluster.signal("entry vm-1", signal.SIGCONT)
        self.assertTrue(streaming.result().body.endswith(b"[DONE]\n\n"))

    def test_entry_serves_without_its_agent(self) -> None:
        self.cluster.signal("agent vm-1", signal.SIGKILL)
        self.cluster.wait("agent vm-1")
        reply = _complete(self.cluster.entries["vm-1"], "the lift is stuck")
        self.assertEqual(reply.status, 200)

    def test_other_entry_serves_after_one_is_killed(self) -> None:
        streaming = self.complete_in_background("smoke in the cellar", 400)
        self.wait_for_stream()
        self.cluster.signal("entry vm-1", signal.SIGKILL)
        self.assertFalse(streaming.result().body.endswith(b"[DONE]\n\n"))
        reply = _complete(self.cluster.entries["vm-2"], "still there")
        self.assertEqual(reply.status, 200)


class CommandLineTest(unittest.TestCase):
    def test_invalid_option_prints_one_line_and_exits_with_2(self) -> None:
        valid = {
            "--vm-id": "a",
            "--hall": "h",
            "--listen": "127.0.0.1:1",
            "--peer-listen": "127.0.0.1:2",
            "--agent": "127.0.0.1:3",
            "--peer-key": "0123456789abcdef",
        }
        invalid = [
            ("--listen", "nowhere"),
            ("--peer-key", "short"),
            ("--policy", "fastest"),
            ("--stop-lag-ms", "-1"),
            ("--colour", "red"),
        ]
        for name, value in invalid:
            with self.subTest(name):
                settings = {**valid, name: value}
                pairs = [f"{key}={each}" for key, each in settings.items()]
                status, text = _run_program("ruddergate-entry", *pairs)
                self.assertEqual(status, 2)
                self.assertEqual(text.count("\n"), 1, text)

    def test_check_and_explain(self) -> None:
        status, _ = _run_program("ruddergatectl", "check", str(_TREE))
        self.assertEqual(status, 0)
        status, text = _run_program(
            "ruddergatectl", "explain", str(_TREE), "vic/repairs"
        )
        self.assertEqual(status, 0)
        self.assertIn("urgent", text)

    def test_invalid_gateway_option_prints_one_line(self) -> None:
        valid = {
            "--vm-id": "vm-1",
            "--hall": "hall-vic",
            "--listen": "127.0.0.1:1",
            "--ready-listen": "127.0.0.1:1",
            "--metrics-listen": "127.0.0.1:1",
            "--peer-listen": "127.0.0.1:1",
            "--store-address": "127.0.0.1:1",
        }
        for name, value in (
            ("--strict-revoke", "maybe"),
            ("--strict-revoke", "False"),
            ("--revoke-ms", "soon"),
        ):
            with self.subTest(f"{name} {value}"):
                options = {**valid, name: value}
                pairs = [part for pair in options.items() for part in pair]
                status, text = _run_program("ruddergate-gateway", *pairs)
                self.assertEqual(status, 2, text)
                self.assertEqual(len(text.splitlines()), 1, text)
                self.assertIn(value, text)
