"""Requests that wait at a gateway as its planned stop ends.

Guards against waits that end with the process instead of an answer: for a
place, for a retry, for memory of helpers, for the rest of a body.
"""

import asyncio
from collections.abc import Sequence
import unittest

import loguru

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
_SENT_S = (0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1, 2.3)
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
    """A stop of vm-0 under load.

    Attributes:
        stopped_s: When the signal came, on the loop's clock.
        pending: Callers that wait for their responses.
        results: What callers that sent requests after the signal received.
    """

    def __init__(self, fixture: gateway_fixture.Fixture) -> None:
        self.cluster = fixture.cluster
        self.stopped_s = 0.0
        self.results: list[gateway_caller.CallResult] = []
        self._fixture = fixture
        self.pending: list[asyncio.Future] = []

    def send(self, call: gateway_caller.Call) -> None:
        sending = asyncio.ensure_future(self._fixture.caller.send(call))
        self.pending.append(sending)

    async def run(self, sent_s: Sequence[float] = _SENT_S) -> None:
        """Stops vm-0 as its platform does, with requests sent meanwhile."""
        node = self.cluster.vms["vm-0"]
        loop = asyncio.get_running_loop()
        stopped_s = self.stopped_s = loop.time()
        node.stop.set()
        loop.call_later(stop_schedules.GRACE_S, self.cluster.kill, node)
        first = len(self.pending)
        for number, at_s in enumerate(sent_s):
            await asyncio.sleep(stopped_s + at_s - loop.time())
            self.send(_make_call(f"late-{number}"))
        await asyncio.wait(self.pending)
        self.results = [each.result() for each in self.pending[first:]]


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
            for number in range(_FULL_POOL_CALLS):
                stop.send(_make_call(f"full-{number}"))
            await asyncio.sleep(1.0)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_prompts_that_wait_for_several_engines_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            for number in range(6):
                call = _make_call(f"full-{number}", prompt_tokens=_GANG_TOKENS)
                stop.send(call)
            await asyncio.sleep(1.0)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_requests_that_wait_for_a_retry_are_answered(self) -> None:
        async def scenario(stop: _Stop) -> None:
            def crash() -> None:
                for node in gateway_fixture.list_engines(stop.cluster)[:3]:
                    stop.cluster.crash_target(node)

            for number in range(16):
                stop.send(_make_call(f"full-{number}"))
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

            for number in range(12):
                stop.send(_make_call(f"full-{number}"))
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().call_later(0.5, silence)
            await stop.run()

        self.assertEqual(self._list_unanswered(scenario), [])

    def test_request_that_cannot_finish_is_refused_at_once(self) -> None:
        async def scenario(stop: _Stop) -> None:
            node = stop.cluster.vms["vm-0"]
            node.stop.set()
            stop.send(_make_call("a1", output_tokens=9_000))
            stop.results = [await each for each in stop.pending]

        stop = self._run(scenario)
        result = stop.results[0]
        self.assertEqual(result.status, 503)
        self.assertIn(b"not_run", result.body)
        self.assertLess(result.took_ms, 100.0)
        self.assertEqual(
            [each.runs for each in stop.cluster.all_replicas if each.runs], []
        )
