"""Proofs of freshness from peers: the model, the log of changes, a hall."""

import asyncio
import math
import unittest

import hypothesis
from hypothesis import strategies
import loguru

from ruddergate import environment
from ruddergate.decisions import change_log
from ruddergate.decisions import document_parts
from ruddergate.decisions import freshness
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.messages import document_part
from ruddergate.messages import news
from standins import epoch_model
from standins import explore
from standins import freshness_model
from standins import gateway_cluster
from tests import gateway_scene

_HALL = 9


class ProofModelTest(unittest.TestCase):
    """Every interleaving of a reader and a VM that asks it."""

    def explore(
        self,
        find_current_as_of: freshness_model.FindCurrentAsOf,
        **fields: bool,
    ) -> explore.Exploration:
        return explore.explore(
            freshness_model.FreshnessState(),
            lambda state: freshness_model.find_steps(
                state, find_current_as_of, **fields
            ),
            freshness_model.is_claim_valid,
        )

    def test_no_interleaving_proves_what_is_not_true(self) -> None:
        found = self.explore(freshness.find_current_as_of_ms)
        self.assertEqual(found.counterexample, ())
        self.assertGreater(found.states, 10_000)

    def test_answers_of_earlier_questions_would(self) -> None:
        found = self.explore(
            freshness.find_current_as_of_ms, matches_requests=False
        )
        self.assertTrue(found.counterexample)

    def test_trust_in_a_younger_age_would(self) -> None:
        found = self.explore(lambda asked_ms, age_ms: asked_ms - age_ms + 1.0)
        self.assertTrue(found.counterexample)

    def test_clock_that_stands_still_in_a_suspension_would(self) -> None:
        found = self.explore(
            freshness.find_current_as_of_ms, counts_suspension=False
        )
        self.assertIn("suspended", " ".join(found.counterexample))

    def test_ages_that_cannot_be_true(self) -> None:
        for age_ms in (-1.0, math.nan, math.inf):
            self.assertIsNone(freshness.find_current_as_of_ms(0.0, age_ms))

    def test_small_halls_read_for_themselves(self) -> None:
        names = [f"vm-{number}" for number in range(_HALL)]
        self.assertFalse(freshness.has_shared_readers(names[:2]))
        self.assertTrue(freshness.is_reader("vm-1", names[:2]))
        self.assertFalse(freshness.is_reader("vm-1", names))


class EpochModelTest(unittest.TestCase):
    """Every interleaving of a reader, a follower and a restore of the store."""

    def explore(self, compares_within_epoch: bool) -> explore.Exploration:
        return explore.explore(
            epoch_model.make_first_state(),
            lambda state: epoch_model.find_steps(state, compares_within_epoch),
            epoch_model.is_claim_valid,
        )

    def test_no_change_is_missed_across_a_restore(self) -> None:
        found = self.explore(True)
        self.assertEqual(found.counterexample, ())
        self.assertGreater(found.states, 10_000)

    def test_one_would_be_by_revisions_alone(self) -> None:
        self.assertIn("restore", self.explore(False).counterexample)


def _make_target(name: str, state: condition.Condition) -> targets.Target:
    return targets.Target(
        name, "p", "h", environment.Address("1.1.1.1", 1), state
    )


class ChangeLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = change_log.ChangeLog()
        self.live = _make_target("t", condition.Condition.LIVE)
        self.leaving = _make_target("t", condition.Condition.LEAVING)

    def test_changes_since_a_position(self) -> None:
        self.log.note(change_log.Step(1, 5, False, (self.live,)))
        self.log.note(change_log.Step(5, 7, False, (self.leaving,)))
        self.log.note(change_log.Step(7, 8, False, (), ("t",)))
        found = self.log.find_since(5, 8)
        self.assertEqual(found.listed, (self.leaving,))
        self.assertEqual(found.removed, ("t",))
        # One that is within a step gets the whole step.
        self.assertEqual(len(self.log.find_since(3, 8).listed), 2)
        self.assertEqual(self.log.find_since(8, 8).listed, ())

    def test_lapsed_target_that_is_back_is_not_gone(self) -> None:
        self.log.note(change_log.Step(1, 2, False, (), ("t",)))
        self.log.note(change_log.Step(2, 3, False, (self.live,)))
        self.assertEqual(self.log.find_since(1, 3).removed, ())

    def test_what_cannot_be_told(self) -> None:
        self.log.note(change_log.Step(1, 2, True))
        self.log.note(change_log.Step(2, 3, False, (self.live,)))
        self.assertIsNone(self.log.find_since(1, 3))
        self.assertIsNotNone(self.log.find_since(2, 3))
        self.assertIsNone(self.log.find_since(0, 3))
        rows = (self.live,) * change_log.MAX_ROWS
        self.log.note(change_log.Step(3, 4, False, rows))
        self.assertIsNone(self.log.find_since(2, 4))

    def test_gap_drops_what_was_before(self) -> None:
        self.log.note(change_log.Step(1, 2, False))
        self.log.note(change_log.Step(4, 5, False))
        self.assertIsNone(self.log.find_since(1, 5))
        self.assertIsNotNone(self.log.find_since(4, 5))


