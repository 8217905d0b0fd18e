"""Requests that wait at a gateway as its planned stop ends.

Guards against waits that end with the process instead of an answer: for a
place, for a retry, for memory of helpers, for the rest of a body.
"""

import asyncio
import dataclasses
import unittest
from unittest import mock

import loguru

from ruddergate import outcomes
from ruddergate.entry import relay_attempt
from ruddergate.entry import relay_progress
from ruddergate.entry import relay_run
from standins import gateway_caller
from standins import iteration_engine
from standins import stop_schedules
from tests import gateway_fixture

# Objectives of 4 s for `long`, and of 0.4 s for the others.
_LONG_SLO_SCALE = 4.0 / 3.0
_ENGINES = iteration_engine.EngineSpec(slots=4)
_LONG_TOKENS = 260_000
_GANG_TOKENS = 600_000
# The second phase of a stop begins after 2.6 s.
_LATE_CALLS = 9
_LATE_INTERVAL_S = 0.28
_DELIVERY_S = 0.1
_FULL_POOL_CALLS = 40


def _make_call(name: str, **fields: object) -> gateway_caller.Call:
    values = {
        "prompt_tokens": _LONG_TOKENS,
        "output_tokens": 700,
        "time_limit_ms": 15_000.0,
        **fields,
    }
    return gateway_caller.Call(name, "long", "vm-0", **values)


class _Stop:
    """A stop of vm-0, whose process ends as its task does.

    Attributes:
        cluster: The cluster.
        process: The process of vm-0.
        begun_s: When the signal came, on the loop's clock.
        results: What the callers received.
    """

    def __init__(self, fixture: gateway_fixture.Fixture) -> None:
        self.cluster = fixture.cluster
        self._node = fixture.cluster.vms["vm-0"]
        self.process = self._node.process
        self.begun_s = 0.0
        self.results: list[gateway_caller.CallResult] = []
        self._caller = fixture.caller
        self._pending: list[asyncio.Future] = []

    def send(self, call: gateway_caller.Call) -> None:
        sending = asyncio.ensure_future(self._caller.send(call))
        self._pending.append(sending)

    def fill(self, calls: int, **fields: object) -> None:
        """Sends requests that take all places."""
        for number in range(calls):
            self.send(_make_call(f"full-{number}", **fields))

    def begin(self) -> None:
        """Sends the signal; the process is killed after the grace."""
        loop = asyncio.get_running_loop()
        self.begun_s = loop.time()
        self._node.stop.set()
        self._node.task.add_done_callback(self._on_ended)
        loop.call_later(stop_schedules.GRACE_S, self.cluster.kill, self._node)

    def _on_ended(self, task: asyncio.Future) -> None:
        self.process.kill()
        loop = asyncio.get_running_loop()
        # The system delivers what it has sent.
        loop.call_later(_DELIVERY_S, self.cluster.kill, self._node)

    async def run(self) -> None:
        """Sends the signal, and requests after it."""
        self.begin()
        for number in range(_LATE_CALLS):
            self.send(_make_call(f"late-{number}"))
            await asyncio.sleep(_LATE_INTERVAL_S)

    async def finish(self) -> None:
        await asyncio.wait(self._pending)
        self.results = [each.result() for each in self._pending]


class WaitsAtStopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _run(self, scenario, **layout: object) -> _Stop:
        stops = []

        async def run(fixture: gateway_fixture.Fixture) -> None:
            stop = _Stop(fixture)
            stops.append(stop)
            await scenario(stop)
            await stop.finish()

        sizes = {
            "vms": 2,
            "halls": 1,
            "engines": 4,
            "engine_spec": _ENGINES,
            "latency_slo_scale": _LONG_SLO_SCALE,
            **layout,
        }
        gateway_fixture.run_scenario(run, **sizes)
        return stops[0]

    def _list_unanswered(self, scenario, **layout: object) -> list[str]:
        results = self._run(scenario, **layout).results
        return [each.call.request_id for each in results if not each.status]

    def test_requests_that_wait_for_a_place_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            for node in gateway_fixture.list_engines(stop.cluster):
                node.replica.engine.pause()
            stop.fill(_FULL_POOL_CALLS)
            await asyncio.sleep(1.0)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_prompts_that_wait_for_several_engines_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            stop.fill(6, prompt_tokens=_GANG_TOKENS)
            await asyncio.sleep(1.0)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_requests_that_wait_for_a_retry_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            def crash() -> None:
                for node in gateway_fixture.list_engines(stop.cluster)[:3]:
                    stop.cluster.crash_target(node)

            stop.fill(16)
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().call_later(5.0, crash)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_requests_whose_targets_are_silent_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            def silence() -> None:
                for node in gateway_fixture.list_engines(stop.cluster)[1:]:
                    node.replica.faults.mute = True
                    node.replica.engine.pause()

            stop.fill(12)
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().call_later(0.5, silence)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_request_that_cannot_finish_is_refused_at_once(self) -> None:
        async def scenario(stop: _Stop) -> None:
            stop.begin()
            stop.send(_make_call("a1", output_tokens=9_000))

        stop = self._run(scenario)
        result = stop.results[0]
        self.assertEqual(result.status, 503)
        self.assertIn(b"not_run", result.body)
        self.assertLess(result.took_ms, 100.0)
        self.assertEqual(
            [each.runs for each in stop.cluster.all_replicas if each.runs], []
        )

    def _list_unanswered_after_pause(
        self, from_s: float, pause_s: float
    ) -> list[str]:
        """Returns who gets no answer if the process stands still.

        Args:
            from_s: From when on, from the signal.
            pause_s: For how long.
        """

        async def scenario(stop: _Stop) -> None:
            for node in gateway_fixture.list_engines(stop.cluster):
                node.replica.engine.pause()
            stop.fill(_FULL_POOL_CALLS)
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            loop.call_later(from_s, stop.process.freeze)
            loop.call_later(from_s + pause_s, stop.process.resume)
            await stop.run()

        return self._list_unanswered(scenario)

    def test_all_are_answered_by_a_loop_that_lags_at_the_end(self) -> None:
        self.assertEqual(self._list_unanswered_after_pause(7.32, 0.3), [])

    def test_all_are_answered_after_a_suspension_over_the_end(self) -> None:
        self.assertEqual(self._list_unanswered_after_pause(7.0, 0.7), [])

    def test_request_that_a_second_attempt_sent_is_not_told_as_not_run(
        self,
    ) -> None:
        """The first attempt may still be waiting for its connection."""
        progress = relay_progress.Progress("")
        progress.current.stage = relay_progress.Stage.PREPARING
        context = mock.MagicMock()
        context.check_admission.return_value = None
        context.take_rate_token.return_value = None
        context.quarantine.admit.return_value = None
        second = relay_attempt.RelayAttempt(
            mock.MagicMock(),
            mock.MagicMock(),
            dataclasses.replace(progress),
            mock.MagicMock(),
            mock.MagicMock(),
            context,
            probe_timeout_ms=100.0,
        )
        self.assertIsNone(second._check_before_send())
        refusal = outcomes.refuse(outcomes.Reason.STOPPING, "", 0.0)
        answer = relay_run.conclude_early(refusal, progress)
        self.assertIs(answer.ran, outcomes.Ran.UNKNOWN)

    def test_stream_that_is_nearly_whole_is_resumed(self) -> None:
        async def scenario(stop: _Stop) -> None:
            call = _make_call("a1", prompt_tokens=5_000, output_tokens=5_000)
            stop.send(call)
            await asyncio.sleep(0.1)
            stop.begin()
            await asyncio.sleep(4.0)
            for node in gateway_fixture.list_engines(stop.cluster):
                if node.replica.runs:
                    stop.cluster.crash_target(node)

        result = self._run(scenario).results[0]
        self.assertEqual((result.status, result.is_complete), (200, True))
