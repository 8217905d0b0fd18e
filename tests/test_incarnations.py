"""Targets that restart under the same name.

Guards against state that is kept by a target's name alone. A target that had
drained and restarted under the same name was never used again by any VM, and
one that had crashed still backed off for the failures of its former
incarnation.
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
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import load_report
from ruddergate.fleet import loss_report
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.relay import orders
from ruddergate.relay import published
from standins import virtual_network
from standins import virtual_process
from tests import gateway_fixture
from tests import test_scheduler

_GRACE = target_list.Grace(float("-inf"), float("inf"))
# The store is read every 1.3 s here.
_LIST_READ_S = 1.4
_POSITION = store_position.StorePosition(1, 1)


def _make_target(
    started_ms: int, state: condition.Condition = condition.Condition.LIVE
) -> targets.Target:
    return targets.Target(
        "engine-1",
        "engines",
        "h",
        environment.Address("engine-1", 1),
        state,
        8,
        started_ms,
    )


class IncarnationTest(unittest.TestCase):
    def test_formatted_incarnations_are_parsed(self) -> None:
        for incarnation in (
            incarnations.Incarnation("a"),
            incarnations.Incarnation("a@b", 7),
            incarnations.Incarnation("a", 7),
        ):
            if incarnation.target_id == "a@b" and not incarnation.started_ms:
                continue
            text = incarnations.format_incarnation(incarnation)
            self.assertEqual(incarnations.parse_incarnation(text), incarnation)

    def test_text_of_an_earlier_release_is_a_name(self) -> None:
        self.assertEqual(
            incarnations.parse_incarnation("i-5"),
            incarnations.Incarnation("i-5"),
        )
        self.assertEqual(
            incarnations.parse_incarnation("i@x"),
            incarnations.Incarnation("i@x"),
        )


class TargetListTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def setUp(self) -> None:
        self.list = target_list.TargetList(draining.DrainState())

    def _apply(
        self, *changed: targets.Target, removed: tuple[str, ...] = ()
    ) -> None:
        changes = published.Changes(_POSITION, None, changed, removed, ())
        self.list.apply_changes(changes, False, 0.0, _GRACE)

    def _find_listed(self) -> targets.Target | None:
        return next(iter(self.list.list_targets()), None)

    def test_draining_applies_to_one_incarnation(self) -> None:
        draining_target = _make_target(5, condition.Condition.DRAINING)
        self._apply(_make_target(5))
        self._apply(draining_target, _make_target(5))
        self.assertIs(
            self._find_listed().condition, condition.Condition.DRAINING
        )
        self._apply(_make_target(6))
        self.assertIs(self._find_listed().condition, condition.Condition.LIVE)

    def test_late_entries_of_an_older_incarnation_have_no_effect(self) -> None:
        self._apply(_make_target(6))
        self._apply(_make_target(5, condition.Condition.DRAINING))
        self.assertEqual(self._find_listed(), _make_target(6))
        self._apply(removed=("engine-1",))
        self._apply(_make_target(5))
        self.assertIsNone(self._find_listed())

    def test_target_without_a_start_time_lacks_its_incarnation(self) -> None:
        self._apply(_make_target(6))
        self.assertTrue(self.list.lacks_incarnation(_make_target(0)))
        self.assertFalse(self.list.lacks_incarnation(_make_target(6)))
        other = dataclasses.replace(_make_target(0), target_id="engine-2")
        self.assertFalse(self.list.lacks_incarnation(other))


class SchedulerStateTest(unittest.TestCase):
    """State of a former incarnation does not apply to the next one."""

    def _is_usable_after(self, *messages: object, lost: str = "") -> bool:
        """Returns whether the new incarnation is usable after late messages."""
        pending_reports: list[loss_report.LossReport] = []

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
                    pending_reports.pop()
                    if pending_reports
                    else loss_report.EMPTY
                ),
            )
            process.start(scheduler.run)
            for started_ms in (5, 6):
                view.apply_targets((_make_target(started_ms),), env.now_ms())
                scheduler.post(schedulers.ViewChanged())
                await asyncio.sleep(0.1)
            pending_reports.extend(
                [loss_report.LossReport(terminated=(lost,))] if lost else []
            )
            for message in messages:
                scheduler.post(message)
            await asyncio.sleep(0.55)
            now_ms = env.now_ms()
            return scheduler.list_estimates()[0].is_usable(now_ms)

        return virtual_process.run(run)

    def test_failures_of_the_former_incarnation(self) -> None:
        for started_ms, is_used in ((5, True), (6, False)):
            placement = scheduler_messages.Placement(
                _make_target(started_ms), "attempt", 0
            )
            ended = scheduler_messages.AttemptEnded(
                placement, is_target_fault=True, has_answered=False
            )
            self.assertIs(self._is_usable_after(*[ended] * 4), is_used)

    def test_load_reports_of_the_former_incarnation(self) -> None:
        for started_ms, is_used in ((5, True), (6, False)):
            report = load_report.LoadReport(
                "engine-1", "g", 0, 0, 0, True, 0.0, started_ms
            )
            self.assertIs(
                self._is_usable_after(scheduler_messages.LoadReported(report)),
                is_used,
            )

    def test_losses_reported_by_peers(self) -> None:
        self.assertTrue(self._is_usable_after(lost="engine-1@5"))
        self.assertFalse(self._is_usable_after(lost="engine-1@6"))
        # A peer of an earlier release names no incarnation.
        self.assertFalse(self._is_usable_after(lost="engine-1"))


class ReservedMemoryTest(unittest.TestCase):
    def test_reservation_is_not_renewed_with_the_next_incarnation(self) -> None:
        sent_orders: list[str] = []

        async def record_order(name: str) -> orders.OrderResult:
            sent_orders.append(name)
            return orders.OrderResult.DONE

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm", "h")
            view = views.View()
            keeper = reservation_keeper.ReservationKeeper(
                network.make_environment(process, 1),
                orders.Orders(
                    lambda held, hold_ms: record_order("reserve"),
                    lambda held: record_order("release"),
                    lambda target: record_order("sign"),
                ),
                view.is_superseded,
            )
            held = orders.Reservation(_make_target(5), "m", 1_000)
            await keeper.reserve([held], "r")
            await asyncio.sleep(1.0)
            view.apply_targets((_make_target(6),), 0.0)
            await asyncio.sleep(3.0)

        virtual_process.run(run)
        self.assertEqual(sent_orders, ["reserve", "reserve"])


class RestartedServiceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_service_that_drained_and_restarted_is_used_at_once(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            engines = [
                node
                for name, node in cluster.targets.items()
                if name.startswith("engine")
            ]
            for node in engines:
                cluster.list_target(node, node.replica, "draining")
                node.process.kill()
            await asyncio.sleep(_LIST_READ_S)
            for node in engines:
                cluster.kill(node)
                cluster.start_target(node)
            await asyncio.sleep(_LIST_READ_S)
            for vm in cluster.vms:
                result = await fixture.call("short", vm)
                self.assertEqual(
                    (result.status, result.is_complete), (200, True)
                )

        gateway_fixture.run_scenario(scenario, engines=4, reuses_names=True)
