"""A store that has more changes than one of its responses holds.

Guards against VMs that count as current while they are several responses
behind: each response with changes was taken as proof that nothing newer had
been published. The next call followed only a poll interval later, and peers
were told that they were current, too. Removed keys were accepted, drained and
removed targets were used, and added routes were unknown for many seconds.
"""

import asyncio
import unittest

import loguru

from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_fixture

_REVOKE_S = gateway_cluster.REVOKE_MS / 1000.0
# Bound for settings to be applied, and for targets that drain or are removed to
# get no more requests.
_APPLY_S = 2.0
_REPEAT_S = 0.2
# Numbers of VMs and of halls: each reads for itself, or one reads for all.
_LAYOUTS = ((1, 1), (3, 1), (4, 2), (9, 2))
_ANOTHER_KEY = "another"


async def _publish_changes(
    cluster: gateway_cluster.GatewayCluster, count: int, gap_s: float
) -> None:
    """Publishes settings in quick succession."""
    for _ in range(count):
        cluster.publish()
        await asyncio.sleep(gap_s)


async def _publish_backlog(cluster: gateway_cluster.GatewayCluster) -> None:
    """Publishes more changes than one response of the store holds."""
    cluster.store.watch_events_max = 1
    await _publish_changes(cluster, 24, 0.06)


def _find_age_ms(node: gateway_cluster.Node) -> float:
    context = node.gateway.context
    return context.view.settings_age_ms(context.env.now_ms())


class StoreBacklogTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _run(
        self,
        scenario,  # noqa: ANN001
        layouts: tuple[tuple[int, int], ...] = _LAYOUTS,
    ) -> None:
        for vms, halls in layouts:
            with self.subTest(vms=vms, halls=halls):
                gateway_fixture.run_scenario(scenario, vms=vms, halls=halls)

    async def _check_key_is_replaced(
        self, fixture: gateway_fixture.Fixture
    ) -> None:
        """Replaces the key; no VM may accept the old one after the bounds."""
        fixture.cluster.keys = {"w1": [_ANOTHER_KEY]}
        fixture.cluster.publish()
        await asyncio.sleep(_APPLY_S)
        for vm in fixture.cluster.vms:
            result = await fixture.call("unsafe", vm, key=_ANOTHER_KEY)
            self.assertEqual(result.status, 200, vm)
        await asyncio.sleep(_REVOKE_S - _APPLY_S)
        for vm in fixture.cluster.vms:
            result = await fixture.call("unsafe", vm)
            self.assertEqual(fixture.find_runs(result), [], vm)

    def test_removed_key_is_refused_in_time(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await _publish_backlog(fixture.cluster)
            await self._check_key_is_replaced(fixture)

        self._run(scenario)

    def test_removed_key_is_refused_in_time_after_large_settings(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.values_bytes_max = 100_000
            routes = gateway_cluster.make_idle_routes(200)
            for _ in range(24):
                cluster.publish(routes=routes)
                await asyncio.sleep(0.06)
            await self._check_key_is_replaced(fixture)

        self._run(scenario, ((3, 1),))

    def test_removed_key_is_refused_in_time_by_a_slow_store(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.store.response_delay_s = 0.15
            await _publish_backlog(fixture.cluster)
            await self._check_key_is_replaced(fixture)

        self._run(scenario, ((1, 1), (3, 1)))

    def test_added_route_is_served_in_time(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            await _publish_backlog(cluster)
            document = gateway_cluster.make_configuration(cluster.keys, 1)
            added = {**document["routes"][-1], "path-prefix": "/added/"}
            cluster.publish(routes=[*document["routes"], added])
            await asyncio.sleep(_APPLY_S)
            for vm in cluster.vms:
                result = await fixture.call("added", vm)
                self.assertEqual(result.status, 200, vm)

        self._run(scenario)

    async def _check_target_is_left(
        self, fixture: gateway_fixture.Fixture, node: gateway_cluster.Node
    ) -> None:
        await asyncio.sleep(_APPLY_S)
        for vm in fixture.cluster.vms:
            count = await fixture.count_arrivals(node.replica, "unsafe", vm)
            self.assertEqual(count, 0, vm)

    def test_draining_target_is_left_in_time(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await _publish_backlog(fixture.cluster)
            node = fixture.cluster.targets["service-0"]
            fixture.cluster.drain_target(node)
            await self._check_target_is_left(fixture, node)

        self._run(scenario)

    def test_removed_target_is_left_in_time(self) -> None:
        # The end of a backlog must not count as the end of an outage, after
        # which targets that are not listed are kept for a while.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.watch_events_max = 1
            await _publish_changes(cluster, 60, 0.05)
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            await self._check_target_is_left(fixture, node)

        self._run(scenario)

    def test_end_of_a_long_backlog_is_no_end_of_an_outage(self) -> None:
        # Targets that are not listed are kept for a while after an outage.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.watch_events_max = 1
            cluster.store.is_list_busy = True
            await _publish_changes(cluster, 64, 0.05)
            await asyncio.sleep(0.1)
            cluster.store.is_list_busy = False
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            for vm, each in cluster.vms.items():
                view = each.gateway.context.view
                while view.store_position.revision < cluster.store.revision:
                    await asyncio.sleep(0.01)
                found = fixture.find_listed_condition(vm, node)
                self.assertIsNone(found, vm)

        self._run(scenario)


class CeaselessChangesTest(unittest.TestCase):
    """Changes that never cease, so that each response has some.

    Guards against valid keys that are refused as no response is empty, and
    against VMs that call the store all the time to find one that is.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check_valid_key(
        self, gap_s: float, delay_s: float, vms: int, halls: int
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.response_delay_s = delay_s
            before = cluster.store.calls
            changes = asyncio.ensure_future(
                _publish_changes(cluster, 10_000, gap_s)
            )
            seconds = 8.0
            for _ in range(round(seconds / _REPEAT_S)):
                for vm in cluster.vms:
                    result = await fixture.call("unsafe", vm)
                    self.assertEqual(result.status, 200, vm)
                    self.assertEqual(await fixture.caller.check_ready(vm), 200)
                await asyncio.sleep(_REPEAT_S)
            changes.cancel()
            # Three times the calls of VMs that each poll alone, or of the one
            # that reads for its hall.
            pollers = halls if vms >= 3 * halls else vms
            interval_s = 0.975 if vms >= 3 * halls else 1.3
            elapsed_s = asyncio.get_running_loop().time() - 2.0
            limit = 3 * pollers * (elapsed_s / interval_s + 1)
            self.assertLessEqual(cluster.store.calls - before, limit)

        gateway_fixture.run_scenario(scenario, vms=vms, halls=halls)

    def test_valid_key_is_accepted(self) -> None:
        self._check_valid_key(0.06, 0.004, vms=3, halls=1)

    def test_valid_key_is_accepted_by_vms_that_read_alone(self) -> None:
        self._check_valid_key(0.06, 0.004, vms=2, halls=2)

    def test_valid_key_is_accepted_with_a_slow_store(self) -> None:
        self._check_valid_key(0.01, 0.05, vms=3, halls=1)


class FaultsInBacklogTest(unittest.TestCase):
    """Faults of the store and of VMs while VMs are behind."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_live_targets_are_kept_after_an_outage(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            await _publish_backlog(cluster)
            cluster.store.failure = "busy"
            await asyncio.sleep(3.0)
            # Their entries expire while the store is away.
            for node in cluster.targets.values():
                cluster.unlist_target(node)
            cluster.store.failure = ""
            for _ in range(12):
                await asyncio.sleep(0.1)
                for vm in cluster.vms.values():
                    listed = vm.gateway.context.view.listing.targets
                    self.assertEqual(len(listed), len(cluster.targets))

        for vms, halls in ((1, 1), (4, 1)):
            gateway_fixture.run_scenario(scenario, vms=vms, halls=halls)

    def test_removed_key_is_refused_after_a_restore(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.watch_events_max = 1
            copy = cluster.store.take_snapshot()
            await _publish_changes(cluster, 12, 0.06)
            cluster.store.restore(copy)
            await _publish_changes(cluster, 12, 0.06)
            cluster.keys = {"w1": [_ANOTHER_KEY]}
            cluster.publish()
            await asyncio.sleep(_REVOKE_S)
            for vm in cluster.vms:
                result = await fixture.call("unsafe", vm)
                self.assertEqual(fixture.find_runs(result), [], vm)
                result = await fixture.call("unsafe", vm, key=_ANOTHER_KEY)
                self.assertEqual(result.status, 200, vm)

        gateway_fixture.run_scenario(scenario, vms=4, halls=1)

    def test_removed_key_is_refused_while_the_reader_is_suspended(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            await _publish_backlog(cluster)
            cluster.keys = {"w1": [_ANOTHER_KEY]}
            cluster.publish()
            ranked = cluster.vms["vm-0"].gateway._peers.rank_hall()
            reader = ranked[0].partition(":")[0]
            cluster.vms[reader].process.freeze()
            others = [name for name in cluster.vms if name != reader]
            restarted = cluster.vms[others[0]]
            cluster.kill(restarted)
            cluster.start_vm(restarted)
            await asyncio.sleep(_REVOKE_S)
            cluster.vms[reader].process.resume()
            for vm in cluster.vms:
                result = await fixture.call("unsafe", vm)
                self.assertEqual(fixture.find_runs(result), [], vm)
            for vm in others:
                result = await fixture.call("unsafe", vm, key=_ANOTHER_KEY)
                self.assertEqual(result.status, 200, vm)

        gateway_fixture.run_scenario(scenario, vms=4, halls=1)

    def test_vms_without_the_store_refuse_a_removed_key(self) -> None:
        # They rely on a peer that is behind itself.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            ranked = cluster.vms["vm-0"].gateway._peers.rank_hall()
            reader = ranked[0].partition(":")[0]
            for name in cluster.vms:
                if name != reader:
                    cut = virtual_network.Cut(name, "store")
                    cluster.network.cuts.append(cut)
            await _publish_backlog(cluster)
            cluster.keys = {"w1": [_ANOTHER_KEY]}
            cluster.publish()
            await asyncio.sleep(_REVOKE_S)
            for vm in cluster.vms:
                result = await fixture.call("unsafe", vm)
                self.assertEqual(fixture.find_runs(result), [], vm)
                result = await fixture.call("unsafe", vm, key=_ANOTHER_KEY)
                self.assertEqual(result.status, 200, vm)

        gateway_fixture.run_scenario(scenario, vms=5, halls=1)
