"""Settings that a restored store has lost."""

import asyncio
import unittest

import loguru

from ruddergate.decisions import settings_claims
from standins import gateway_cluster
from tests import gateway_scene

# What the store loses when it is restored.
_LOST_S = 6.0
# A target that leaves gets no calls later than this, and settings are in force.
_APPLY_S = 2.0


class LostSettingsTest(unittest.TestCase):
    """Settings that no VM has read before the store lost them.

    A key was removed right before an outage. The restored store showed the
    settings from before, and each read of it counted as proof that they were
    the newest: calls with the key ran until the removal was written again.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_key_is_refused_while_its_removal_is_lost(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            store = cluster.store
            copy = store.take_snapshot()
            removed_s = asyncio.get_running_loop().time()
            store.failure = "reset"
            await asyncio.sleep(4.0)
            store.restore(copy)
            store.failure = ""
            await asyncio.sleep(0.5)
            cluster.keys = {"w1": ["another"]}
            cluster.publish()
            until_s = removed_s + gateway_cluster.REVOKE_MS / 1000.0
            await asyncio.sleep(until_s - asyncio.get_running_loop().time())
            for _ in range(10):
                for vm in cluster.vms:
                    got = await scene.call("unsafe", vm)
                    self.assertEqual(scene.runs(got), [], vm)
                await asyncio.sleep(0.1)
            got = await scene.call("unsafe", "vm-0", key="another")
            self.assertEqual(got.status, 200)

        gateway_scene.play(scene, vms=9, halls=3)


class StartedAfterTest(unittest.TestCase):
    """VMs that start while the store shows settings from before a restore.

    They read older settings than their peers go by, and a key that had been
    removed for long worked on them again until the store showed its removal.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _start_on_older(
        self, scene: gateway_scene.Scene, *names: str
    ) -> None:
        """Starts VMs on a store that has lost the removal of a key."""
        cluster = scene.cluster
        copy = cluster.store.take_snapshot()
        cluster.keys = {"w1": ["another"]}
        cluster.publish()
        await asyncio.sleep(_LOST_S)
        cluster.store.restore(copy)
        for name in names:
            cluster.kill(cluster.vms[name])
            cluster.start_vm(cluster.vms[name])

    def _play(self, vms: int, halls: int) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            names = [f"vm-{number}" for number in range(1, vms, 2)]
            await self._start_on_older(scene, *names)
            await asyncio.sleep(1.5)
            for _ in range(10):
                for vm in scene.cluster.vms:
                    got = await scene.call("unsafe", vm)
                    self.assertEqual(scene.runs(got), [], vm)
                await asyncio.sleep(0.2)
            for vm in scene.cluster.vms:
                got = await scene.call("unsafe", vm, key="another")
                self.assertEqual(got.status, 200, vm)

        gateway_scene.play(scene, vms=vms, halls=halls)

    def test_they_go_by_their_peers_settings(self) -> None:
        self._play(vms=9, halls=1)

    def test_also_where_each_reads_for_itself(self) -> None:
        self._play(vms=6, halls=3)

    def test_claim_that_is_not_made_good_refuses_nobody_for_long(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            gateway = scene.cluster.vms["vm-0"].gateway
            for _ in range(20):
                gateway.note_newer_settings("vm-9:83", 10**6)
                await asyncio.sleep(0.3)
                got = await scene.call("unsafe")
                self.assertEqual(got.status, 200)

        gateway_scene.play(scene, vms=3, halls=1)


class ClaimsTest(unittest.TestCase):
    """Revisions that peers claim, against reads of the store."""

    def setUp(self) -> None:
        self.claims = settings_claims.SettingsClaims()

    def test_claim_heard_after_a_read_began_is_no_contradiction(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 100.0))
        self.assertEqual(self.claims.find_unconfirmed(6, 101.0).revision, 7)

    def test_later_claim_of_a_peer_replaces_its_former(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.note("a", 7, 300.0)
        self.assertIsNotNone(self.claims.find_unconfirmed(6, 200.0))
        self.claims.note("a", 8, 300.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 200.0))

    def test_claims_that_are_met_are_forgotten(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.note("b", 9, 100.0)
        self.assertEqual(self.claims.find_unconfirmed(7, 200.0).peer, "b")
        self.assertIsNone(self.claims.find_unconfirmed(9, 200.0))

    def test_peer_that_was_rejected_is_heard_again_later(self) -> None:
        self.claims.note("a", 7, 100.0)
        self.claims.reject("a", 200.0)
        self.claims.note("a", 8, 300.0)
        self.assertIsNone(self.claims.find_unconfirmed(6, 400.0))
        later_ms = 201.0 + settings_claims.REJECTED_MS
        self.claims.note("a", 8, later_ms)
        self.assertIsNotNone(self.claims.find_unconfirmed(6, later_ms + 1.0))


if __name__ == "__main__":
    unittest.main()
