"""Targets around a restore of the store: removed and missing ones."""

import asyncio
import dataclasses
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import outage_grace
from ruddergate.decisions import tombstones
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from standins import gateway_cluster
from tests import gateway_fixture

# Writes of this time are lost when the store is restored.
_LOST_WRITES_S = 6.0
# Bound for draining targets to get no more requests and settings to be applied.
_APPLY_S = 2.0
# VMs that have reached the store for this time must observe what it lists.
_CONTACT_S = 3.0


class RemovedTest(unittest.TestCase):
    """Targets that were removed, and that an older copy lists again.

    The entry of a target may be removed without a drain while it still serves.
    If the store is then restored, the copy lists it as ready, and VMs send it
    requests until the entry expires. The entry's sequence number does not help:
    a heartbeat that only counts up is no change, so the last number that a VM
    has seen may be an old one.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check_removed(self, vms: int = 9, epoch: str = "1") -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            copy = cluster.store.take_snapshot()
            await asyncio.sleep(1.0)
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            await asyncio.sleep(_APPLY_S)
            cluster.store.restore(copy)
            for _ in range(4):
                await asyncio.sleep(0.5)
                for vm in cluster.vms:
                    found = await fixture.count_arrivals(
                        node.replica, "open", vm
                    )
                    self.assertEqual(found, 0, vm)

        gateway_fixture.run_scenario(scenario, vms=vms, halls=1, epoch=epoch)

    def test_removed_target_is_not_used_after_a_restore(self) -> None:
        self._check_removed()

    def test_removed_target_is_not_used_by_vms_without_a_shared_reader(
        self,
    ) -> None:
        self._check_removed(vms=2)

    def test_removed_target_is_not_used_if_the_store_has_no_epochs(
        self,
    ) -> None:
        self._check_removed(epoch="")

    def test_removed_target_is_used_after_its_next_write(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            copy = cluster.store.take_snapshot()
            node = cluster.targets["service-0"]
            cluster.unlist_target(node)
            await asyncio.sleep(0.1)
            cluster.store.restore(copy)
            # A heartbeat and a second full read take place in this time.
            await asyncio.sleep(_APPLY_S + 1.3)
            for vm in cluster.vms:
                found = fixture.find_listed_condition(vm, node)
                self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_fixture.run_scenario(scenario, vms=9, halls=1)

    def test_newer_incarnation_is_used_at_once(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            copy = cluster.store.take_snapshot()
            await asyncio.sleep(1.0)
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            await asyncio.sleep(_APPLY_S)
            cluster.kill(node)
            cluster.store.restore(copy)
            cluster.start_target(node)
            await asyncio.sleep(_APPLY_S)
            for vm in cluster.vms:
                found = fixture.find_listed_condition(vm, node)
                self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_fixture.run_scenario(
            scenario, vms=9, halls=1, reuses_names=True
        )


class TombstonesTest(unittest.TestCase):
    """Entries that a copy may hold of a removed target."""

    def setUp(self) -> None:
        self.tombstones = tombstones.Tombstones()
        self.tombstones.note_removed(self._make(5, 7))

    def _make(self, started_ms: int, sequence: int) -> targets.Target:
        return targets.Target(
            "t",
            "p",
            "h",
            environment.Address("t", 1),
            condition.Condition.LIVE,
            1,
            started_ms,
            sequence,
        )

    def test_entry_of_the_same_epoch_is_new(self) -> None:
        self.assertTrue(self.tombstones.accept_entry(self._make(5, 7), True))

    def test_entry_of_the_copy_is_stale_at_any_sequence_number(self) -> None:
        self.tombstones.note_store_restored()
        self.assertFalse(self.tombstones.accept_entry(self._make(5, 9), True))
        self.assertFalse(self.tombstones.accept_entry(self._make(5, 9), True))
        self.assertTrue(self.tombstones.accept_entry(self._make(5, 10), True))
        self.assertTrue(self.tombstones.accept_entry(self._make(5, 10), True))

    def test_change_after_the_restore_is_accepted(self) -> None:
        self.tombstones.note_store_restored()
        self.assertFalse(self.tombstones.accept_entry(self._make(5, 9), True))
        self.assertTrue(self.tombstones.accept_entry(self._make(5, 9), False))

    def test_newer_incarnation_is_accepted(self) -> None:
        self.tombstones.note_store_restored()
        self.assertTrue(self.tombstones.accept_entry(self._make(6, 1), True))

    def test_second_restore_resets_the_comparison(self) -> None:
        self.tombstones.note_store_restored()
        self.assertFalse(self.tombstones.accept_entry(self._make(5, 6), True))
        self.tombstones.note_store_restored()
        self.assertFalse(self.tombstones.accept_entry(self._make(5, 7), True))

    def test_oldest_tombstones_are_dropped(self) -> None:
        for number in range(tombstones.MAX_TOMBSTONES):
            target = dataclasses.replace(
                self._make(5, 7), target_id=f"t{number}"
            )
            self.tombstones.note_removed(target)
        self.tombstones.note_store_restored()
        self.assertTrue(self.tombstones.accept_entry(self._make(5, 7), True))


class StartedAfterCopyTest(unittest.TestCase):
    """Targets that started after the copy was taken.

    The copy does not list them until their next heartbeat. VMs that drop them
    after 1.5 s are too early: that heartbeat may be read later.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_no_live_target_is_dropped(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            copy = cluster.store.take_snapshot()
            node = cluster.targets["service-0"]
            cluster.kill(node)
            cluster.unlist_target(node)
            cluster.start_target(node)
            await asyncio.sleep(_LOST_WRITES_S)
            await _wait_for_worst_case(fixture, node)
            cluster.store.restore(copy)
            for _ in range(50):
                await asyncio.sleep(0.1)
                for vm in cluster.vms:
                    found = fixture.find_listed_condition(vm, node)
                    self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_fixture.run_scenario(scenario, vms=9, halls=1)


async def _wait_for_worst_case(
    fixture: gateway_fixture.Fixture, node: gateway_cluster.Node
) -> None:
    """Waits until a target has just written and the reader is about to read.

    The target's next heartbeat is then only read by the second read after the
    restore.
    """
    store = fixture.cluster.store
    loop = asyncio.get_running_loop()
    calls, called_s, sequence = store.calls, 0.0, node.sequence
    while True:
        await asyncio.sleep(0.01)
        if store.calls > calls:
            calls, called_s = store.calls, loop.time()
        has_written = node.sequence > sequence
        sequence = node.sequence
        if has_written and 0.85 < loop.time() - called_s < 0.95:
            return


class RemovedAfterReturnTest(unittest.TestCase):
    """Targets removed after the store is back and before a VM has read it.

    A VM can't distinguish them from targets that the copy does not list yet. If
    its call hangs while the store is silent, it reads the store late (1.6 s
    after the return). With a grace of 2.6 s from then on, such a target got
    requests 2.8 s after its removal.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_removed_target_gets_no_requests_after_contact_with_the_store(
        self,
    ) -> None:
        for away_s in (4.0, 4.4, 4.8, 5.2):
            with self.subTest(away_s=away_s):
                self._check_outage(away_s)

    def _check_outage(self, away_s: float) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            copy = cluster.store.take_snapshot()
            cluster.store.failure = "silent"
            await asyncio.sleep(away_s)
            cluster.store.restore(copy)
            cluster.store.failure = ""
            await asyncio.sleep(0.3)
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            await asyncio.sleep(_CONTACT_S - 0.3)
            for _ in range(5):
                for vm in cluster.vms:
                    found = await fixture.count_arrivals(
                        node.replica, "open", vm
                    )
                    self.assertEqual(found, 0, vm)
                await asyncio.sleep(0.2)

        gateway_fixture.run_scenario(scenario, vms=9, halls=3)


class OutageGraceTest(unittest.TestCase):
    """Until when a target is kept that the store does not list."""

    def test_grace_depends_on_the_read_and_the_end_of_the_outage(self) -> None:
        for read_ms, away_ms, is_restored, until_ms in (
            (1_000.0, 900.0, False, 2_500.0),
            (1_000.0, 900.0, True, 2_700.0),
            (1_000.0, -600.0, True, 2_300.0),
            (1_000.0, -9_000.0, True, 2_000.0),
        ):
            self.assertEqual(
                outage_grace.find_grace_end_ms(read_ms, away_ms, is_restored),
                until_ms,
            )


if __name__ == "__main__":
    unittest.main()
