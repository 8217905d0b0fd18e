"""What a gateway promises, each under the failure that would break it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import loguru

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_promises
from standins import platform_replica
from standins import virtual_process

_SHORT = {"prompt_tokens": 5_000, "output_tokens": 460}


class Scene:
    """A cluster that has started, and a caller outside of it."""

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self.cluster = cluster
        self.caller = gateway_caller.Caller(cluster)
        self._count = 0

    async def call(
        self, route: str, vm: str = "vm-0", **fields: object
    ) -> gateway_caller.Got:
        """Sends one call."""
        self._count += 1
        if route in ("short", "once"):
            fields = {**_SHORT, **fields}
        call = gateway_caller.Call(f"r{self._count}", route, vm, **fields)
        return await self.caller.send(call)

    def runs(self, got: gateway_caller.Got) -> list[platform_replica.Run]:
        """Returns what ran of a call."""
        return [
            run
            for replica in self.cluster.all_replicas
            for run in replica.runs
            if run.request_id == got.call.request_id
        ]

    def spoil(self, prefix: str, count: int | None = None, **wrong) -> None:
        """Has the replicas of a name misbehave."""
        names = sorted(self.cluster.targets)
        chosen = [name for name in names if name.startswith(prefix)][:count]
        for name in chosen:
            for field, value in wrong.items():
                setattr(self.cluster.targets[name].replica.wrong, field, value)


def play(
    scene: Callable[[Scene], Awaitable[None]], **sizes: int
) -> gateway_cluster.GatewayCluster:
    """Plays a scene in virtual time."""

    async def run() -> gateway_cluster.GatewayCluster:
        cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(**sizes)
        )
        await cluster.start()
        await scene(Scene(cluster))
        return cluster

    return virtual_process.run(run)


class GatewayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_calls_are_answered_whole(self) -> None:
        async def scene(scene: Scene) -> None:
            for route in ("short", "once", "unsafe", "safe", "open"):
                got = await scene.call(route)
                self.assertEqual((got.status, got.is_whole), (200, True))
                self.assertEqual(
                    gateway_promises.find_broken(scene.cluster, [got]), []
                )
                self.assertEqual(len(scene.runs(got)), 1)

        play(scene)

    def test_workspace_is_that_of_the_key(self) -> None:
        async def scene(scene: Scene) -> None:
            keyed = await scene.call("unsafe")
            self.assertEqual(scene.runs(keyed)[0].workspace, "w1")
            open_ = await scene.call("open")
            self.assertEqual(scene.runs(open_)[0].workspace, "")

        play(scene)

    def test_unknown_key_and_route_are_refused(self) -> None:
        async def scene(scene: Scene) -> None:
            self.assertEqual((await scene.call("unsafe", key="no")).status, 401)
            self.assertEqual((await scene.call("nowhere")).status, 404)

        play(scene)

    def test_published_limits_hold(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.cluster.publish(limits={"max-body-bytes": 3})
            await asyncio.sleep(2.0)
            got = await scene.call("unsafe")
            self.assertEqual((got.status, scene.runs(got)), (413, []))

        play(scene)

    def test_without_settings_nothing_is_denied(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.cluster.store.trouble = "silent"
            node = scene.cluster.vms["vm-0"]
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            await asyncio.sleep(0.5)
            got = await scene.call("nowhere")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)

        play(scene)


class RepeatTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_once_only_calls_run_once_when_the_answer_is_lost(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("", lose=1.0)
            for route in ("unsafe", "once"):
                got = await scene.call(route)
                self.assertEqual(got.status, 502)
                self.assertEqual(len(scene.runs(got)), 1)

        play(scene)

    def test_not_run_is_told_only_when_nothing_ran(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("", refuse=1.0)
            for route in ("unsafe", "once", "safe", "short"):
                got = await scene.call(route)
                self.assertEqual(got.status, 503)
                self.assertEqual(scene.runs(got), [])
                self.assertLess(got.took_ms, 400.0)
                self.assertGreater(float(got.headers["retry-after"]), 0.0)

        play(scene)

    def test_not_run_is_not_told_of_a_second_try(self) -> None:
        async def scene(scene: Scene) -> None:
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

        play(scene)

    def test_repeatable_calls_go_to_another_target(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("service", 1, lose=1.0)
            for _ in range(6):
                self.assertEqual((await scene.call("safe")).status, 200)

        play(scene)

    def test_targets_own_failure_is_handed_on(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("service", fail=1.0)
            got = await scene.call("unsafe")
            self.assertEqual((got.status, got.body), (500, b"failed"))
            self.assertIn("x-replica-signature", got.headers)
            self.assertEqual(len(scene.runs(got)), 1)

        play(scene)

    def test_second_sends_stay_within_their_budget(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("service", fail=1.0)
            calls = [scene.call("safe") for _ in range(100)]
            got = await asyncio.gather(*calls)
            sent = sum(len(scene.runs(each)) for each in got)
            self.assertGreater(sent, 100)
            self.assertLessEqual(sent, 100 + 4 + 15)

        play(scene)

    def test_unreachable_targets_cost_no_try(self) -> None:
        async def scene(scene: Scene) -> None:
            for name in ("service-0", "service-1"):
                scene.cluster.kill(scene.cluster.targets[name])
            for _ in range(3):
                got = await scene.call("unsafe")
                self.assertEqual(got.status, 200)
                self.assertEqual(len(scene.runs(got)), 1)

        play(scene)


class StreamTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_broken_stream_goes_on_elsewhere(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("engine", break_off=1.0)
            call = scene.call("short", output_tokens=2_000)
            running = asyncio.ensure_future(call)
            await asyncio.sleep(0.1)
            # Whoever takes it up does not break off.
            started = {
                run.replica
                for replica in scene.cluster.all_replicas
                for run in replica.runs
            }
            for node in scene.cluster.targets.values():
                if node.replica.name not in started:
                    node.replica.wrong.break_off = 0.0
            got = await running
            runs = sorted(scene.runs(got), key=lambda each: each.resumed_after)
            self.assertEqual(len(runs), 2)
            self.assertGreater(runs[1].resumed_after, 0)
            self.assertTrue(got.is_whole)
            self.assertEqual(
                gateway_promises.find_broken(scene.cluster, [got]), []
            )
            signature = got.headers["x-replica-signature"]
            self.assertTrue(signature.startswith(runs[0].replica))

        play(scene, seed=3)

    def test_stream_that_can_not_be_resumed_breaks(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("engine", break_off=1.0)
            got = await scene.call("once")
            self.assertEqual(len(scene.runs(got)), 1)
            self.assertFalse(got.is_whole)

        play(scene, seed=3)

    def test_spoilt_answers_are_not_handed_on(self) -> None:
        async def scene(scene: Scene) -> None:
            for wrong in ("unsigned", "foreign"):
                scene.spoil("", **{wrong: 1.0})
                for route in ("unsafe", "once"):
                    got = await scene.call(route)
                    self.assertEqual(got.status, 502, wrong)
                scene.spoil("", **{wrong: 0.0})
                await asyncio.sleep(10.0)

        play(scene)

    def test_silent_target_is_left_where_that_is_allowed(self) -> None:
        async def scene(scene: Scene) -> None:
            for node in list(scene.cluster.targets.values())[:1]:
                node.replica.wrong.mute = True
            for _ in range(4):
                got = await scene.call("short")
                self.assertEqual((got.status, got.is_whole), (200, True))

        play(scene)

    def test_hall_out_of_reach_is_passed_over(self) -> None:
        async def scene(scene: Scene) -> None:
            cut = gateway_cluster.virtual_network.Cut("hall-1", "hall-0")
            scene.cluster.network.cuts.append(cut)
            slow = 0
            for _ in range(40):
                got = await scene.call("unsafe")
                self.assertEqual(got.status, 200)
                # A connection that does not come up costs 250 ms.
                slow += got.took_ms > 300.0
            self.assertLessEqual(slow, 4)

        play(scene, services=15)

    def test_silent_target_of_a_once_only_call_is_waited_for(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.spoil("service", mute=True)
            got = await scene.call("unsafe", time_limit_ms=1_500.0)
            self.assertEqual(got.status, 504)
            self.assertAlmostEqual(got.took_ms, 1_500.0, delta=60.0)

        play(scene)

    def test_work_stops_when_the_caller_leaves(self) -> None:
        async def scene(scene: Scene) -> None:
            await scene.call("short", leaves_after_ms=150.0)
            await asyncio.sleep(0.5)
            writing = [
                len(node.replica.engine.writers)
                for node in scene.cluster.targets.values()
                if node.replica.engine
            ]
            self.assertEqual(sum(writing), 0)

        play(scene)


class StoreTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_key_is_refused_everywhere_in_time(self) -> None:
        async def scene(scene: Scene) -> None:
            # One VM can't reach the store when the key is taken away.
            cut = gateway_cluster.virtual_network.Cut("vm-1", "store")
            scene.cluster.network.cuts.append(cut)
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(gateway_cluster.REVOKE_MS / 1000.0)
            for vm in ("vm-0", "vm-1", "vm-2"):
                got = await scene.call("unsafe", vm)
                self.assertIn(got.status, (401, 503))
                self.assertEqual(scene.runs(got), [])

        play(scene)

    def test_key_is_refused_after_a_freeze(self) -> None:
        async def scene(scene: Scene) -> None:
            node = scene.cluster.vms["vm-0"]
            waiting = []
            node.process.freeze()
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(5.5)
            waiting.append(asyncio.ensure_future(scene.call("unsafe")))
            await asyncio.sleep(0.1)
            node.process.wake()
            got = await waiting[0]
            self.assertEqual(scene.runs(got), [])

        play(scene)

    def test_outage_of_the_store(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.cluster.store.trouble = "silent"
            await asyncio.sleep(2.0)
            self.assertEqual((await scene.call("unsafe")).status, 200)
            await asyncio.sleep(3.0)
            got = await scene.call("unsafe")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)
            self.assertEqual(got.headers.get("connection"), "close")
            # Without a key nothing depends on the store's freshness.
            self.assertEqual((await scene.call("open")).status, 200)
            scene.cluster.store.trouble = ""
            await asyncio.sleep(2.0)
            self.assertEqual((await scene.call("unsafe")).status, 200)

        play(scene)

    def test_change_is_in_force_within_two_seconds(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.cluster.keys = {"w1": [gateway_cluster.KEY], "w2": ["new"]}
            scene.cluster.publish()
            scene.cluster.store.forget_history()
            await asyncio.sleep(1.9)
            for vm in scene.cluster.vms:
                got = await scene.call("unsafe", vm, key="new")
                self.assertEqual(got.status, 200)

        play(scene)

    def test_settings_never_go_back(self) -> None:
        async def scene(scene: Scene) -> None:
            scene.cluster.publish()
            await asyncio.sleep(1.0)
            old = gateway_cluster.make_configuration(scene.cluster.keys, 2)
            scene.cluster.store.put("op/config", {**old, "config-version": 1})
            await asyncio.sleep(1.0)
            view = scene.cluster.vms["vm-0"].gateway.tools.view
            self.assertEqual(view.catalog.revision, 2)

        play(scene)

    def test_unreadable_settings_leave_the_last_ones(self) -> None:
        async def scene(scene: Scene) -> None:
            for broken in (b"{", b"[]", b'{"config-version":9,"routes":[{}]}'):
                scene.cluster.store.put_bytes("op/config", broken)
                await asyncio.sleep(1.0)
                self.assertEqual((await scene.call("open")).status, 200)

        play(scene)

    def test_leaving_target_gets_no_new_work(self) -> None:
        async def scene(scene: Scene) -> None:
            node = scene.cluster.targets["service-0"]
            scene.cluster.list_target(node, node.replica, "draining")
            await asyncio.sleep(1.0)
            # It goes off the list, and a late entry says that it is ready.
            scene.cluster.unlist_target(node)
            await asyncio.sleep(1.0)
            scene.cluster.list_target(node, node.replica, "ready")
            await asyncio.sleep(1.0)
            for _ in range(8):
                await scene.call("unsafe")
            self.assertEqual(node.replica.runs, [])

        play(scene)

    def test_unlisted_target_gets_no_new_work(self) -> None:
        async def scene(scene: Scene) -> None:
            node = scene.cluster.targets["service-0"]
            scene.cluster.kill(node)
            scene.cluster.unlist_target(node)
            # Another replica now serves at the address.
            scene.cluster.targets["service-9"] = other = gateway_cluster.Node(
                "service-0", node.hall, node.process
            )
            scene.cluster.start_target(other)
            await asyncio.sleep(1.0)
            for _ in range(8):
                self.assertEqual((await scene.call("unsafe")).status, 200)
            self.assertEqual(node.replica.runs, [])

        play(scene)

    def test_stranger_at_a_known_address_runs_nothing(self) -> None:
        async def scene(scene: Scene) -> None:
            for number in range(3):
                node = scene.cluster.targets[f"service-{number}"]
                scene.cluster.kill(node)
                await scene.cluster.serve_stranger(node)
            for route in ("unsafe", "safe"):
                got = await scene.call(route)
                self.assertEqual((got.status, scene.runs(got)), (503, []))

        play(scene)

    def test_lapsed_entries_do_not_empty_the_fleet(self) -> None:
        async def scene(scene: Scene) -> None:
            store = scene.cluster.store
            store.trouble = "silent"
            await asyncio.sleep(3.2)
            for node in scene.cluster.targets.values():
                scene.cluster.unlist_target(node)
            store.trouble = ""
            await asyncio.sleep(0.9)
            self.assertEqual((await scene.call("open")).status, 200)

        play(scene)


class MemoryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _call(self, scene: Scene) -> Awaitable[gateway_caller.Got]:
        return scene.call(
            "long",
            prompt_tokens=800_000,
            output_tokens=460,
            time_limit_ms=15_000.0,
        )

    def test_prompt_over_one_engines_memory_is_served(self) -> None:
        async def scene(scene: Scene) -> None:
            got = await self._call(scene)
            self.assertEqual((got.status, got.is_whole), (200, True))
            await asyncio.sleep(0.5)
            held = [r.held_tokens() for r in scene.cluster.all_replicas]
            self.assertEqual(sum(held), 0)

        play(scene, engines=8)

    def test_memory_lapses_when_its_vm_dies(self) -> None:
        async def scene(scene: Scene) -> None:
            running = asyncio.ensure_future(self._call(scene))
            await asyncio.sleep(1.0)
            held = [r.held_tokens() for r in scene.cluster.all_replicas]
            self.assertGreater(sum(held), 0)
            scene.cluster.kill(scene.cluster.vms["vm-0"])
            await asyncio.sleep(3.0)
            held = [r.held_tokens() for r in scene.cluster.all_replicas]
            self.assertEqual(sum(held), 0)
            running.cancel()

        play(scene, engines=8)


class StopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_planned_stop_cuts_nothing_off(self) -> None:
        async def scene(scene: Scene) -> None:
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
                self.assertEqual((got.status, got.is_whole), (200, True))
            await asyncio.sleep(5.0)
            self.assertTrue(node.task.done())

        play(scene)
