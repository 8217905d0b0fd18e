"""Targets around a restore of the store: removed ones, and ones it lacks."""

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
from tests import gateway_scene

# What the store loses when it is restored.
_LOST_S = 6.0
# A target that leaves gets no calls later than this, and settings are in force.
_APPLY_S = 2.0
# VMs that reach the store for so long are bound by what it tells.
_CONTACT_S = 3.0


class RemovedTest(unittest.TestCase):
    """Targets that were removed, and that an older copy lists again.

    A target may end without having said that it leaves: its entry is removed,
    and it serves on for a while. After a restore the copy listed it as ready,
    and all VMs sent it calls on the copy's word until its entry lapsed. Its
    number there says nothing: a heartbeat that only counts up is no change, and
    so the last number that a VM has seen may be an old one.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _play_removed(self, vms: int = 9, epoch: str = "1") -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            copy = cluster.store.take_snapshot()
            await asyncio.sleep(1.0)
            node = cluster.targets["service-0"]
            cluster.stop_listing(node)
            await asyncio.sleep(_APPLY_S)
            cluster.store.restore(copy)
            for _ in range(4):
                await asyncio.sleep(0.5)
                for vm in cluster.vms:
                    found = await scene.count_arrivals(node.replica, "open", vm)
                    self.assertEqual(found, 0, vm)

        gateway_scene.play(scene, vms=vms, halls=1, epoch=epoch)

    def test_removed_target_is_not_used_on_the_word_of_a_copy(self) -> None:
        self._play_removed()

    def test_nor_by_vms_that_read_for_themselves(self) -> None:
        self._play_removed(vms=2)

    def test_nor_of_a_store_without_epochs(self) -> None:
        self._play_removed(epoch="")

    def test_it_is_used_once_it_has_written_again(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            copy = cluster.store.take_snapshot()
            node = cluster.targets["service-0"]
            cluster.unlist_target(node)
            await asyncio.sleep(0.1)
            cluster.store.restore(copy)
            # A heartbeat, and a second read of everything.
            await asyncio.sleep(_APPLY_S + 1.3)
            for vm in cluster.vms:
                found = scene.find_condition(vm, node)
                self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_scene.play(scene, vms=9, halls=1)

    def test_younger_life_is_used_at_once(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
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
                found = scene.find_condition(vm, node)
                self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_scene.play(scene, vms=9, halls=1, reuses_names=True)


class RemovalsTest(unittest.TestCase):
    """Entries that a copy may hold of a target that was removed."""

    def setUp(self) -> None:
        self.removals = tombstones.Tombstones()
        self.removals.note_removed(self._make(5, 7))

    def _make(self, born_ms: int, sequence: int) -> targets.Target:
        return targets.Target(
            "t",
            "p",
            "h",
            environment.Address("t", 1),
            condition.Condition.LIVE,
            1,
            born_ms,
            sequence,
        )

    def test_within_an_epoch_an_entry_is_a_new_one(self) -> None:
        self.assertTrue(self.removals.accept_entry(self._make(5, 7), True))

    def test_entry_of_the_copy_is_stale_whatever_its_number(self) -> None:
        self.removals.note_store_restored()
        self.assertFalse(self.removals.accept_entry(self._make(5, 9), True))
        self.assertFalse(self.removals.accept_entry(self._make(5, 9), True))
        self.assertTrue(self.removals.accept_entry(self._make(5, 10), True))
        self.assertTrue(self.removals.accept_entry(self._make(5, 10), True))

    def test_change_after_the_restore_is_none_of_the_copy(self) -> None:
        self.removals.note_store_restored()
        self.assertFalse(self.removals.accept_entry(self._make(5, 9), True))
        self.assertTrue(self.removals.accept_entry(self._make(5, 9), False))

    def test_younger_life_is_used(self) -> None:
        self.removals.note_store_restored()
        self.assertTrue(self.removals.accept_entry(self._make(6, 1), True))

    def test_second_restore_compares_anew(self) -> None:
        self.removals.note_store_restored()
        self.assertFalse(self.removals.accept_entry(self._make(5, 6), True))
        self.removals.note_store_restored()
        self.assertFalse(self.removals.accept_entry(self._make(5, 7), True))

    def test_oldest_are_forgotten(self) -> None:
        for number in range(tombstones.MAX_TOMBSTONES):
            target = dataclasses.replace(
                self._make(5, 7), target_id=f"t{number}"
            )
            self.removals.note_removed(target)
        self.removals.note_store_restored()
        self.assertTrue(self.removals.accept_entry(self._make(5, 7), True))


class YoungerThanCopyTest(unittest.TestCase):
    """Targets that started after the copy was taken.

    The copy does not list them, and they are back with their next heartbeat.
    All VMs dropped them 1.5 s after the restore, sooner than that is read.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_no_live_target_is_dropped(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            copy = cluster.store.take_snapshot()
            node = cluster.targets["service-0"]
            cluster.kill(node)
            cluster.unlist_target(node)
            cluster.start_target(node)
            await asyncio.sleep(_LOST_S)
            await _wait_for_worst(scene, node)
            cluster.store.restore(copy)
            for _ in range(50):
                await asyncio.sleep(0.1)
                for vm in cluster.vms:
                    found = scene.find_condition(vm, node)
                    self.assertIs(found, condition.Condition.LIVE, vm)

        gateway_scene.play(scene, vms=9, halls=1)


async def _wait_for_worst(
    scene: gateway_scene.Scene, node: gateway_cluster.Node
) -> None:
    """Waits until a target has just written and the reader is about to read.

    The target's next heartbeat is then read two reads after the restore.
    """
    store = scene.cluster.store
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


class RemovedMeanwhileTest(unittest.TestCase):
    """Targets removed after the store is back and before a VM has read it.

    They can't be told from those that the copy does not hold yet. VMs whose
    calls hung while the store was silent read it 1.6 s after its return, kept
    such a target for another 2.6 s and sent it calls 2.8 s after its removal.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_they_get_no_calls_once_vms_are_in_touch(self) -> None:
        for away_s in (4.0, 4.4, 4.8, 5.2):
            with self.subTest(away_s=away_s):
                self._play(away_s)

    def _play(self, away_s: float) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
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
                    found = await scene.count_arrivals(node.replica, "open", vm)
                    self.assertEqual(found, 0, vm)
                await asyncio.sleep(0.2)

        gateway_scene.play(scene, vms=9, halls=3)


class AbsenceTest(unittest.TestCase):
    """Until when a target is kept that the store does not list."""

    def test_time_goes_by_the_read_and_the_last_sign_before(self) -> None:
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
