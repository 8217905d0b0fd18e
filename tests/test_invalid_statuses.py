"""Responses of targets whose status is none.

Guards against callers that get a status such as 000 or 600 as the answer to
their request: HTTP defines 100 to 599.
"""

import asyncio
from collections.abc import Sequence
import unittest

import loguru

from ruddergate import outcomes
from standins import gateway_caller
from standins import gateway_guarantees
from standins import virtual_network
from tests import gateway_fixture
from tests import test_lost_links
from tests import upstream_fixture

_STATUSES = (
    b"000",
    b"001",
    b"099",
    b"600",
    b"999",
    b"2000",
    b"20",
    b"",
    b"abc",
    b"-20",
    b"+20",
    b"\xb2\xb2\xb2",
)
_VALID_STATUSES = (200, 404, 500, 599)
_ENGINES = 4
_SERVICES = 4


def _make_response(status: bytes) -> bytes:
    return (
        b"HTTP/1.1 " + status + b" X\r\nx-replica-signature: s\r\n"
        b"x-attempt-id: r1\r\ncontent-length: 14\r\n\r\nid: 1\ndata: a\n\n"
    )


class ResponseTest(unittest.TestCase):
    def test_response_without_a_valid_status_is_none(self) -> None:
        for status in _STATUSES:
            for is_stream in (False, True):
                with self.subTest(status=status, is_stream=is_stream):
                    data = _make_response(status)
                    (event,) = upstream_fixture.receive(data, is_stream)
                    self.assertIsInstance(event, outcomes.NotServed)
                    self.assertIs(event.reason, outcomes.Reason.TARGET_LOST)
                    self.assertIs(event.ran, outcomes.Ran.UNKNOWN)

    def test_valid_statuses_are_passed_on(self) -> None:
        for status in _VALID_STATUSES:
            data = _make_response(b"%d" % status)
            events = upstream_fixture.receive(data, False)
            self.assertEqual(events[-1].status, status)


class _ClusterTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _play(self, fixture: gateway_fixture.Fixture) -> None:
        """Has one engine and one service at a time answer each status.

        Reports and orders of the engine are answered so, too.
        """
        for number, status in enumerate(_STATUSES):
            for kind in ("engine", "service"):
                node = fixture.cluster.targets[f"{kind}-{number % 4}"]
                node.replica.faults.answer_status = status
            calls = [
                fixture.call(route)
                for route in ("safe", "unsafe", "short", "once") * 3
            ]
            # Larger than the memory of one engine.
            calls.append(
                fixture.call("long", prompt_tokens=600_000, output_tokens=60)
            )
            results = await asyncio.gather(*calls)
            for node in fixture.cluster.targets.values():
                node.replica.faults.answer_status = None
            # Memory for the last prompts expires, and targets are used again.
            await asyncio.sleep(8.0)
            with self.subTest(status=status):
                self._check(fixture, results)

    def _check(
        self,
        fixture: gateway_fixture.Fixture,
        results: Sequence[gateway_caller.CallResult],
    ) -> None:
        self.assertEqual(
            gateway_guarantees.find_broken(fixture.cluster, results), []
        )
        for each in results:
            self.assertTrue(200 <= each.status <= 599, each)
        # Others are left for safe calls, as long as there are retries.
        for each in results:
            if each.call.route == "safe" and each.status != 200:
                self.assertIn(b"retry_budget_spent", each.body)


class DirectTest(_ClusterTest):
    def test_calls_streams_gangs_reports_and_orders(self) -> None:
        gateway_fixture.run_scenario(
            self._play, engines=_ENGINES, services=_SERVICES
        )

    def test_single_target_without_a_valid_status_serves_nothing(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for status in _STATUSES:
                fixture.inject_faults("service", answer_status=status)
                for route in ("safe", "unsafe"):
                    result = await fixture.call(route)
                    self.assertEqual(result.status, 502, status)
                    self.assertNotIn("x-replica-signature", result.headers)
                    if route == "unsafe":
                        self.assertEqual(len(fixture.find_runs(result)), 1)
                await asyncio.sleep(5.0)

        gateway_fixture.run_scenario(scenario, services=1)


class DetourTest(_ClusterTest):
    def test_responses_behind_a_peer(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            mode = virtual_network.CutMode.SILENT
            test_lost_links.cut_from_targets(fixture.cluster, 1, mode)
            await test_lost_links.call_all_vms(fixture, 1.0)
            await asyncio.sleep(2.0)
            await self._play(fixture)

        gateway_fixture.run_scenario(
            scenario, engines=_ENGINES, services=_SERVICES
        )


class StoreTest(unittest.TestCase):
    def test_responses_of_the_store_are_none(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            for number, status in enumerate(_STATUSES):
                cluster.store.answer_status = status
                cluster.publish()
                await asyncio.sleep(2.5)
                view = cluster.vms["vm-0"].gateway.context.view
                self.assertLess(view.catalog.revision, cluster.revision)
                cluster.store.answer_status = None
                key = f"key-{number}"
                cluster.keys = {**cluster.keys, "w2": [key]}
                cluster.publish()
                await asyncio.sleep(2.5)
                result = await fixture.call("unsafe", key=key)
                self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
