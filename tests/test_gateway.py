"""Guarantees of a gateway for single requests, readiness and planned stops."""

import asyncio
import unittest

import loguru

from standins import gateway_guarantees
from tests import gateway_fixture


class GatewayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_requests_are_answered_completely(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for route in ("short", "once", "unsafe", "safe", "open"):
                result = await fixture.call(route)
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )
                self.assertEqual(
                    gateway_guarantees.find_broken(fixture.cluster, [result]),
                    [],
                )
                self.assertEqual(len(fixture.find_runs(result)), 1)

        gateway_fixture.run_scenario(scenario)

    def test_workspace_is_determined_by_the_key(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            with_key = await fixture.call("unsafe")
            self.assertEqual(fixture.find_runs(with_key)[0].workspace, "w1")
            without_key = await fixture.call("open")
            self.assertEqual(fixture.find_runs(without_key)[0].workspace, "")

        gateway_fixture.run_scenario(scenario)

    def test_unknown_key_and_route_are_refused(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            self.assertEqual(
                (await fixture.call("unsafe", key="no")).status, 401
            )
            self.assertEqual((await fixture.call("nowhere")).status, 404)

        gateway_fixture.run_scenario(scenario)

    def test_published_limits_are_enforced(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.publish(limits={"max-body-bytes": 3})
            await asyncio.sleep(2.0)
            result = await fixture.call("unsafe")
            self.assertEqual(
                (result.status, fixture.find_runs(result)), (413, [])
            )

        gateway_fixture.run_scenario(scenario)

    def test_requests_are_not_rejected_as_invalid_without_settings(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.store.failure = "silent"
            node = fixture.cluster.vms["vm-0"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(0.5)
            result = await fixture.call("nowhere")
            self.assertEqual(result.status, 503)
            self.assertIn("retry-after", result.headers)

        gateway_fixture.run_scenario(scenario)


class RetryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_non_repeatable_request_runs_once_when_the_response_is_lost(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("", lose=1.0)
            for route in ("unsafe", "once"):
                result = await fixture.call(route)
                self.assertEqual(result.status, 502)
                self.assertEqual(len(fixture.find_runs(result)), 1)

        gateway_fixture.run_scenario(scenario)

    def test_not_run_is_reported_when_nothing_ran(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("", refuse=1.0)
            for route in ("unsafe", "once", "safe", "short"):
                result = await fixture.call(route)
                self.assertEqual(result.status, 503)
                self.assertEqual(fixture.find_runs(result), [])
                self.assertLess(result.took_ms, 400.0)
                self.assertGreater(float(result.headers["retry-after"]), 0.0)

        gateway_fixture.run_scenario(scenario)

    def test_not_run_is_not_reported_after_a_retry(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            # The first target runs it and loses the response; others refuse.
            fixture.inject_faults("service", refuse=1.0)
            fixture.inject_faults("service", 1, refuse=0.0, lose=1.0)
            statuses = set()
            for _ in range(12):
                result = await fixture.call("safe")
                if fixture.find_runs(result):
                    statuses.add(result.status)
            self.assertTrue(statuses)
            self.assertNotIn(503, statuses)

        gateway_fixture.run_scenario(scenario)

    def test_repeatable_requests_are_retried_on_another_target(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", 1, lose=1.0)
            for _ in range(6):
                self.assertEqual((await fixture.call("safe")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_error_response_of_a_target_is_forwarded(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", fail=1.0)
            result = await fixture.call("unsafe")
            self.assertEqual((result.status, result.body), (500, b"failed"))
            self.assertIn("x-replica-signature", result.headers)
            self.assertEqual(len(fixture.find_runs(result)), 1)

        gateway_fixture.run_scenario(scenario)

    def test_retries_stay_within_their_budget(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.inject_faults("service", fail=1.0)
            calls = [fixture.call("safe") for _ in range(100)]
            results = await asyncio.gather(*calls)
            run_count = sum(len(fixture.find_runs(each)) for each in results)
            self.assertGreater(run_count, 100)
            self.assertLessEqual(run_count, 100 + 4 + 15)

        gateway_fixture.run_scenario(scenario)

    def test_unreachable_targets_use_up_no_attempt(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for name in ("service-0", "service-1"):
                fixture.cluster.kill(fixture.cluster.targets[name])
            for _ in range(3):
                result = await fixture.call("unsafe")
                self.assertEqual(result.status, 200)
                self.assertEqual(len(fixture.find_runs(result)), 1)

        gateway_fixture.run_scenario(scenario)


class ReadinessTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_vm_at_its_connection_limit_is_not_ready(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            calls = [
                asyncio.ensure_future(fixture.call("short")) for _ in range(4)
            ]
            await asyncio.sleep(0.05)
            self.assertEqual(await fixture.caller.check_ready("vm-0"), 503)
            self.assertEqual(await fixture.caller.check_ready("vm-1"), 200)
            for result in await asyncio.gather(*calls):
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )
            self.assertEqual(await fixture.caller.check_ready("vm-0"), 200)

        gateway_fixture.run_scenario(scenario, connections_max=4)


class StopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_planned_stop_interrupts_no_request(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.vms["vm-0"]
            calls = [
                asyncio.ensure_future(fixture.call("short")) for _ in range(8)
            ]
            await asyncio.sleep(0.05)
            node.stop.set()
            await asyncio.sleep(1.0)
            # The load balancer still sends requests here.
            calls += [
                asyncio.ensure_future(fixture.call("short")) for _ in range(4)
            ]
            for result in await asyncio.gather(*calls):
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )
            await asyncio.sleep(5.0)
            self.assertTrue(node.task.done())

        gateway_fixture.run_scenario(scenario)
