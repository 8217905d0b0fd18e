"""A store that was restored from an older copy.

A restored store assigns the same revisions again. If followers compare
revisions alone, one at revision 1,000 that asks a reader at 960 gets the reply
that there are no changes and that its state is current, until the store has
passed 1,000 again. Followers then learned of no drain for 5 to 7 s after an
outage, and requests reached a target more than 2 s after the store had
acknowledged its drain.
"""

import asyncio
import dataclasses
import unittest

import loguru

from ruddergate.entry import store_epochs
from ruddergate.fleet import condition
from ruddergate.fleet import store_position
from ruddergate.messages import store_changes
from ruddergate.relay import published
from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_fixture

# Writes of this time are lost when the store is restored.
_LOST_WRITES_S = 6.0
# Bound for draining targets to get no more requests and settings to be applied.
_APPLY_S = 2.0


class RestoreTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _restore(
        self, fixture: gateway_fixture.Fixture, away_s: float = 0.0
    ) -> None:
        """Restores the store from a copy taken _LOST_WRITES_S ago."""
        store = fixture.cluster.store
        copy = store.take_snapshot()
        await asyncio.sleep(_LOST_WRITES_S)
        if away_s:
            store.failure = "reset"
            await asyncio.sleep(away_s)
        store.restore(copy)
        store.failure = ""

    async def _check_drain(self, fixture: gateway_fixture.Fixture) -> None:
        """Drains a target, and checks that all VMs learn of it in time."""
        node = fixture.cluster.targets["service-0"]
        fixture.cluster.drain_target(node)
        await asyncio.sleep(_APPLY_S)
        for vm in fixture.cluster.vms:
            found = fixture.find_listed_condition(vm, node)
            self.assertIs(found, condition.Condition.DRAINING, vm)
            self.assertEqual(
                await fixture.count_arrivals(node.replica, "open", vm), 0, vm
            )

    def _check_drain_after_restore(
        self, away_s: float, after_s: float, epoch: str = "1", vms: int = 9
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._restore(fixture, away_s)
            await asyncio.sleep(after_s)
            await self._check_drain(fixture)

        gateway_fixture.run_scenario(scenario, vms=vms, halls=1, epoch=epoch)

    def test_drain_after_an_outage_reaches_followers(self) -> None:
        self._check_drain_after_restore(3.0, 1.5)

    def test_drain_right_after_a_short_restore_reaches_followers(
        self,
    ) -> None:
        self._check_drain_after_restore(0.0, 0.0)

    def test_drain_reaches_vms_without_a_shared_reader(self) -> None:
        self._check_drain_after_restore(0.0, 0.0, vms=2)

    def test_drain_reaches_followers_of_a_store_without_epochs(self) -> None:
        self._check_drain_after_restore(3.0, 1.5, epoch="")
        self._check_drain_after_restore(0.0, 0.0, epoch="")

    def test_drain_is_known_when_the_old_revision_is_passed_again(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            store = fixture.cluster.store
            known_revision = store.revision
            await self._restore(fixture)
            node = fixture.cluster.targets["service-0"]
            fixture.cluster.drain_target(node)
            while store.revision <= known_revision + 200:
                store.put("other/key", {})
            # Otherwise its heartbeats would publish the drain again.
            fixture.cluster.kill(node)
            await asyncio.sleep(_APPLY_S)
            for vm in fixture.cluster.vms:
                found = fixture.find_listed_condition(vm, node)
                self.assertIs(found, condition.Condition.DRAINING, vm)

        gateway_fixture.run_scenario(scenario, vms=9, halls=1)

    def test_settings_after_a_restore_reach_all(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._restore(fixture, 1.0)
            fixture.cluster.keys = {"w1": ["another"]}
            fixture.cluster.publish()
            await asyncio.sleep(_APPLY_S)
            for vm in fixture.cluster.vms:
                result = await fixture.call("unsafe", vm)
                self.assertEqual(
                    (result.status, fixture.find_runs(result)), (401, []), vm
                )

        gateway_fixture.run_scenario(scenario, vms=9, halls=3)

    def test_drain_after_a_second_restore_is_known(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._restore(fixture)
            await asyncio.sleep(0.4)
            await self._restore(fixture, 0.5)
            await self._check_drain(fixture)

        gateway_fixture.run_scenario(scenario, vms=9, halls=3)

    def test_live_targets_serve_through_a_restore(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            # All targets restart, under names that the copy does not list.
            copy = cluster.store.take_snapshot()
            for node in cluster.targets.values():
                cluster.kill(node)
                cluster.unlist_target(node)
                cluster.start_target(node)
            await asyncio.sleep(_LOST_WRITES_S)
            cluster.store.restore(copy)
            for _ in range(40):
                result = await fixture.call("open", "vm-3")
                self.assertEqual(result.status, 200)
                await asyncio.sleep(0.1)

        gateway_fixture.run_scenario(scenario, vms=9, halls=1)

    def test_vms_adopt_the_new_epoch(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await self._restore(fixture)
            await asyncio.sleep(_APPLY_S)
            for node in fixture.cluster.vms.values():
                view = node.gateway.context.view
                self.assertEqual(view.store_position.epoch, 2)

        gateway_fixture.run_scenario(scenario, vms=3, halls=1)


class ListFromPeersTest(unittest.TestCase):
    """A restored store that some VMs can't read.

    Peers can't send the changes since a position of an earlier epoch. Unless
    they send the whole list instead, a VM that is cut off from the store
    refuses callers after a restore, once its settings are too old.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_vms_cut_off_from_the_store_get_the_list_from_peers(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            names = list(cluster.vms)
            copy = cluster.store.take_snapshot()
            for name in names[:6]:
                cut = virtual_network.Cut(name, "store")
                cluster.network.cuts.append(cut)
            await asyncio.sleep(_LOST_WRITES_S)
            cluster.store.restore(copy)
            await asyncio.sleep(_APPLY_S)
            node = cluster.targets["service-0"]
            cluster.drain_target(node)
            await asyncio.sleep(5.0)
            for name in names:
                found = fixture.find_listed_condition(name, node)
                self.assertIs(found, condition.Condition.DRAINING, name)
                self.assertEqual(
                    (await fixture.call("unsafe", name)).status, 200
                )

        gateway_fixture.run_scenario(scenario, vms=9, halls=1)

    def test_one_vm_of_a_hall_reads_a_restored_store(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            store = fixture.cluster.store
            copy = store.take_snapshot()
            await asyncio.sleep(_LOST_WRITES_S)
            store.restore(copy)
            before = store.calls
            await asyncio.sleep(_APPLY_S)
            # One call for changes, three pages of a full read, and one call per
            # second.
            self.assertLessEqual(store.calls - before, 1 + 3 + 3)
            for node in fixture.cluster.vms.values():
                view = node.gateway.context.view
                self.assertEqual(view.store_position.epoch, 2)

        gateway_fixture.run_scenario(scenario, vms=9, halls=1, engines=10)

    def test_invented_epoch_is_dropped_with_the_faulty_peer(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            peers = cluster.vms["vm-0"].gateway._peers
            reader = peers.rank_hall()[0].partition(":")[0]
            _make_faulty(cluster.vms[reader])
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
                found = fixture.find_listed_condition(vm, node)
                self.assertIs(found, condition.Condition.DRAINING, vm)

        gateway_fixture.run_scenario(scenario, vms=5, halls=1)


def _make_faulty(node: gateway_cluster.Node) -> None:
    """Makes a VM report an epoch to its peers that the store never had."""
    sync = node.gateway._sync
    answer_changes_request, find_targets = (
        sync.answer_changes_request,
        sync._find_targets,
    )
    sync.answer_changes_request = lambda request: dataclasses.replace(
        answer_changes_request(request), epoch=10**9, is_complete=False
    )
    sync.targets._find = lambda position: find_targets(
        dataclasses.replace(position, epoch=1)
    )


class StoreChangesReplyTest(unittest.TestCase):
    """Changes that VMs of one hall send each other around a restore."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _request_changes(
        self, epoch: int, ahead: int
    ) -> store_changes.StoreChangesReply:
        """Returns a VM's reply to a request from a position.

        Args:
            epoch: Epoch of the position.
            ahead: Revisions by which the position is ahead of the VM.
        """
        replies = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-0"].gateway
            position = gateway.context.view.store_position
            request = store_changes.StoreChangesRequest(
                "vm-1:83", "q", position.revision + ahead, epoch
            )
            replies.append(gateway.handle_peer_request(request))

        gateway_fixture.run_scenario(scenario, vms=1, halls=1)
        return replies[0]

    def test_no_changes_are_sent_across_epochs(self) -> None:
        self.assertTrue(self._request_changes(1, 0).is_complete)
        for epoch in (0, 2, 10**9):
            self.assertFalse(self._request_changes(epoch, 0).is_complete)

    def test_no_changes_are_sent_to_a_vm_that_is_ahead(self) -> None:
        self.assertFalse(self._request_changes(1, 1).is_complete)

    def test_invented_epoch_costs_one_read(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            gateway = fixture.cluster.vms["vm-0"].gateway
            gateway.handle_peer_request(
                store_changes.StoreChangesRequest("vm-1:83", "q", 5, 10**9)
            )
            await asyncio.sleep(_APPLY_S)
            self.assertEqual(gateway.context.view.store_position.epoch, 1)
            before = fixture.cluster.store.calls
            await asyncio.sleep(10.0)
            self.assertLess(fixture.cluster.store.calls - before, 10)

        gateway_fixture.run_scenario(scenario, vms=1, halls=1)


class EpochCheckTest(unittest.TestCase):
    """Responses of the store, by the epoch that they report."""

    def _check(
        self, epoch: int, revision: int, since: tuple[int, int] | None
    ) -> object:
        position = store_position.StorePosition(epoch, revision)
        found = published.Changes(position, None, (), (), ())
        since_position = since and store_position.StorePosition(*since)
        return store_epochs.check_epoch(found, since_position, 3)

    def test_later_response_is_accepted(self) -> None:
        found = self._check(3, 8, (3, 7))
        self.assertEqual(found.position, store_position.StorePosition(3, 8))

    def test_changes_of_a_later_epoch_lose_the_history(self) -> None:
        found = self._check(4, 900, (3, 7))
        self.assertEqual(found, published.HistoryLost(4))

    def test_full_read_of_a_later_epoch_is_accepted(self) -> None:
        found = self._check(4, 2, None)
        self.assertEqual(found.position, store_position.StorePosition(4, 2))

    def test_response_of_an_earlier_epoch_is_ignored(self) -> None:
        for since in (None, (3, 7)):
            found = self._check(2, 900, since)
            self.assertIsInstance(found, published.Unavailable)

    def test_response_without_an_epoch_is_of_the_known_one(self) -> None:
        found = self._check(0, 8, (3, 7))
        self.assertEqual(found.position, store_position.StorePosition(3, 8))
        self.assertIsInstance(self._check(0, 6, (3, 7)), published.HistoryLost)


if __name__ == "__main__":
    unittest.main()
