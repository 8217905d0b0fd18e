"""Reports of unreachable targets between VMs: what is sent and applied."""

import asyncio
import random
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import loss_reports
from ruddergate.decisions import reachability
from ruddergate.entry import target_losses
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import loss_report
from ruddergate.fleet import target as targets
from standins import gateway_cluster
from tests import gateway_fixture

_VMS = 8
_HALL = "h"


class UnreachableHallTest(unittest.TestCase):
    """Halls that a VM reports as unreachable.

    A VM that loses its links finds all halls unreachable, one after the other.
    Its peers in the same hall would avoid all of them, for no reason.
    """

    def setUp(self) -> None:
        self.losses = target_losses.TargetLosses(random.Random(1))
        for number, hall in enumerate(("h0", "h1")):
            self.losses.note_answered(_make_target(hall, 9), 10.0 * number)

    def test_vm_that_reaches_nothing_reports_no_hall(self) -> None:
        for number in range(2):
            for hall in ("h0", "h1"):
                target = _make_target(hall, number)
                self.losses.note_unreachable(target, 100.0 + number)
        self.assertTrue(self.losses.is_suspect("h0", 110.0))
        self.assertEqual(self.losses.summarize(110.0).unreachable_halls, ())

    def test_vm_that_reaches_another_hall_reports_it(self) -> None:
        self.losses.note_unreachable(_make_target("h0", 1), 100.0)
        self.losses.note_answered(_make_target("h1", 1), 105.0)
        self.losses.note_unreachable(_make_target("h0", 2), 110.0)
        reported = self.losses.summarize(120.0).unreachable_halls
        self.assertEqual(reported, ("h0",))


def _make_target(hall: str, number: int) -> targets.Target:
    return targets.Target(
        f"{hall}-{number}",
        "pool",
        hall,
        environment.Address("host", 1),
        condition.Condition.LIVE,
    )


class LossReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.losses = loss_reports.LossReports()

    def test_loss_is_reported_until_it_expires(self) -> None:
        self.losses.note_reached(_HALL, incarnations.Incarnation("t1"), 0.0)
        self.assertTrue(
            self.losses.note_unreachable(
                _HALL, incarnations.Incarnation("t2"), False, 10.0
            )
        )
        self.assertTrue(
            self.losses.note_unreachable(
                _HALL, incarnations.Incarnation("t3"), True, 10.0
            )
        )
        reported = loss_report.LossReport(
            terminated=("t2",), unresponsive=("t3",)
        )
        self.assertEqual(self.losses.summarize(500.0), reported)
        expired_ms = 11.0 + loss_reports.REPORT_DURATION_MS
        self.assertIs(self.losses.summarize(expired_ms), loss_report.EMPTY)

    def test_target_that_responds_is_not_reported(self) -> None:
        self.losses.note_reached(_HALL, incarnations.Incarnation("t1"), 0.0)
        self.losses.note_unreachable(
            _HALL, incarnations.Incarnation("t2"), True, 10.0
        )
        self.losses.note_reached(_HALL, incarnations.Incarnation("t2"), 20.0)
        self.assertIs(self.losses.summarize(30.0), loss_report.EMPTY)

    def test_isolated_vm_reports_nothing(self) -> None:
        self.assertFalse(
            self.losses.note_unreachable(
                _HALL, incarnations.Incarnation("t1"), True, 0.0
            )
        )
        self.losses.note_reached(_HALL, incarnations.Incarnation("t1"), 0.0)
        expired_ms = loss_reports.HALL_REACHED_MS + 1.0
        self.assertFalse(
            self.losses.note_unreachable(
                _HALL, incarnations.Incarnation("t2"), False, expired_ms
            )
        )
        # Neither does one that loses many targets at once.
        self.losses.note_reached(
            _HALL, incarnations.Incarnation("t1"), expired_ms
        )
        for number in range(loss_reports.MAX_REPORTED + 1):
            self.losses.note_unreachable(
                _HALL, incarnations.Incarnation(f"e{number}"), False, expired_ms
            )
        self.assertIs(self.losses.summarize(expired_ms), loss_report.EMPTY)

    def test_only_applicable_losses_are_merged_from_another_hall(self) -> None:
        reported = loss_report.LossReport(("a",), ("b",), ("h2",))
        self.assertEqual(
            loss_reports.select_applicable(reported, True), reported
        )
        self.assertEqual(
            loss_reports.select_applicable(reported, False),
            loss_report.LossReport(("a",)),
        )

    def test_loss_reported_before_is_not_new(self) -> None:
        earlier = loss_report.LossReport(("a",))
        reported = loss_report.LossReport(("a", "b"))
        unreported = loss_reports.find_new(reported, earlier)
        self.assertEqual(unreported, loss_report.LossReport(("b",)))
        self.assertEqual(
            loss_reports.merge([unreported, unreported, reported]).terminated,
            ("b", "a"),
        )

    def test_hall_reported_by_peers_is_avoided_once(self) -> None:
        halls = reachability.Reachability()
        self.assertTrue(halls.note_reported(_HALL, 0.0))
        self.assertFalse(halls.note_reported(_HALL, 1.0))
        self.assertTrue(halls.is_suspect(_HALL, 1.0))
        self.assertFalse(
            halls.is_suspect(_HALL, reachability.MIN_AVOID_MS + 1.0)
        )


class LossGossipTest(unittest.TestCase):
    def test_few_attempts_detect_crashed_engines(self) -> None:
        failed = []

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            await _send_at_constant_rate(fixture, 40)
            for name in ("engine-1", "engine-4", "engine-7", "engine-9"):
                fixture.cluster.kill(fixture.cluster.targets[name])
            loguru.logger.add(failed.append, filter=_is_failed_attempt)
            await _send_at_constant_rate(fixture, 120)

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=_VMS, halls=1, engines=12)
        # 89 attempts failed when each VM had to detect every crash itself.
        self.assertLessEqual(len(failed), 30)

    def test_vms_of_another_hall_keep_their_own_view(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            network = gateway_cluster.virtual_network
            # One hall can't reach another; the third hall reaches both.
            fixture.cluster.network.cuts.append(network.Cut("hall-0", "hall-1"))
            for _ in range(6):
                await fixture.call("long", "vm-0", prompt_tokens=300_000)
            gateway = fixture.cluster.vms["vm-2"].gateway
            scheduler = gateway.context.scheduler
            now_ms = gateway.context.env.now_ms()
            self.assertFalse(scheduler._losses.is_suspect("hall-1", now_ms))

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=6, halls=3, engines=9)


async def _send_at_constant_rate(
    fixture: gateway_fixture.Fixture, count: int
) -> None:
    async def send_request(number: int) -> None:
        await asyncio.sleep(number * 0.02)
        result = await fixture.call("short", f"vm-{number % _VMS}")
        assert result.status == 200

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send_request(number))


def _is_failed_attempt(record: dict) -> bool:
    return record["message"].startswith("Attempt failed")
