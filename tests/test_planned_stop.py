"""Planned stops with kept connections.

Guards against requests that a gateway took late in its stop and then cut: an
answer whose head had been sent before the stop did not end its connection, and
the next request on it was read up to the moment of the exit. A gateway that was
suspended as the signal came took what it had no time to answer, since it
counted its time from when it resumed.
"""

import asyncio
from collections.abc import Iterable
import unittest
from unittest import mock

import loguru

from ruddergate import environment
from ruddergate import stop_signal
from ruddergate.entry import planned_stop
from ruddergate.entry import stop_admission
from standins import gateway_caller
from standins import gateway_cluster
from standins import kept_connection
from standins import schedule_runner
from standins import stop_schedules
from standins import virtual_process
from tests import gateway_fixture

_ADDRESS = environment.Address("vm-0", gateway_cluster.FRONT_PORT)
# The second phase of the stop begins after 2.6 s.
_SECOND_PHASE_S = 3.0
_SUSPENDED_S = 1.5
_SCHEDULES = 200
_ABLATION_SEEDS = range(1, 13)
# A signal comes in a suspension. A stop that counts its time from the end of
# the suspension cuts requests in some of them.
_SUSPENDED_SEEDS = (109, 1029, 1141, 1273, 1460, 1721)
_ABLATION_SUSPENDED_SEEDS = (1141, 1273)


class _KeptCaller:
    """A caller with one connection to vm-0."""

    def __init__(self, fixture: gateway_fixture.Fixture) -> None:
        self._process = virtual_process.VirtualProcess("kept", "")
        self._env = fixture.cluster.network.make_environment(self._process, 1)
        self._connection: kept_connection.KeptConnection | None = None

    async def connect(self) -> None:
        streams = await self._env.connect(_ADDRESS)
        self._connection = kept_connection.KeptConnection(*streams)

    async def send(
        self, call: gateway_caller.Call, pause_s: float = 0.0
    ) -> kept_connection.Answer:
        """Sends a request, its last byte after a pause."""
        request = gateway_caller.make_request(call)
        data = self._connection.encode(request, _ADDRESS)
        if pause_s:
            self._connection.write_part(data[:-1])
            await asyncio.sleep(pause_s)
            data = data[-1:]
        self._connection.write_part(data)
        return await self._connection.read_answer()


class PlannedStopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_connection_ends_with_a_response_that_outlasts_the_stop(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            caller = _KeptCaller(fixture)
            await caller.connect()
            stream = gateway_caller.Call(
                "a1", "short", "vm-0", 2_000, output_tokens=5_000
            )
            first = asyncio.ensure_future(caller.send(stream))
            await asyncio.sleep(0.5)
            fixture.cluster.vms["vm-0"].stop.set()
            answer = await first
            self.assertEqual((answer.is_complete, answer.closes), (True, False))
            later = await caller.send(
                gateway_caller.Call("a2", "unsafe", "vm-0")
            )
            self.assertEqual(later.status, 0)
            runs = [
                run.request_id
                for replica in fixture.cluster.all_replicas
                for run in replica.runs
            ]
            self.assertEqual(runs, ["a1"])

        gateway_fixture.run_scenario(scenario, vms=2, halls=1)

    def _send_body_during_stop(
        self, route: str, time_limit_ms: float
    ) -> kept_connection.Answer:
        answers = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            caller = _KeptCaller(fixture)
            await caller.connect()
            call = gateway_caller.Call(
                "a1", route, "vm-0", 2_000, 100, time_limit_ms=time_limit_ms
            )
            sending = asyncio.ensure_future(
                caller.send(call, pause_s=_SECOND_PHASE_S)
            )
            await asyncio.sleep(0.1)
            fixture.cluster.vms["vm-0"].stop.set()
            answers.append(await sending)

        gateway_fixture.run_scenario(scenario, vms=2, halls=1)
        return answers[0]

    def test_body_that_arrives_late_is_served_if_there_is_time(self) -> None:
        answer = self._send_body_during_stop("short", 5_000.0)
        self.assertEqual((answer.status, answer.closes), (200, True))

    def test_body_that_arrives_too_late_is_refused(self) -> None:
        answer = self._send_body_during_stop("short", 10_000.0)
        self.assertEqual((answer.status, answer.closes), (503, True))
        self.assertIn(b"not_run", answer.body)

    def _send_body_after_suspension(
        self, sent_s: float, time_limit_ms: float
    ) -> kept_connection.Answer:
        """Sends the end of a request to a VM that slept through its signal.

        Args:
            sent_s: Time from the signal to the last byte.
            time_limit_ms: Time limit of the request, from its first byte.
        """
        answers = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            caller = _KeptCaller(fixture)
            await caller.connect()
            node = fixture.cluster.vms["vm-0"]
            call = gateway_caller.Call(
                "a1", "short", "vm-0", 2_000, 2_500, time_limit_ms=time_limit_ms
            )
            sending = asyncio.ensure_future(caller.send(call, pause_s=sent_s))
            await asyncio.sleep(0.1)
            node.process.freeze()
            node.stop.set()
            await asyncio.sleep(_SUSPENDED_S)
            node.process.resume()
            await asyncio.sleep(stop_schedules.GRACE_S - _SUSPENDED_S)
            fixture.cluster.kill(node)
            answers.append(await sending)

        gateway_fixture.run_scenario(scenario, vms=2, halls=1)
        return answers[0]

    def test_request_that_outlasts_the_grace_after_a_suspension_is_refused(
        self,
    ) -> None:
        answer = self._send_body_after_suspension(5.8, 8_700.0)
        self.assertEqual((answer.status, answer.closes), (503, True))
        self.assertIn(b"not_run", answer.body)

    def test_request_that_ends_in_time_after_a_suspension_is_served(
        self,
    ) -> None:
        answer = self._send_body_after_suspension(4.3, 7_200.0)
        self.assertEqual((answer.status, answer.is_complete), (200, True))

    def test_stream_that_may_still_end_is_not_cut_after_a_suspension(
        self,
    ) -> None:
        """The signal may have come only at the end of the suspension."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            caller = _KeptCaller(fixture)
            await caller.connect()
            node = fixture.cluster.vms["vm-0"]
            stream = gateway_caller.Call(
                "a1", "short", "vm-0", 2_000, output_tokens=8_000
            )
            sending = asyncio.ensure_future(caller.send(stream))
            await asyncio.sleep(0.5)
            node.process.freeze()
            await asyncio.sleep(_SUSPENDED_S)
            node.stop.set()
            node.process.resume()
            answer = await sending
            self.assertTrue(answer.is_complete)

        gateway_fixture.run_scenario(scenario, vms=2, halls=1)


class StopSignalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stop = stop_signal.StopSignal()

    def test_sample_before_the_signal_as_the_process_resumes(self) -> None:
        for now_ms in (950.0, 1_000.0, 3_000.0):
            self.stop.note_awake(now_ms)
        self.stop.note_signal()
        self.assertEqual(self.stop.earliest_ms, 1_000.0)

    def test_samples_between_the_signal_and_its_event(self) -> None:
        for now_ms in (950.0, 1_000.0):
            self.stop.note_awake(now_ms)
        self.stop.note_signal()
        for now_ms in (3_000.0, 3_050.0, 3_100.0):
            self.stop.note_awake(now_ms)
        self.stop.set()
        self.assertEqual(self.stop.earliest_ms, 950.0)

    def test_second_signal_does_not_prolong_the_stop(self) -> None:
        for now_ms in (950.0, 1_000.0):
            self.stop.note_awake(now_ms)
        self.stop.set()
        for now_ms in (2_000.0, 2_050.0):
            self.stop.note_awake(now_ms)
        self.stop.set()
        self.assertEqual(self.stop.earliest_ms, 950.0)

    def test_signal_while_starting_has_no_age(self) -> None:
        self.stop.set()
        self.stop.note_awake(1_000.0)
        self.stop.set()
        self.assertIsNone(self.stop.earliest_ms)


class StopSchedulesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_no_schedule_cuts_a_request(self) -> None:
        status = schedule_runner.run_all(
            stop_schedules.run_schedule, 1, _SCHEDULES, jobs=2
        )
        self.assertEqual(status, 0)

    def test_check_fails_if_requests_are_read_to_the_end(self) -> None:
        """They are also sent to targets, however little time is left."""
        with (
            mock.patch.object(planned_stop.PlannedStop, "stop_accepting"),
            mock.patch.object(
                stop_admission, "refuse_placed", return_value=None
            ),
            mock.patch.object(
                stop_admission, "refuse_queued", return_value=None
            ),
        ):
            broken = _find_broken_seeds(_ABLATION_SEEDS)
        self.assertGreaterEqual(3 * len(broken), len(_ABLATION_SEEDS))

    def test_no_schedule_with_a_signal_in_a_suspension_cuts_a_request(
        self,
    ) -> None:
        self.assertEqual(_find_broken_seeds(_SUSPENDED_SEEDS), [])

    def test_check_fails_if_time_is_counted_from_the_suspension(self) -> None:
        with mock.patch.object(stop_signal.StopSignal, "note_awake"):
            broken = _find_broken_seeds(_ABLATION_SUSPENDED_SEEDS)
        self.assertEqual(broken, list(_ABLATION_SUSPENDED_SEEDS))


def _find_broken_seeds(seeds: Iterable[int]) -> list[int]:
    return [seed for seed in seeds if stop_schedules.run_schedule(seed).broken]
