"""Removal of API keys, up to the last one.

Guards against open routes: a configuration whose workspaces have no keys left
was taken for one without workspaces, and every caller was served with any key.
"""

import asyncio
import unittest

import loguru

from ruddergate.platform import configuration
from ruddergate.settings import catalog as catalogs
from standins import gateway_cluster
from tests import gateway_fixture

_REVOKE_S = gateway_cluster.REVOKE_MS / 1000.0
# Settings are in force on all VMs after this time.
_APPLY_S = 2.0


def _read_with(**fields: object) -> catalogs.Catalog | str:
    """Returns what is read of a configuration with the given fields."""
    document = gateway_cluster.make_configuration({}, 7)
    del document["tenants"]
    return configuration.read_catalog({**document, **fields})


class DecodingTest(unittest.TestCase):
    def test_keys_are_required_where_workspaces_are_published(self) -> None:
        for tenants in (
            [],
            [{"name": "w1", "api-keys": []}],
            [{"name": "w1"}],
            [{"name": "w1", "api-keys": "k1"}],
            [None],
        ):
            catalog = _read_with(tenants=tenants)
            self.assertTrue(catalog.requires_keys, tenants)
            self.assertEqual(catalog.workspaces, {})

    def test_no_keys_are_required_where_no_workspaces_are_published(
        self,
    ) -> None:
        self.assertFalse(_read_with().requires_keys)

    def test_workspaces_of_an_unexpected_type_are_refused(self) -> None:
        for tenants in (None, {}, "w1", 0, False):
            self.assertIsInstance(_read_with(tenants=tenants), str)

    def test_route_with_a_malformed_access_rule_is_closed(self) -> None:
        document = gateway_cluster.make_configuration({}, 7)
        for malformed in ("true", 1, None):
            document["routes"][-1]["allow-anonymous"] = malformed
            catalog = configuration.read_catalog(document)
            route = catalog.find_route(gateway_cluster.HOST, "/open/x")
            self.assertFalse(route.is_open)


class RemovedKeysTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _publish_keys(
        self, fixture: gateway_fixture.Fixture, keys: dict[str, list[str]]
    ) -> None:
        fixture.cluster.keys = keys
        fixture.cluster.publish()
        await asyncio.sleep(_APPLY_S)

    def test_all_callers_are_refused_once_the_last_key_is_removed(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for keys in ({"w1": []}, {}):
                await self._publish_keys(fixture, keys)
                for route in ("unsafe", "short"):
                    for key in (gateway_cluster.KEY, "unknown", ""):
                        result = await fixture.call(route, key=key)
                        self.assertEqual(result.status, 401)
                        self.assertEqual(fixture.find_runs(result), [])
                self.assertEqual((await fixture.call("open")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_key_that_comes_back_is_accepted(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._publish_keys(fixture, {"w1": []})
            await self._publish_keys(fixture, {"w1": [gateway_cluster.KEY]})
            self.assertEqual((await fixture.call("unsafe")).status, 200)

        gateway_fixture.run_scenario(scenario)

    def test_restarted_vm_refuses_callers_while_no_key_is_left(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._publish_keys(fixture, {"w1": []})
            node = fixture.cluster.vms["vm-0"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(_APPLY_S)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 401)

        gateway_fixture.run_scenario(scenario)

    def test_old_settings_without_keys_do_not_refuse_for_good(self) -> None:
        # A key may have been added since, so a VM without the store tells
        # callers to come back.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._publish_keys(fixture, {"w1": []})
            fixture.cluster.store.failure = "silent"
            await asyncio.sleep(_REVOKE_S)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 503)
            self.assertIn("retry-after", result.headers)

        gateway_fixture.run_scenario(scenario)


class UnreadableSettingsTest(unittest.TestCase):
    """Settings that remove a key and cannot be decoded.

    Guards against keys that stay valid for good: reads without any changes
    confirmed the last settings that could be decoded.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_strict_vms_stop_accepting_keys(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.publish(tenants={"w1": []})
            await asyncio.sleep(_REVOKE_S)
            for vm in fixture.cluster.vms:
                result = await fixture.call("unsafe", vm)
                self.assertEqual(result.status, 503, vm)
                self.assertEqual(fixture.find_runs(result), [])
                self.assertEqual((await fixture.call("open", vm)).status, 200)
            fixture.cluster.publish()
            await asyncio.sleep(_APPLY_S)
            for vm in fixture.cluster.vms:
                self.assertEqual((await fixture.call("unsafe", vm)).status, 200)

        gateway_fixture.run_scenario(scenario, vms=6, halls=2)

    def test_restarted_vm_does_not_accept_keys_by_its_peers(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.publish(tenants={"w1": []})
            await asyncio.sleep(1.0)
            node = fixture.cluster.vms["vm-0"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(_REVOKE_S)
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 503)

        gateway_fixture.run_scenario(scenario, vms=6, halls=2)

    def test_lenient_vms_keep_the_last_settings(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            fixture.cluster.publish(tenants={"w1": []})
            await asyncio.sleep(_REVOKE_S)
            self.assertEqual((await fixture.call("unsafe")).status, 200)
            self.assertEqual(
                (await fixture.call("unsafe", key="unknown")).status, 503
            )

        gateway_fixture.run_scenario(scenario, is_strict=False)
