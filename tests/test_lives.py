"""Targets that start again under the name that they had.

A target that was ever seen leaving stayed so by its name. One that drained, and
came back under the same name, was never used again by any VM; one that had
crashed was still paused for the failures of its former life.
"""

import asyncio
import dataclasses
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import draining
from ruddergate.entry import config as configs
from ruddergate.entry import reservation_keeper
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import scheduler_messages
from ruddergate.entry import target_list
from ruddergate.entry import view as views
from ruddergate.fleet import bad_news
from ruddergate.fleet import condition
from ruddergate.fleet import life as lives
from ruddergate.fleet import load_report
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.relay import published
from standins import virtual_network
from standins import virtual_process
from tests import gateway_scene
from tests import test_scheduler

_GRACE = target_list.Grace(float("-inf"), float("inf"))
# Entries are read every 1.3 s here.
_SEEN_S = 1.4
_POSITION = store_position.StorePosition(1, 1)


def _make_target(
    born_ms: int, state: condition.Condition = condition.Condition.LIVE
) -> targets.Target:
    return targets.Target(
        "engine-1",
        "engines",
        "h",
        environment.Address("engine-1", 1),
        state,
        8,
        born_ms,
    )


class LifeTest(unittest.TestCase):
    def test_words_of_lives_are_read_back(self) -> None:
        for life in (lives.Life("a"), lives.Life("a@b", 7), lives.Life("a", 7)):
            if life.target_id == "a@b" and not life.born_ms:
                continue
            text = lives.format_life(life)
            self.assertEqual(lives.parse_life(text), life)

    def test_word_of_an_earlier_release_is_a_name(self) -> None:
        self.assertEqual(lives.parse_life("i-5"), lives.Life("i-5"))
        self.assertEqual(lives.parse_life("i@x"), lives.Life("i@x"))


class TargetListTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def setUp(self) -> None:
        self.list = target_list.TargetList(draining.DrainState())

    def _take(self, *found: targets.Target, gone: tuple[str, ...] = ()) -> None:
        changes = published.Changes(_POSITION, None, found, gone, ())
        self.list.apply_changes(changes, False, 0.0, _GRACE)

    def _find(self) -> targets.Target | None:
        return next(iter(self.list.list_targets()), None)

    def test_leaving_binds_the_life_that_left(self) -> None:
        leaving = _make_target(5, condition.Condition.LEAVING)
        self._take(_make_target(5))
        self._take(leaving, _make_target(5))
        self.assertIs(self._find().condition, condition.Condition.LEAVING)
        self._take(_make_target(6))
        self.assertIs(self._find().condition, condition.Condition.LIVE)

    def test_late_news_of_the_older_life_changes_nothing(self) -> None:
        self._take(_make_target(6))
        self._take(_make_target(5, condition.Condition.LEAVING))
        self.assertEqual(self._find(), _make_target(6))
        self._take(gone=("engine-1",))
        self._take(_make_target(5))
        self.assertIsNone(self._find())

    def test_peer_that_does_not_tell_lives_is_not_gone_by(self) -> None:
        self._take(_make_target(6))
        self.assertTrue(self.list.lacks_incarnation(_make_target(0)))
        self.assertFalse(self.list.lacks_incarnation(_make_target(6)))
        other = dataclasses.replace(_make_target(0), target_id="engine-2")
        self.assertFalse(self.list.lacks_incarnation(other))


class SchedulerTest(unittest.TestCase):
    """What was learnt of a former life says nothing of the next."""

    def _play(self, *messages: object, lost: str = "") -> bool:
        """Returns whether the new life may be used after late news."""
        told: list[bad_news.BadNews] = []

        async def run() -> bool:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm", "h")
            env = network.make_environment(process, 1)
            view = test_scheduler._make_view()
            scheduler = schedulers.Scheduler(
                env,
                configs.EntryConfig("vm", "h", environment.Address("vm", 1)),
                view,
                collect_loss_report=lambda: (
                    told.pop() if told else bad_news.NOTHING
                ),
            )
            process.start(scheduler.run)
            for born_ms in (5, 6):
                view.apply_targets((_make_target(born_ms),), env.now_ms())
                scheduler.post(schedulers.ViewChanged())
                await asyncio.sleep(0.1)
            told.extend([bad_news.BadNews(gone=(lost,))] if lost else [])
            for message in messages:
                scheduler.post(message)
            await asyncio.sleep(0.55)
            now_ms = env.now_ms()
            return scheduler.list_estimates()[0].is_usable(now_ms)

        return virtual_process.run(run)

    def test_failures_of_the_former_life(self) -> None:
        for born_ms, is_used in ((5, True), (6, False)):
            seat = scheduler_messages.Placement(
                _make_target(born_ms), "attempt", 0
            )
            ended = scheduler_messages.AttemptEnded(
                seat, is_target_fault=True, has_answered=False
            )
            self.assertIs(self._play(*[ended] * 4), is_used)

    def test_reports_of_the_former_life(self) -> None:
        for born_ms, is_used in ((5, True), (6, False)):
            report = load_report.LoadReport(
                "engine-1", "g", 0, 0, 0, True, 0.0, born_ms
            )
            self.assertIs(
                self._play(scheduler_messages.LoadReported(report)), is_used
            )

    def test_losses_told_by_peers(self) -> None:
        self.assertTrue(self._play(lost="engine-1@5"))
        self.assertFalse(self._play(lost="engine-1@6"))
        # A peer of an earlier release names no life.
        self.assertFalse(self._play(lost="engine-1"))


class MemoryTest(unittest.TestCase):
    def test_memory_is_not_set_aside_anew_in_the_next_life(self) -> None:
        given: list[str] = []

        async def note(name: str) -> orders.Answer:
            given.append(name)
            return orders.Answer.DONE

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm", "h")
            view = views.View()
            keeper = reservation_keeper.ReservationKeeper(
                network.make_environment(process, 1),
                orders.Orders(
                    lambda held, hold_ms: note("reserve"),
                    lambda held: note("release"),
                    lambda target: note("sign"),
                ),
                view.is_superseded,
            )
            held = orders.Reservation(_make_target(5), "m", 1_000)
            await keeper.reserve([held], "r")
            await asyncio.sleep(1.0)
            view.apply_targets((_make_target(6),), 0.0)
            await asyncio.sleep(3.0)

        virtual_process.run(run)
        self.assertEqual(given, ["reserve", "reserve"])


class FleetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_service_that_drained_and_came_back_is_used_at_once(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            engines = [
                node
                for name, node in cluster.targets.items()
                if name.startswith("engine")
            ]
            for node in engines:
                cluster.list_target(node, node.replica, "draining")
                node.process.kill()
            await asyncio.sleep(_SEEN_S)
            for node in engines:
                cluster.kill(node)
                cluster.start_target(node)
            await asyncio.sleep(_SEEN_S)
            for vm in cluster.vms:
                got = await scene.call("short", vm)
                self.assertEqual((got.status, got.is_complete), (200, True))

        gateway_scene.play(scene, engines=4, reuses_names=True)
