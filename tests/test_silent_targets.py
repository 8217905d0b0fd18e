"""Streams whose targets fall silent and go on.

Guards against broken streams: a silent target was given up before a retry, and
a place elsewhere, were certain. Streams of one engine fall silent together, and
all of them were given up for the same retry.
"""

import asyncio
import unittest

import loguru

from standins import gateway_caller
from standins import gateway_guarantees
from tests import gateway_fixture

_STREAMS = 24
_OUTPUT_TOKENS = 2_000


async def _begin_streams(
    fixture: gateway_fixture.Fixture, count: int = _STREAMS
) -> list[asyncio.Task]:
    """Starts streams, and returns once they have begun."""
    calls = [
        asyncio.ensure_future(
            fixture.call("short", output_tokens=_OUTPUT_TOKENS)
        )
        for _ in range(count)
    ]
    await asyncio.sleep(0.1)
    return calls


def _list_results(calls: list[asyncio.Task]) -> list[tuple[int, bool]]:
    return [(each.result().status, each.result().is_complete) for each in calls]


def _count_streams(fixture: gateway_fixture.Fixture) -> int:
    """Returns how many streams the engines are writing."""
    return sum(
        len(node.replica.engine.streams)
        for node in fixture.cluster.targets.values()
        if node.replica.engine
    )


def _count_prefills(fixture: gateway_fixture.Fixture) -> int:
    """Returns how many requests have reached targets and have no answer."""
    return sum(
        node.replica.active_runs for node in fixture.cluster.targets.values()
    )


class SilentTargetsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check_all_served(
        self,
        fixture: gateway_fixture.Fixture,
        results: list[gateway_caller.CallResult],
    ) -> None:
        self.assertEqual(
            [(each.status, each.is_complete) for each in results],
            [(200, True)] * len(results),
        )
        self.assertEqual(
            gateway_guarantees.find_broken(fixture.cluster, results), []
        )
        for each in results:
            self.assertLessEqual(len(fixture.find_runs(each)), 2)

    def test_streams_that_fall_silent_together_are_all_served(self) -> None:
        for tokens in (0.0, 1.0, 8.0, 100.0):
            for silent_s in (1.0, 1.2, 1.8):

                async def scenario(
                    fixture: gateway_fixture.Fixture,
                    tokens: float = tokens,
                    silent_s: float = silent_s,
                ) -> None:
                    budget = fixture.cluster.vms["vm-0"].gateway.context.budget
                    budget.capacity = max(budget.capacity, tokens)
                    fixture.inject_faults("engine", silent_s=silent_s)
                    calls = await _begin_streams(fixture)
                    budget.tokens = tokens
                    self._check_all_served(
                        fixture, await asyncio.gather(*calls)
                    )

                gateway_fixture.run_scenario(scenario, engines=4, halls=1)

    def test_stream_survives_a_replacement_that_fails(self) -> None:
        for fault in ("refuse", "lose", "mute"):

            async def scenario(
                fixture: gateway_fixture.Fixture, fault: str = fault
            ) -> None:
                fixture.inject_faults("engine", silent_s=1.5)
                calls = await _begin_streams(fixture, 4)
                fixture.inject_faults("engine", **{fault: 1.0})
                self._check_all_served(fixture, await asyncio.gather(*calls))

            gateway_fixture.run_scenario(scenario, engines=4, halls=1)

    def test_stream_of_the_only_target_is_kept(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", silent_s=1.5)
            calls = await _begin_streams(fixture, 4)
            results = await asyncio.gather(*calls)
            self._check_all_served(fixture, results)
            for each in results:
                self.assertEqual(len(fixture.find_runs(each)), 1)

        gateway_fixture.run_scenario(scenario, engines=1, halls=1)

    def test_replacement_continues_when_the_silent_target_breaks_off(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", silent_s=1.2)
            calls = await _begin_streams(fixture, 1)
            fixture.inject_faults("engine", silent_s=0.0)
            # Another attempt has begun by now, and reads the prompt again.
            await asyncio.sleep(0.95)
            node = next(
                each
                for each in fixture.cluster.targets.values()
                if each.replica.runs
            )
            fixture.cluster.network.reset_node(node.process)
            self._check_all_served(fixture, await asyncio.gather(*calls))

        gateway_fixture.run_scenario(scenario, engines=4, halls=1)

    def test_silent_target_of_a_repeatable_service_call_is_kept(self) -> None:
        # The other target rejects the call; this one answers late.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for name, node in fixture.cluster.targets.items():
                if name.startswith("service"):
                    node.replica.faults.answer_delay_s = 1.2
            call = asyncio.ensure_future(fixture.call("safe"))
            await asyncio.sleep(0.3)
            fixture.inject_faults("service", refuse=1.0)
            self._check_all_served(fixture, [await call])

        gateway_fixture.run_scenario(scenario, engines=1, services=2, halls=1)

    def test_error_of_a_silent_target_does_not_end_the_second_attempt(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", answer_delay_s=1.5, fail=1.0)
            call = asyncio.ensure_future(fixture.call("safe"))
            await asyncio.sleep(0.3)
            for node in fixture.cluster.targets.values():
                if not node.replica.runs:
                    node.replica.faults.fail = 0.0
                    node.replica.faults.answer_delay_s = 0.8
            self._check_all_served(fixture, [await call])

        gateway_fixture.run_scenario(scenario, engines=1, services=2, halls=1)

    def test_unused_retries_are_returned(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            budget = fixture.cluster.vms["vm-0"].gateway.context.budget
            fixture.inject_faults("engine", silent_s=1.2)
            calls = await _begin_streams(fixture, 4)
            # No engine accepts a second attempt.
            for vm in fixture.cluster.vms.values():
                scheduler = vm.gateway.context.scheduler
                for each in scheduler.list_estimates():
                    if not each.own_streams():
                        fixture.cluster.unlist_target(
                            fixture.cluster.targets[
                                each.target.target_id.partition(".")[0]
                            ]
                        )
            before = budget.tokens
            self._check_all_served(fixture, await asyncio.gather(*calls))
            self.assertGreaterEqual(budget.tokens, before)

        gateway_fixture.run_scenario(scenario, engines=1, halls=1)

    def test_both_attempts_end_when_the_caller_disconnects(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", silent_s=20.0)
            call = asyncio.ensure_future(
                fixture.call(
                    "long",
                    prompt_tokens=200_000,
                    output_tokens=_OUTPUT_TOKENS,
                    time_limit_ms=15_000.0,
                    disconnects_after_ms=3_700.0,
                )
            )
            await asyncio.sleep(3.6)
            # One target is silent, the other still reads the prompt.
            self.assertEqual(_count_streams(fixture), 1)
            self.assertEqual(_count_prefills(fixture), 1)
            await call
            await asyncio.sleep(0.4)
            self.assertEqual(_count_streams(fixture), 0)
            self.assertEqual(_count_prefills(fixture), 0)

        gateway_fixture.run_scenario(scenario, engines=4, halls=1)

    def test_losing_attempt_is_closed_at_once(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", 2, silent_s=3_600.0)
            calls = await _begin_streams(fixture, 4)
            await asyncio.sleep(1.5)
            self.assertLessEqual(_count_streams(fixture), 4)
            self._check_all_served(fixture, await asyncio.gather(*calls))

        gateway_fixture.run_scenario(scenario, engines=4, halls=1)

    def test_replacement_of_a_stream_that_has_not_begun(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", 2, mute=True)
            calls = await _begin_streams(fixture, 8)
            self._check_all_served(fixture, await asyncio.gather(*calls))

        gateway_fixture.run_scenario(scenario, engines=4, halls=1)
