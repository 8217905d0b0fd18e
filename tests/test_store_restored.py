"""A store that was restored from an older copy.

Calls reached a target more than 2 s after the store had acknowledged that it
leaves. The store gives out revisions again after a restore, and followers went
by revisions alone: one that knew revision 1,000 and asked a reader at 960 for
what is newer was told "nothing", with a fresh proof of it, until the store had
passed 1,000 again. In the logs, three followers had settings 57 of a reader
0.2 s after it and not the leaving that stood behind the same position; for 5 to
7 s after each outage no follower heard of any target that left, while every VM
that had read the store itself did.
"""

import asyncio
import dataclasses
import unittest

import loguru

from ruddergate.entry import store_epochs
from ruddergate.fleet import condition
from ruddergate.fleet import store_position
from ruddergate.messages import news
from ruddergate.relay import published
from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_scene

# What the store loses when it is restored.
_LOST_S = 6.0
# A target that leaves gets no calls later than this, and settings are in force.
_APPLY_S = 2.0


class RestoredTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _restore(
        self, scene: gateway_scene.Scene, away_s: float = 0.0
    ) -> None:
        """Restores the store from a copy of some seconds ago."""
        store = scene.cluster.store
        copy = store.take_snapshot()
        await asyncio.sleep(_LOST_S)
        if away_s:
            store.failure = "reset"
            await asyncio.sleep(away_s)
        store.restore(copy)
        store.failure = ""

    async def _check_leaving(self, scene: gateway_scene.Scene) -> None:
        """Has a target leave, and checks that all VMs know it in time."""
        node = scene.cluster.targets["service-0"]
        scene.cluster.drain_target(node)
        await asyncio.sleep(_APPLY_S)
        for vm in scene.cluster.vms:
            found = scene.find_condition(vm, node)
            self.assertIs(found, condition.Condition.LEAVING, vm)
            self.assertEqual(
                await scene.count_arrivals(node.replica, "open", vm), 0, vm
            )

    def _play_leaving(
        self, away_s: float, after_s: float, epoch: str = "1", vms: int = 9
    ) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await self._restore(scene, away_s)
            await asyncio.sleep(after_s)
            await self._check_leaving(scene)

        gateway_scene.play(scene, vms=vms, halls=1, epoch=epoch)

    def test_leaving_after_an_outage_reaches_followers(self) -> None:
        self._play_leaving(3.0, 1.5)

    def test_leaving_right_after_a_short_restore_reaches_followers(
        self,
    ) -> None:
        self._play_leaving(0.0, 0.0)

    def test_leaving_reaches_vms_that_read_for_themselves(self) -> None:
        self._play_leaving(0.0, 0.0, vms=2)

    def test_leaving_reaches_followers_of_a_store_without_epochs(self) -> None:
        self._play_leaving(3.0, 1.5, epoch="")
        self._play_leaving(0.0, 0.0, epoch="")

    def test_leaving_is_known_when_the_position_is_passed_again(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            known = store.revision
            await self._restore(scene)
            node = scene.cluster.targets["service-0"]
            scene.cluster.drain_target(node)
            while store.revision <= known + 200:
                store.put("other/key", {})
            # Its heartbeats would tell it again.
            scene.cluster.kill(node)
            await asyncio.sleep(_APPLY_S)
            for vm in scene.cluster.vms:
                found = scene.find_condition(vm, node)
                self.assertIs(found, condition.Condition.LEAVING, vm)

        gateway_scene.play(scene, vms=9, halls=1)

    def test_settings_after_a_restore_reach_all(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await self._restore(scene, 1.0)
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(_APPLY_S)
            for vm in scene.cluster.vms:
                got = await scene.call("unsafe", vm)
                self.assertEqual((got.status, scene.runs(got)), (401, []), vm)

        gateway_scene.play(scene, vms=9, halls=3)

    def test_second_restore_is_followed_too(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await self._restore(scene)
            await asyncio.sleep(0.4)
            await self._restore(scene, 0.5)
            await self._check_leaving(scene)

        gateway_scene.play(scene, vms=9, halls=3)

    def test_live_targets_serve_through_a_restore(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            # All are back under their names, which the copy does not hold.
            copy = cluster.store.take_snapshot()
            for node in cluster.targets.values():
                cluster.kill(node)
                cluster.unlist_target(node)
                cluster.start_target(node)
            await asyncio.sleep(_LOST_S)
            cluster.store.restore(copy)
            for _ in range(40):
                got = await scene.call("open", "vm-3")
                self.assertEqual(got.status, 200)
                await asyncio.sleep(0.1)

        gateway_scene.play(scene, vms=9, halls=1)

    def test_epoch_is_shown(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await self._restore(scene)
            await asyncio.sleep(_APPLY_S)
            for node in scene.cluster.vms.values():
                view = node.gateway.context.view
                self.assertEqual(view.store_position.epoch, 2)

        gateway_scene.play(scene, vms=3, halls=1)


class ListFromPeersTest(unittest.TestCase):
    """A restored store that some VMs can't read.

    What changed since a position of an earlier epoch can't be told, so a VM
    that the store turned away had no way to its targets after a restore, and
    refused callers once its last proof was too old.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_vms_that_the_store_is_cut_from_have_it_of_peers(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            names = list(cluster.vms)
            copy = cluster.store.take_snapshot()
            for name in names[:6]:
                cut = virtual_network.Cut(name, "store")
                cluster.network.cuts.append(cut)
            await asyncio.sleep(_LOST_S)
            cluster.store.restore(copy)
            await asyncio.sleep(_APPLY_S)
            node = cluster.targets["service-0"]
            cluster.drain_target(node)
            await asyncio.sleep(5.0)
            for name in names:
                found = scene.find_condition(name, node)
                self.assertIs(found, condition.Condition.LEAVING, name)
                self.assertEqual((await scene.call("unsafe", name)).status, 200)

        gateway_scene.play(scene, vms=9, halls=1)

    def test_one_vm_of_a_hall_reads_a_restored_store(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            copy = store.take_snapshot()
            await asyncio.sleep(_LOST_S)
            store.restore(copy)
            before = store.calls
            await asyncio.sleep(_APPLY_S)
            # Changes, three pages of everything, and a call a second.
            self.assertLessEqual(store.calls - before, 1 + 3 + 3)
            for node in scene.cluster.vms.values():
                view = node.gateway.context.view
                self.assertEqual(view.store_position.epoch, 2)

        gateway_scene.play(scene, vms=9, halls=1, engines=10)

    def test_epoch_that_a_peer_makes_up_ends_with_the_peer(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            peers = cluster.vms["vm-0"].gateway._peers
            reader = peers.rank_hall()[0].partition(":")[0]
            _make_liar(cluster.vms[reader])
            await asyncio.sleep(_APPLY_S)
            views = [node.gateway.context.view for node in cluster.vms.values()]
            self.assertGreater(
                max(each.store_position.epoch for each in views), 1
            )
            cluster.kill(cluster.vms.pop(reader))
            await asyncio.sleep(3.0)
            self.assertEqual({each.store_position.epoch for each in views}, {1})
            node = cluster.targets["service-0"]
            cluster.drain_target(node)
            await asyncio.sleep(_APPLY_S)
            for vm in cluster.vms:
                found = scene.find_condition(vm, node)
                self.assertIs(found, condition.Condition.LEAVING, vm)

        gateway_scene.play(scene, vms=5, halls=1)


def _make_liar(node: gateway_cluster.Node) -> None:
    """Has a VM tell its peers of an epoch that the store has not named."""
    sync = node.gateway._sync
    answer_changes_request, find_targets = (
        sync.answer_changes_request,
        sync._find_targets,
    )
    sync.answer_changes_request = lambda wanted: dataclasses.replace(
        answer_changes_request(wanted), epoch=10**9, is_whole=False
    )
    sync.targets._find = lambda position: find_targets(
        dataclasses.replace(position, epoch=1)
    )


class NewsTest(unittest.TestCase):
    """What VMs of one hall tell each other around a restore."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _ask(self, epoch: int, ahead: int) -> news.News:
        """Returns a VM's answer to a question from a position."""
        told = []

        async def scene(scene: gateway_scene.Scene) -> None:
            gateway = scene.cluster.vms["vm-0"].gateway
            position = gateway.context.view.store_position
            question = news.NewsWanted(
                "vm-1:83", "q", position.revision + ahead, epoch
            )
            told.append(gateway.handle_peer_request(question))

        gateway_scene.play(scene, vms=1, halls=1)
        return told[0]

    def test_nothing_is_told_across_epochs(self) -> None:
        self.assertTrue(self._ask(1, 0).is_whole)
        for epoch in (0, 2, 10**9):
            self.assertFalse(self._ask(epoch, 0).is_whole)

    def test_nothing_is_told_to_a_vm_that_is_ahead(self) -> None:
        self.assertFalse(self._ask(1, 1).is_whole)

    def test_peer_that_makes_up_an_epoch_costs_a_read(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            gateway = scene.cluster.vms["vm-0"].gateway
            gateway.handle_peer_request(
                news.NewsWanted("vm-1:83", "q", 5, 10**9)
            )
            await asyncio.sleep(_APPLY_S)
            self.assertEqual(gateway.context.view.store_position.epoch, 1)
            before = scene.cluster.store.calls
            await asyncio.sleep(10.0)
            self.assertLess(scene.cluster.store.calls - before, 10)

        gateway_scene.play(scene, vms=1, halls=1)


class CheckTest(unittest.TestCase):
    """Answers of the store, by the epoch that they name."""

    def _check(
        self, epoch: int, revision: int, since: tuple[int, int] | None
    ) -> object:
        position = store_position.StorePosition(epoch, revision)
        found = published.Changes(position, None, (), (), ())
        asked = since and store_position.StorePosition(*since)
        return store_epochs.check_epoch(found, asked, 3)

    def test_later_answer_is_gone_by(self) -> None:
        found = self._check(3, 8, (3, 7))
        self.assertEqual(found.position, store_position.StorePosition(3, 8))

    def test_changes_of_a_later_epoch_are_no_changes(self) -> None:
        found = self._check(4, 900, (3, 7))
        self.assertEqual(found, published.HistoryLost(4))

    def test_everything_of_a_later_epoch_is_gone_by(self) -> None:
        found = self._check(4, 2, None)
        self.assertEqual(found.position, store_position.StorePosition(4, 2))

    def test_answer_of_an_earlier_epoch_says_nothing(self) -> None:
        for since in (None, (3, 7)):
            found = self._check(2, 900, since)
            self.assertIsInstance(found, published.Unavailable)

    def test_answer_without_an_epoch_is_of_the_known_one(self) -> None:
        found = self._check(0, 8, (3, 7))
        self.assertEqual(found.position, store_position.StorePosition(3, 8))
        self.assertIsInstance(self._check(0, 6, (3, 7)), published.HistoryLost)


if __name__ == "__main__":
    unittest.main()
