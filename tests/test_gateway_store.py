"""What a gateway makes of the store: keys, settings, targets, outages."""

import asyncio
import math
import unittest

import loguru

from ruddergate.cli import gateway as gateway_cli
from standins import gateway_cluster
from tests import gateway_scene


class StoreTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_key_is_refused_everywhere_in_time(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
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

        gateway_scene.play(scene)

    def test_key_is_refused_after_a_freeze(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            node = scene.cluster.vms["vm-0"]
            waiting = []
            node.process.freeze()
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(5.5)
            waiting.append(asyncio.ensure_future(scene.call("unsafe")))
            await asyncio.sleep(0.1)
            node.process.resume()
            got = await waiting[0]
            self.assertEqual(scene.runs(got), [])

        gateway_scene.play(scene)

    def test_outage_of_the_store(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.store.failure = "silent"
            await asyncio.sleep(2.0)
            self.assertEqual((await scene.call("unsafe")).status, 200)
            await asyncio.sleep(3.0)
            got = await scene.call("unsafe")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)
            self.assertEqual(got.headers.get("connection"), "close")
            # Without a key nothing depends on the store's freshness.
            self.assertEqual((await scene.call("open")).status, 200)
            scene.cluster.store.failure = ""
            await asyncio.sleep(2.0)
            self.assertEqual((await scene.call("unsafe")).status, 200)

        gateway_scene.play(scene)

    def test_lenient_vms_serve_on_through_an_outage(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.store.failure = "silent"
            await asyncio.sleep(12.0)
            got = await scene.call("unsafe")
            self.assertEqual(got.status, 200)
            self.assertNotEqual(got.headers.get("connection"), "close")
            self.assertEqual(await scene.caller.check_ready("vm-0"), 200)
            # What is unknown by so old a view may have come since.
            got = await scene.call("unsafe", key="added-since")
            self.assertEqual((got.status, scene.runs(got)), (503, []))
            self.assertEqual((await scene.call("nowhere")).status, 503)
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            scene.cluster.store.failure = ""
            await asyncio.sleep(2.0)
            got = await scene.call("unsafe")
            self.assertEqual((got.status, scene.runs(got)), (401, []))

        gateway_scene.play(scene, is_strict=False)

    def test_call_right_after_the_start_waits_for_settings(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            node = scene.cluster.vms["vm-0"]
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            await asyncio.sleep(0.0)
            self.assertEqual((await scene.call("open")).status, 200)
            # Where the store is away, it is refused soon, and later at once.
            scene.cluster.store.failure = "silent"
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            await asyncio.sleep(0.0)
            got = await scene.call("open")
            self.assertEqual(got.status, 503)
            self.assertLess(got.took_ms, 900.0)
            await asyncio.sleep(3.0)
            got = await scene.call("open")
            self.assertEqual(got.status, 503)
            self.assertLess(got.took_ms, 50.0)

        gateway_scene.play(scene)

    def test_pace_of_calls_follows_the_bounds(self) -> None:
        for bound_ms, ready_age_ms, every_ms in (
            (2_000.0, 2_500.0, 1_300.0),
            (3_000.0, 2_500.0, 1_950.0),
            (4_000.0, 2_500.0, 2_000.0),
            (4_000.0, math.inf, 2_600.0),
        ):
            pace = gateway_cli.make_pace(bound_ms, ready_age_ms)
            self.assertAlmostEqual(pace.interval_ms, every_ms)
            # A VM that is asked in time is never taken for behind.
            self.assertGreaterEqual(pace.full_read_age_ms, 2.0 * every_ms - 0.1)
            self.assertGreaterEqual(pace.outage_ms, 2.0 * every_ms - 0.1)

    def test_vm_without_settings_is_not_ready(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.store.failure = "silent"
            node = scene.cluster.vms["vm-0"]
            scene.cluster.kill(node)
            scene.cluster.start_vm(node)
            await asyncio.sleep(3.0)
            self.assertEqual(await scene.caller.check_ready("vm-0"), 503)
            self.assertEqual((await scene.call("open")).status, 503)

        gateway_scene.play(scene, is_strict=False)

    def test_change_is_in_force_within_two_seconds(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.keys = {"w1": [gateway_cluster.KEY], "w2": ["new"]}
            scene.cluster.publish()
            scene.cluster.store.compact_history()
            await asyncio.sleep(1.9)
            for vm in scene.cluster.vms:
                got = await scene.call("unsafe", vm, key="new")
                self.assertEqual(got.status, 200)

        gateway_scene.play(scene)

    def test_vm_on_a_thin_link_is_up_to_date_after_a_cut(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            # 10 Mbit/s; settings of about 250 KB, changed each 0.5 s.
            cluster.network.slow_links["vm-0"] = 1_250_000.0
            routes = gateway_cluster.make_idle_routes(1_000)
            cluster.publish(routes=routes)
            await asyncio.sleep(4.0)
            cut = gateway_cluster.virtual_network.Cut("vm-0", "store")
            cluster.network.cuts.append(cut)
            for _ in range(16):
                await asyncio.sleep(0.5)
                cluster.publish(routes=routes)
            cluster.network.cuts.remove(cut)
            await asyncio.sleep(2.9)
            view = cluster.vms["vm-0"].gateway.context.view
            self.assertEqual(view.catalog.revision, cluster.revision)

        gateway_scene.play(scene)

    def test_store_out_of_reach_is_asked_ever_less_often(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            store.failure = "reset"
            await asyncio.sleep(2.0)
            before = store.calls
            await asyncio.sleep(10.0)
            self.assertLess(store.calls - before, 3 * 10.0 / 0.35)
            store.failure = ""
            await asyncio.sleep(0.6)
            for node in scene.cluster.vms.values():
                view = node.gateway.context.view
                now_ms = node.gateway.context.env.now_ms()
                self.assertLess(view.settings_age_ms(now_ms), 600.0)

        gateway_scene.play(scene)

    def test_settings_never_go_back(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.publish()
            await asyncio.sleep(1.0)
            old = gateway_cluster.make_configuration(scene.cluster.keys, 2)
            scene.cluster.store.put("op/config", {**old, "config-version": 1})
            await asyncio.sleep(1.0)
            view = scene.cluster.vms["vm-0"].gateway.context.view
            self.assertEqual(view.catalog.revision, 2)

        gateway_scene.play(scene)

    def test_unreadable_settings_leave_the_last_ones(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for broken in (b"{", b"[]", b'{"config-version":9,"routes":[{}]}'):
                scene.cluster.store.put_bytes("op/config", broken)
                await asyncio.sleep(1.0)
                self.assertEqual((await scene.call("open")).status, 200)

        gateway_scene.play(scene)

    def test_leaving_target_gets_no_new_work(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
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

        gateway_scene.play(scene)

    def test_unlisted_target_gets_no_new_work(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
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

        gateway_scene.play(scene)

    def test_stranger_at_a_known_address_runs_nothing(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for number in range(3):
                node = scene.cluster.targets[f"service-{number}"]
                scene.cluster.kill(node)
                await scene.cluster.serve_unlisted_replica(node)
            for route in ("unsafe", "safe"):
                got = await scene.call(route)
                self.assertEqual((got.status, scene.runs(got)), (503, []))

        gateway_scene.play(scene)

    def test_target_that_left_after_an_outage_is_off_when_its_grace_ends(
        self,
    ) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            store.failure = "reset"
            await asyncio.sleep(4.0)
            store.failure = ""
            context = scene.cluster.vms["vm-0"].gateway.context
            now_ms = context.env.now_ms
            while context.view.settings_age_ms(now_ms()) > 1_000.0:
                await asyncio.sleep(0.01)
            regained_ms = now_ms()
            # It goes off the list within the grace after the outage.
            node = scene.cluster.targets["service-0"]
            scene.cluster.kill(node)
            scene.cluster.unlist_target(node)
            grace_ms = 1_500.0
            while now_ms() < regained_ms + grace_ms + 20.0:
                await asyncio.sleep(0.01)
            listed = {each.target_id for each in context.view.listing.targets}
            self.assertNotIn(node.replica.name, listed)

        gateway_scene.play(scene)

    def test_lapsed_entries_do_not_empty_the_fleet(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            store.failure = "silent"
            await asyncio.sleep(3.2)
            for node in scene.cluster.targets.values():
                scene.cluster.unlist_target(node)
            store.failure = ""
            await asyncio.sleep(0.9)
            self.assertEqual((await scene.call("open")).status, 200)

        gateway_scene.play(scene)
