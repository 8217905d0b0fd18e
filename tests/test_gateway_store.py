"""How a gateway uses the store: keys, settings, targets and outages."""

import asyncio
import math
import unittest

import loguru

from ruddergate.cli import gateway as gateway_cli
from standins import gateway_cluster
from tests import gateway_fixture


class StoreTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_key_is_refused_by_all_vms_in_time(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            # One VM can't reach the store when the key is removed.
            cut = gateway_cluster.virtual_network.Cut("vm-1", "store")
            fixture.cluster.network.cuts.append(cut)
            fixture.cluster.keys = {"w1": ["another"]}
            fixture.cluster.publish()
            await asyncio.sleep(gateway_cluster.REVOKE_MS / 1000.0)
            for vm in ("vm-0", "vm-1", "vm-2"):
                result = await fixture.call("unsafe", vm)
                self.assertIn(result.status, (401, 503))
                self.assertEqual(fixture.find_runs(result), [])

        gateway_fixture.run_scenario(scenario)

    def test_key_is_refused_after_a_freeze(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.vms["vm-0"]
            waiting = []
            node.process.freeze()
            fixture.cluster.keys = {"w1": ["another"]}
            fixture.cluster.publish()
            await asyncio.sleep(5.5)
            waiting.append(asyncio.ensure_future(fixture.call("unsafe")))
            await asyncio.sleep(0.1)
            node.process.resume()
            result = await waiting[0]
            self.assertEqual(fixture.find_runs(result), [])

        gateway_fixture.run_scenario(scenario)

    def test_outage_of_the_store(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.store.failure = "silent"
            await asyncio.sleep(2.0)
            self.assertEqual((await fixture.call("unsafe")).status, 200)
            await asyncio.sleep(3.0)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 503)
            self.assertIn("retry-after", result.headers)
            self.assertEqual(result.headers.get("connection"), "close")
            # A request without a key needs no fresh settings.
            self.assertEqual((await fixture.call("open")).status, 200)
            fixture.cluster.store.failure = ""
            await asyncio.sleep(2.0)
            self.assertEqual((await fixture.call("unsafe")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_lenient_vms_go_on_serving_during_an_outage(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.store.failure = "silent"
            await asyncio.sleep(12.0)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 200)
            self.assertNotEqual(result.headers.get("connection"), "close")
            self.assertEqual(await fixture.caller.check_ready("vm-0"), 200)
            # An unknown key or route may have been added since settings this
            # old were read.
            result = await fixture.call("unsafe", key="added-since")
            self.assertEqual(
                (result.status, fixture.find_runs(result)), (503, [])
            )
            self.assertEqual((await fixture.call("nowhere")).status, 503)
            fixture.cluster.keys = {"w1": ["another"]}
            fixture.cluster.publish()
            fixture.cluster.store.failure = ""
            await asyncio.sleep(2.0)
            result = await fixture.call("unsafe")
            self.assertEqual(
                (result.status, fixture.find_runs(result)), (401, [])
            )

        gateway_fixture.run_scenario(scenario, is_strict=False)

    def test_request_right_after_startup_waits_for_settings(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.vms["vm-0"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(0.0)
            self.assertEqual((await fixture.call("open")).status, 200)
            # During an outage of the store it is refused within 900 ms at
            # first, and later at once.
            fixture.cluster.store.failure = "silent"
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(0.0)
            result = await fixture.call("open")
            self.assertEqual(result.status, 503)
            self.assertLess(result.took_ms, 900.0)
            await asyncio.sleep(3.0)
            result = await fixture.call("open")
            self.assertEqual(result.status, 503)
            self.assertLess(result.took_ms, 50.0)

        gateway_fixture.run_scenario(scenario)

    def test_poll_interval_follows_the_age_bounds(self) -> None:
        for bound_ms, ready_age_ms, interval_ms in (
            (2_000.0, 2_500.0, 1_300.0),
            (3_000.0, 2_500.0, 1_950.0),
            (4_000.0, 2_500.0, 2_000.0),
            (4_000.0, math.inf, 2_600.0),
        ):
            poll = gateway_cli.make_poll_config(bound_ms, ready_age_ms)
            self.assertAlmostEqual(poll.interval_ms, interval_ms)
            # A VM that is polled on schedule is never treated as lagging.
            self.assertGreaterEqual(
                poll.full_read_age_ms, 2.0 * interval_ms - 0.1
            )
            self.assertGreaterEqual(poll.outage_ms, 2.0 * interval_ms - 0.1)

    def test_vm_without_settings_is_not_ready(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.store.failure = "silent"
            node = fixture.cluster.vms["vm-0"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(3.0)
            self.assertEqual(await fixture.caller.check_ready("vm-0"), 503)
            self.assertEqual((await fixture.call("open")).status, 503)

        gateway_fixture.run_scenario(scenario, is_strict=False)

    def test_change_is_applied_within_two_seconds(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.keys = {"w1": [gateway_cluster.KEY], "w2": ["new"]}
            fixture.cluster.publish()
            fixture.cluster.store.compact_history()
            await asyncio.sleep(1.9)
            for vm in fixture.cluster.vms:
                result = await fixture.call("unsafe", vm, key="new")
                self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_vm_on_a_slow_link_is_up_to_date_after_a_partition(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            # 10 Mbit/s; settings of about 250 KB, changed every 0.5 s.
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

        gateway_fixture.run_scenario(scenario)

    def test_unreachable_store_is_polled_with_backoff(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            store = fixture.cluster.store
            store.failure = "reset"
            await asyncio.sleep(2.0)
            calls_before = store.calls
            await asyncio.sleep(10.0)
            self.assertLess(store.calls - calls_before, 3 * 10.0 / 0.35)
            store.failure = ""
            await asyncio.sleep(0.6)
            for node in fixture.cluster.vms.values():
                view = node.gateway.context.view
                now_ms = node.gateway.context.env.now_ms()
                self.assertLess(view.settings_age_ms(now_ms), 600.0)

        gateway_fixture.run_scenario(scenario)

    def test_settings_never_revert(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.publish()
            await asyncio.sleep(1.0)
            old_settings = gateway_cluster.make_configuration(
                fixture.cluster.keys, 2
            )
            fixture.cluster.store.put(
                "op/config", {**old_settings, "config-version": 1}
            )
            await asyncio.sleep(1.0)
            view = fixture.cluster.vms["vm-0"].gateway.context.view
            self.assertEqual(view.catalog.revision, 2)

        gateway_fixture.run_scenario(scenario)

    def test_malformed_settings_leave_the_last_valid_ones(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for malformed in (
                b"{",
                b"[]",
                b'{"config-version":9,"routes":[{}]}',
            ):
                fixture.cluster.store.put_bytes("op/config", malformed)
                await asyncio.sleep(1.0)
                self.assertEqual((await fixture.call("open")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_draining_target_gets_no_new_requests(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.targets["service-0"]
            fixture.cluster.list_target(node, node.replica, "draining")
            await asyncio.sleep(1.0)
            # It is removed from the list, and a late entry shows it as ready.
            fixture.cluster.unlist_target(node)
            await asyncio.sleep(1.0)
            fixture.cluster.list_target(node, node.replica, "ready")
            await asyncio.sleep(1.0)
            for _ in range(8):
                await fixture.call("unsafe")
            self.assertEqual(node.replica.runs, [])

        gateway_fixture.run_scenario(scenario)

    def test_unlisted_target_gets_no_new_requests(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.targets["service-0"]
            fixture.cluster.kill(node)
            fixture.cluster.unlist_target(node)
            # Another replica now serves at its address.
            fixture.cluster.targets["service-9"] = replacement = (
                gateway_cluster.Node("service-0", node.hall, node.process)
            )
            fixture.cluster.start_target(replacement)
            await asyncio.sleep(1.0)
            for _ in range(8):
                self.assertEqual((await fixture.call("unsafe")).status, 200)
            self.assertEqual(node.replica.runs, [])

        gateway_fixture.run_scenario(scenario)

    def test_unknown_server_at_a_known_address_runs_nothing(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for number in range(3):
                node = fixture.cluster.targets[f"service-{number}"]
                fixture.cluster.kill(node)
                await fixture.cluster.serve_unlisted_replica(node)
            for route in ("unsafe", "safe"):
                result = await fixture.call(route)
                self.assertEqual(
                    (result.status, fixture.find_runs(result)), (503, [])
                )

        gateway_fixture.run_scenario(scenario)

    def test_target_removed_after_an_outage_is_dropped_after_its_grace_period(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            store = fixture.cluster.store
            store.failure = "reset"
            await asyncio.sleep(4.0)
            store.failure = ""
            context = fixture.cluster.vms["vm-0"].gateway.context
            now_ms = context.env.now_ms
            while context.view.settings_age_ms(now_ms()) > 1_000.0:
                await asyncio.sleep(0.01)
            restored_ms = now_ms()
            # It is removed from the list within the grace period after the
            # outage.
            node = fixture.cluster.targets["service-0"]
            fixture.cluster.kill(node)
            fixture.cluster.unlist_target(node)
            grace_ms = 1_500.0
            while now_ms() < restored_ms + grace_ms + 20.0:
                await asyncio.sleep(0.01)
            listed = {each.target_id for each in context.view.listing.targets}
            self.assertNotIn(node.replica.name, listed)

        gateway_fixture.run_scenario(scenario)

    def test_expired_entries_do_not_empty_the_target_list(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            store = fixture.cluster.store
            store.failure = "silent"
            await asyncio.sleep(3.2)
            for node in fixture.cluster.targets.values():
                fixture.cluster.unlist_target(node)
            store.failure = ""
            await asyncio.sleep(0.9)
            self.assertEqual((await fixture.call("open")).status, 200)

        gateway_fixture.run_scenario(scenario)