def _find_age_ms(node: gateway_cluster.Node) -> float:
    context = node.gateway.context
    return context.view.settings_age_ms(context.env.now_ms())


def _cut_off(scene: gateway_scene.Scene, name: str) -> None:
    cut = gateway_cluster.virtual_network.Cut(name, "store")
    scene.cluster.network.cuts.append(cut)


class SettingsCopyTest(unittest.TestCase):
    @hypothesis.given(strategies.binary(max_size=9_000))
    @hypothesis.settings(max_examples=50, deadline=None)
    def test_parts_make_the_document(self, document: bytes) -> None:
        parts = document_parts.split(document)
        self.assertEqual(document_parts.join(parts), document)
        self.assertIsNone(document_parts.join(parts[:-1]))

    def test_what_is_no_document(self) -> None:
        self.assertIsNone(document_parts.join((b"?",)))
        self.assertIsNone(document_parts.join(()))
        too_large = bytes(document_parts.MAX_DOCUMENT_BYTES + 1)
        self.assertIsNone(document_parts.join(document_parts.split(too_large)))


class HallTest(unittest.TestCase):
    """One hall with more VMs than readers."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def play(self, scene) -> None:  # noqa: ANN001
        gateway_scene.play(scene, vms=_HALL, halls=1)

    def test_calls_of_the_store_go_by_readers(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            before = store.calls
            seconds = 10.0
            await asyncio.sleep(seconds)
            # Each VM for itself asks every 1.3 s: 69 calls in this time.
            self.assertLess(store.calls - before, 1 + seconds / 0.97)
            for node in scene.cluster.vms.values():
                self.assertLess(_find_age_ms(node), 1_500.0)

        self.play(scene)

    def test_changes_reach_all_in_time(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            node = scene.cluster.targets["service-0"]
            scene.cluster.list_target(node, node.replica, "draining")
            scene.cluster.keys = {"w1": [gateway_cluster.KEY], "w2": ["new"]}
            scene.cluster.publish()
            await asyncio.sleep(1.9)
            for name, vm in scene.cluster.vms.items():
                got = await scene.call("unsafe", name, key="new")
                self.assertEqual(got.status, 200)
                view = vm.gateway.context.view
                (found,) = [
                    each
                    for each in view.listing.targets
                    if each.target_id == node.replica.name
                ]
                self.assertIs(found.condition, condition.Condition.LEAVING)

        self.play(scene)

    def test_vms_that_the_store_is_cut_from_go_by_peers(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            names = list(scene.cluster.vms)
            for name in names[:6]:
                _cut_off(scene, name)
            await asyncio.sleep(9.0)
            for name in names:
                self.assertEqual((await scene.call("unsafe", name)).status, 200)
                self.assertEqual(await scene.caller.ask_ready(name), 200)
            # A key that is removed meanwhile is refused by them all the same.
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(gateway_cluster.REVOKE_MS / 1000.0)
            for name in names:
                got = await scene.call("unsafe", name)
                self.assertEqual((got.status, scene.runs(got)), (401, []))
                got = await scene.call("unsafe", name, key="another")
                self.assertEqual(got.status, 200)

        self.play(scene)

    def test_settings_that_change_are_read_by_one_vm(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            routes = gateway_cluster.make_idle_routes(1_500)
            # 10 Mbit/s; settings of about 340 KB.
            cluster.network.thin_links["vm-3"] = 1_250_000.0
            cluster.publish(routes=routes)
            before = cluster.store.calls
            seconds = 6.0
            for _ in range(3):
                await asyncio.sleep(seconds / 3.0)
                for vm in cluster.vms.values():
                    view = vm.gateway.context.view
                    self.assertEqual(view.catalog.revision, cluster.revision)
                cluster.publish(routes=routes)
            # Each VM for itself would read each of the changes besides.
            self.assertLessEqual(
                cluster.store.calls - before, 2 + seconds / 0.9
            )

        self.play(scene)

    def test_settings_that_are_no_settings_are_read_from_the_store(
        self,
    ) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for node in scene.cluster.vms.values():
                settings = node.gateway._sync.settings
                settings.answer = lambda question, *_: (
                    document_part.DocumentPart(question, 1, b"?")
                )
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(1.9)
            for name in scene.cluster.vms:
                got = await scene.call("unsafe", name, key="another")
                self.assertEqual(got.status, 200)

        self.play(scene)

    def test_no_proof_goes_round_while_the_store_is_away(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            scene.cluster.store.trouble = "busy"
            await asyncio.sleep(5.0)
            for name, node in scene.cluster.vms.items():
                self.assertGreater(_find_age_ms(node), 4_800.0)
                self.assertEqual((await scene.call("unsafe", name)).status, 503)
            before = scene.cluster.store.calls
            await asyncio.sleep(10.0)
            # Each VM for itself would ask every 0.4 s: 225 calls in this time.
            self.assertLess(scene.cluster.store.calls - before, 130)
            scene.cluster.store.trouble = ""
            await asyncio.sleep(1.5)
            for node in scene.cluster.vms.values():
                self.assertLess(_find_age_ms(node), 1_500.0)

        self.play(scene)

    def test_lapsed_entries_do_not_empty_a_hall_with_followers(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            store = scene.cluster.store
            store.trouble = "busy"
            await asyncio.sleep(4.0)
            for node in scene.cluster.targets.values():
                scene.cluster.unlist_target(node)
            store.trouble = ""
            # Those that live are listed again 1.2 s later at the latest.
            for _ in range(12):
                await asyncio.sleep(0.1)
                for vm in scene.cluster.vms.values():
                    listed = vm.gateway.context.view.listing.targets
                    self.assertEqual(len(listed), len(scene.cluster.targets))

        self.play(scene)

    def test_reader_that_the_store_turned_away_reads_again(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            exchange = scene.cluster.vms["vm-0"].gateway._peers
            reader = exchange.rank_hall()[0].partition(":")[0]
            _cut_off(scene, reader)
            await asyncio.sleep(6.0)
            sync = scene.cluster.vms[reader].gateway._sync
            self.assertLess(_find_age_ms(scene.cluster.vms[reader]), 2_500.0)
            scene.cluster.network.cuts.clear()
            await asyncio.sleep(3.0)
            self.assertFalse(sync._reader._is_unavailable)

        self.play(scene)

    def test_readers_that_die_are_made_good(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            exchange = scene.cluster.vms["vm-0"].gateway._peers
            readers = {
                name.partition(":")[0]
                for name in exchange.rank_hall()[: freshness.READERS_PER_HALL]
            }
            for name in readers:
                scene.cluster.kill(scene.cluster.vms[name])
            for _ in range(30):
                await asyncio.sleep(0.3)
                for name, node in scene.cluster.vms.items():
                    if name not in readers:
                        self.assertLess(_find_age_ms(node), 2_000.0)

        self.play(scene)

    def test_news_that_lie_change_nothing(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for node in scene.cluster.vms.values():
                sync = node.gateway._sync
                sync.answer_changes_request = lambda wanted: news.News(
                    wanted.question, 9_999, -5_000.0, True
                )
            scene.cluster.keys = {"w1": ["another"]}
            scene.cluster.publish()
            await asyncio.sleep(gateway_cluster.REVOKE_MS / 1000.0)
            for name in scene.cluster.vms:
                got = await scene.call("unsafe", name)
                self.assertEqual((got.status, scene.runs(got)), (401, []))

        self.play(scene)
