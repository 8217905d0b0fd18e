"""Streams whose targets crash beside them."""

import asyncio
import unittest
from unittest import mock

import loguru

from ruddergate.decisions import poison_requests
from ruddergate.entry import crashed_targets
from standins import gateway_caller
from standins import platform_replica
from tests import gateway_fixture

# An answer of several seconds, so that targets can be crashed midway.
_OUTPUT_TOKENS = 4_000
# Within this time an engine has begun to answer.
_BEGUN_S = 0.4
_ENGINES = 9


class CrashedTargetsTest(unittest.TestCase):
    """A stream is not lost because its targets crash.

    A crash that a request causes takes other streams with it, and may meet them
    again at the next target. Both targets counted against the route's limit
    of two, so those streams broke for good.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_stream_that_lost_two_crashed_targets_is_served(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            pending = _start_stream(fixture)
            for _ in range(2):
                await asyncio.sleep(_BEGUN_S)
                _crash_target_of(fixture, pending)
            result = await pending
            self.assertTrue(result.is_complete)
            self.assertEqual(len(fixture.find_runs(result)), 3)
            repeated = await fixture.call("short", body=b"a long answer")
            self.assertEqual(repeated.status, 200)

        gateway_fixture.run_scenario(scenario, engines=_ENGINES)

    def test_number_of_crashed_targets_is_bounded(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            pending = _start_stream(fixture, 5 * _OUTPUT_TOKENS)
            while not pending.done():
                await asyncio.sleep(_BEGUN_S)
                _crash_target_of(fixture, pending)
            result = await pending
            self.assertFalse(result.is_complete)
            self.assertLessEqual(len(fixture.find_runs(result)), 4)

        gateway_fixture.run_scenario(scenario, engines=_ENGINES)

    def test_live_targets_that_break_off_count(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("engine", break_off=1.0)
            results = [
                await fixture.call("short", output_tokens=_OUTPUT_TOKENS)
                for _ in range(8)
            ]
            runs = [len(fixture.find_runs(each)) for each in results]
            self.assertEqual(max(runs), 2)
            self.assertFalse(all(each.is_complete for each in results))

        gateway_fixture.run_scenario(scenario, engines=_ENGINES)

    def test_streams_are_lost_if_all_crashes_count(self) -> None:
        with (
            mock.patch.object(crashed_targets, "MAX_UNCOUNTED", 0),
            self.assertRaises(AssertionError),
        ):
            self.test_stream_that_lost_two_crashed_targets_is_served()

    def test_crash_of_a_begun_response_counts_less(self) -> None:
        self.assertLess(
            poison_requests.weigh_crash(100.0, 20.0, has_begun=True),
            poison_requests.weigh_crash(100.0, 20.0, has_begun=False),
        )


def _start_stream(
    fixture: gateway_fixture.Fixture, output_tokens: int = _OUTPUT_TOKENS
) -> asyncio.Future[gateway_caller.CallResult]:
    return asyncio.ensure_future(
        fixture.call(
            "short", body=b"a long answer", output_tokens=output_tokens
        )
    )


def _crash_target_of(
    fixture: gateway_fixture.Fixture,
    pending: asyncio.Future[gateway_caller.CallResult],
) -> None:
    """Crashes the target that answers the only stream."""
    if pending.done():
        return
    node = next(
        each
        for each in fixture.cluster.targets.values()
        if _is_streaming(each.replica)
    )
    fixture.cluster.crash_target(node)


def _is_streaming(replica: platform_replica.PlatformReplica) -> bool:
    return replica.engine is not None and bool(replica.engine.streams)


if __name__ == "__main__":
    unittest.main()
