"""Losses of targets that VMs tell each other: what is told, who believes it."""

import asyncio
import unittest

import loguru

from ruddergate.decisions import loss_reports
from ruddergate.decisions import reachability
from ruddergate.fleet import bad_news
from ruddergate.fleet import life as lives
from standins import gateway_cluster
from tests import gateway_fixture

_VMS = 8
_HALL = "h"


class LossesFoundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.losses = loss_reports.LossReports()

    def test_loss_is_told_for_a_while(self) -> None:
        self.losses.note_reached(_HALL, lives.Life("t1"), 0.0)
        self.assertTrue(
            self.losses.note_unreachable(_HALL, lives.Life("t2"), False, 10.0)
        )
        self.assertTrue(
            self.losses.note_unreachable(_HALL, lives.Life("t3"), True, 10.0)
        )
        told = bad_news.BadNews(gone=("t2",), silent=("t3",))
        self.assertEqual(self.losses.summarize(500.0), told)
        late_ms = 11.0 + loss_reports.REPORT_DURATION_MS
        self.assertIs(self.losses.summarize(late_ms), bad_news.NOTHING)

    def test_target_that_answers_is_not_lost(self) -> None:
        self.losses.note_reached(_HALL, lives.Life("t1"), 0.0)
        self.losses.note_unreachable(_HALL, lives.Life("t2"), True, 10.0)
        self.losses.note_reached(_HALL, lives.Life("t2"), 20.0)
        self.assertIs(self.losses.summarize(30.0), bad_news.NOTHING)

    def test_vm_that_is_cut_off_tells_nothing(self) -> None:
        self.assertFalse(
            self.losses.note_unreachable(_HALL, lives.Life("t1"), True, 0.0)
        )
        self.losses.note_reached(_HALL, lives.Life("t1"), 0.0)
        late_ms = loss_reports.HALL_REACHED_MS + 1.0
        self.assertFalse(
            self.losses.note_unreachable(
                _HALL, lives.Life("t2"), False, late_ms
            )
        )
        # Nor does one that loses many at once.
        self.losses.note_reached(_HALL, lives.Life("t1"), late_ms)
        for number in range(loss_reports.MAX_REPORTED + 1):
            self.losses.note_unreachable(
                _HALL, lives.Life(f"e{number}"), False, late_ms
            )
        self.assertIs(self.losses.summarize(late_ms), bad_news.NOTHING)

    def test_only_what_holds_elsewhere_is_taken_from_another_hall(self) -> None:
        told = bad_news.BadNews(("a",), ("b",), ("h2",))
        self.assertEqual(loss_reports.select_applicable(told, True), told)
        self.assertEqual(
            loss_reports.select_applicable(told, False),
            bad_news.BadNews(("a",)),
        )

    def test_what_was_told_before_is_no_news(self) -> None:
        before = bad_news.BadNews(("a",))
        told = bad_news.BadNews(("a", "b"))
        new = loss_reports.find_new(told, before)
        self.assertEqual(new, bad_news.BadNews(("b",)))
        self.assertEqual(loss_reports.merge([new, new, told]).gone, ("b", "a"))

    def test_hall_that_peers_lost_is_passed_over_once(self) -> None:
        found = reachability.Reachability()
        self.assertTrue(found.note_reported(_HALL, 0.0))
        self.assertFalse(found.note_reported(_HALL, 1.0))
        self.assertTrue(found.is_suspect(_HALL, 1.0))
        self.assertFalse(
            found.is_suspect(_HALL, reachability.MIN_AVOID_MS + 1.0)
        )


class FleetTest(unittest.TestCase):
    def test_engines_that_died_are_found_by_few(self) -> None:
        failed = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await _call_steadily(fixture, 40)
            for name in ("engine-1", "engine-4", "engine-7", "engine-9"):
                fixture.cluster.kill(fixture.cluster.targets[name])
            loguru.logger.add(failed.append, filter=_is_failed_attempt)
            await _call_steadily(fixture, 120)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=_VMS, halls=1, engines=12)
        # 89 tries failed while each VM found each dead engine by itself.
        self.assertLessEqual(len(failed), 30)

    def test_vms_of_another_hall_keep_to_their_own_view(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            network = gateway_cluster.virtual_network
            # One hall loses the other; the third one loses nothing.
            fixture.cluster.network.cuts.append(network.Cut("hall-0", "hall-1"))
            for _ in range(6):
                await fixture.call("long", "vm-0", prompt_tokens=300_000)
            gateway = fixture.cluster.vms["vm-2"].gateway
            scheduler = gateway.context.scheduler
            now_ms = gateway.context.env.now_ms()
            self.assertFalse(scheduler._losses.is_suspect("hall-1", now_ms))

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=6, halls=3, engines=9)


async def _call_steadily(fixture: gateway_fixture.Fixture, count: int) -> None:
    async def call(number: int) -> None:
        await asyncio.sleep(number * 0.02)
        got = await fixture.call("short", f"vm-{number % _VMS}")
        assert got.status == 200

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(call(number))


def _is_failed_attempt(record: dict) -> bool:
    return record["message"].startswith("Attempt failed")
