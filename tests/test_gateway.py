"""What a gateway promises about single calls and about its own stop."""

import asyncio
import unittest

import loguru

from standins import gateway_guarantees
from tests import gateway_scene


class GatewayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_calls_are_answered_whole(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for route in ("short", "once", "unsafe", "safe", "open"):
                got = await scene.call(route)
                self.assertEqual((got.status, got.is_complete), (200, True))
                self.assertEqual(
                    gateway_guarantees.find_broken(scene.cluster, [got]), []
                )
                self.assertEqual(len(scene.runs(got)), 1)

        gateway_scene.play(scene)

    def test_workspace_is_that_of_the_key(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            keyed = await scene.call("unsafe")
            self.assertEqual(scene.runs(keyed)[0].workspace, "w1")
            open_ = await scene.call("open")
            self.assertEqual(scene.runs(open_)[0].workspace, "")

        gateway_scene.play(scene)

    def test_unknown_key_and_route_are_refused(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            self.assertEqual((await scene.call("unsafe", key="no")).status, 401)
            self.assertEqual((await scene.call("nowhere")).status, 404)

        gateway_scene.play(scene)

    def test_published_limits_hold(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.publish(limits={"max-body-bytes": 3})
            await asyncio.sleep(2.0)
            got = await scene.call("unsafe")
            self.assertEqual((got.status, scene.runs(got)), (413, []))

        gateway_scene.play(scene)

    def test_without_settings_nothing_is_denied(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.store.failure = "silent"
            node = scene.cluster.vms["vm-0"]
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            await asyncio.sleep(0.5)
            got = await scene.call("nowhere")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)

        gateway_scene.play(scene)


class RepeatTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_once_only_calls_run_once_when_the_answer_is_lost(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.spoil("", lose=1.0)
            for route in ("unsafe", "once"):
                got = await scene.call(route)
                self.assertEqual(got.status, 502)
                self.assertEqual(len(scene.runs(got)), 1)

        gateway_scene.play(scene)

    def test_not_run_is_told_only_when_nothing_ran(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.spoil("", refuse=1.0)
            for route in ("unsafe", "once", "safe", "short"):
                got = await scene.call(route)
                self.assertEqual(got.status, 503)
                self.assertEqual(scene.runs(got), [])
                self.assertLess(got.took_ms, 400.0)
                self.assertGreater(float(got.headers["retry-after"]), 0.0)

        gateway_scene.play(scene)

    def test_not_run_is_not_told_of_a_second_try(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            # The first target runs it and loses the answer; others refuse.
            scene.spoil("service", refuse=1.0)
            scene.spoil("service", 1, refuse=0.0, lose=1.0)
            statuses = set()
            for _ in range(12):
                got = await scene.call("safe")
                if scene.runs(got):
                    statuses.add(got.status)
            self.assertTrue(statuses)
            self.assertNotIn(503, statuses)

        gateway_scene.play(scene)

    def test_repeatable_calls_go_to_another_target(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.spoil("service", 1, lose=1.0)
            for _ in range(6):
                self.assertEqual((await scene.call("safe")).status, 200)

        gateway_scene.play(scene)

    def test_targets_own_failure_is_handed_on(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.spoil("service", fail=1.0)
            got = await scene.call("unsafe")
            self.assertEqual((got.status, got.body), (500, b"failed"))
            self.assertIn("x-replica-signature", got.headers)
            self.assertEqual(len(scene.runs(got)), 1)

        gateway_scene.play(scene)

    def test_second_sends_stay_within_their_budget(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.spoil("service", fail=1.0)
            calls = [scene.call("safe") for _ in range(100)]
            got = await asyncio.gather(*calls)
            sent = sum(len(scene.runs(each)) for each in got)
            self.assertGreater(sent, 100)
            self.assertLessEqual(sent, 100 + 4 + 15)

        gateway_scene.play(scene)

    def test_unreachable_targets_cost_no_try(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for name in ("service-0", "service-1"):
                scene.cluster.kill(scene.cluster.targets[name])
            for _ in range(3):
                got = await scene.call("unsafe")
                self.assertEqual(got.status, 200)
                self.assertEqual(len(scene.runs(got)), 1)

        gateway_scene.play(scene)


class ReadinessTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_vm_without_room_for_callers_is_not_ready(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            calls = [
                asyncio.ensure_future(scene.call("short")) for _ in range(4)
            ]
            await asyncio.sleep(0.05)
            self.assertEqual(await scene.caller.check_ready("vm-0"), 503)
            self.assertEqual(await scene.caller.check_ready("vm-1"), 200)
            for got in await asyncio.gather(*calls):
                self.assertEqual((got.status, got.is_complete), (200, True))
            self.assertEqual(await scene.caller.check_ready("vm-0"), 200)

        gateway_scene.play(scene, connections_max=4)


class StopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_planned_stop_cuts_nothing_off(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            node = scene.cluster.vms["vm-0"]
            calls = [
                asyncio.ensure_future(scene.call("short")) for _ in range(8)
            ]
            await asyncio.sleep(0.05)
            node.stop.set()
            await asyncio.sleep(1.0)
            # The balancer still sends callers here.
            calls += [
                asyncio.ensure_future(scene.call("short")) for _ in range(4)
            ]
            for got in await asyncio.gather(*calls):
                self.assertEqual((got.status, got.is_complete), (200, True))
            await asyncio.sleep(5.0)
            self.assertTrue(node.task.done())

        gateway_scene.play(scene)
