"""Settings that a store has lost in a restore."""

import asyncio
import dataclasses
import unittest

import loguru

from ruddergate.decisions import settings_claims
from standins import gateway_cluster
from tests import gateway_fixture

# Writes of this time are lost when the store is restored.
_LOST_WRITES_S = 6.0
# Bound for draining targets to get no more requests and settings to be applied.
_APPLY_S = 2.0


class LostSettingsTest(unittest.TestCase):
    """Settings that the store loses before any VM has read them.

    Guards against requests with a removed key. It was removed right before an
    outage; the restored store held the earlier settings, and each read of it
    counted as confirmation that they were current. Requests with the key ran
    until the removal was written again.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_key_is_refused_while_its_removal_is_lost(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            store = cluster.store
            copy = store.take_snapshot()
            key_removed_s = asyncio.get_running_loop().time()
            store.failure = "reset"
            await asyncio.sleep(4.0)
            store.restore(copy)
            store.failure = ""
            await asyncio.sleep(0.5)
            cluster.keys = {"w1": ["another"]}
            cluster.publish()
            bound_s = key_removed_s + gateway_cluster.REVOKE_MS / 1000.0
            await asyncio.sleep(bound_s - asyncio.get_running_loop().time())
            for _ in range(10):
                for vm in cluster.vms:
                    result = await fixture.call("unsafe", vm)
                    self.assertEqual(fixture.find_runs(result), [], vm)
                await asyncio.sleep(0.1)
            result = await fixture.call("unsafe", "vm-0", key="another")
            self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, vms=9, halls=3)


class RestartedVmTest(unittest.TestCase):
    """VMs that start while the store shows settings from before a restore.

    Guards against VMs that apply older settings than their peers: a key that
    had been removed earlier was accepted again until the store showed its
    removal.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _restart_on_older_settings(
        self, fixture: gateway_fixture.Fixture, *names: str
    ) -> None:
        """Restarts VMs while the store has lost the removal of a key."""
        cluster = fixture.cluster
        copy = cluster.store.take_snapshot()
        cluster.keys = {"w1": ["another"]}
        cluster.publish()
        await asyncio.sleep(_LOST_WRITES_S)
        cluster.store.restore(copy)
        for name in names:
            cluster.kill(cluster.vms[name])
            cluster.start_vm(cluster.vms[name])

    def _check_removed_key(self, vms: int, halls: int) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            names = [f"vm-{number}" for number in range(1, vms, 2)]
            await self._restart_on_older_settings(fixture, *names)
            await asyncio.sleep(1.5)
            for _ in range(10):
                for vm in fixture.cluster.vms:
                    result = await fixture.call("unsafe", vm)
                    self.assertEqual(fixture.find_runs(result), [], vm)
                await asyncio.sleep(0.2)
            for vm in fixture.cluster.vms:
                result = await fixture.call("unsafe", vm, key="another")
                self.assertEqual(result.status, 200, vm)

        gateway_fixture.run_scenario(scenario, vms=vms, halls=halls)

    def test_followers_use_the_settings_of_their_peers(self) -> None:
        self._check_removed_key(vms=9, halls=1)

    def test_vms_that_all_read_the_store_use_the_settings_of_their_peers(
        self,
    ) -> None:
        self._check_removed_key(vms=6, halls=3)

    def test_removed_key_is_refused_from_the_start(self) -> None:
        # The first read of the store confirmed the older settings, and the next
        # one came a second later.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._restart_on_older_settings(fixture, "vm-1")
            for _ in range(30):
                result = await fixture.call("unsafe", "vm-1")
                self.assertEqual(fixture.find_runs(result), [])
                await asyncio.sleep(0.05)

        gateway_fixture.run_scenario(scenario, vms=3, halls=1)

    def test_vms_that_start_together_ask_one_that_was_there(self) -> None:
        # One of the two seeds starts as well, and knows nothing either.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            names = ("vm-1", "vm-2", "vm-3", "vm-4")
            await self._restart_on_older_settings(fixture, *names)
            for _ in range(30):
                for name in names:
                    result = await fixture.call("unsafe", name)
                    self.assertEqual(fixture.find_runs(result), [], name)
                await asyncio.sleep(0.02)
            for name in names:
                result = await fixture.call("unsafe", name, key="another")
                self.assertEqual(result.status, 200, name)

        for epoch in ("1", ""):
            gateway_fixture.run_scenario(scenario, vms=5, halls=2, epoch=epoch)

    def test_unavailable_settings_of_a_peer_delay_keys_until_a_read(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            sync = cluster.vms["vm-0"].gateway._sync
            answer = sync.answer_changes_request
            sync.answer_changes_request = lambda request: dataclasses.replace(
                answer(request), settings_revision=10**6
            )
            cluster.kill(cluster.vms["vm-1"])
            cluster.start_vm(cluster.vms["vm-1"])
            await asyncio.sleep(1.5)
            for _ in range(10):
                result = await fixture.call("unsafe", "vm-1")
                self.assertEqual(result.status, 200)
                await asyncio.sleep(0.2)

        gateway_fixture.run_scenario(scenario, vms=3, halls=1)

    def test_unconfirmed_claim_refuses_no_requests_for_long(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-0"].gateway
            for _ in range(20):
                gateway.note_newer_settings("vm-9:83", 10**6)
                await asyncio.sleep(0.3)
                result = await fixture.call("unsafe")
                self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, vms=3, halls=1)


class SettingsClaimsTest(unittest.TestCase):
    """Revisions that peers claim, compared with reads of the store."""

    def setUp(self) -> None:
        self.claims = settings_claims.SettingsClaims()

    def test_claim_received_after_a_read_started_is_no_contradiction(
        self,
    ) -> None:
        self.claims.note("a", 7, 100.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 100.0))
        self.assertEqual(self.claims.find_unconfirmed(6, 101.0).revision, 7)

    def test_later_claim_of_a_peer_replaces_its_former(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.note("a", 7, 300.0)
        self.assertIsNotNone(self.claims.find_unconfirmed(6, 200.0))
        self.claims.note("a", 8, 300.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 200.0))

    def test_confirmed_claims_are_dropped(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.note("b", 9, 100.0)
        self.assertEqual(self.claims.find_unconfirmed(7, 200.0).peer, "b")
        self.assertIsNone(self.claims.find_unconfirmed(9, 200.0))

    def test_rejected_peer_is_accepted_again_later(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.reject("a", 200.0)
        self.claims.note("a", 8, 300.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 400.0))
        later_ms = 201.0 + settings_claims.REJECTED_MS
        self.claims.note("a", 8, later_ms)
        self.assertIsNotNone(self.claims.find_unconfirmed(6, later_ms + 1.0))


if __name__ == "__main__":
    unittest.main()
