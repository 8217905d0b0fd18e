"""What an exception in each task of a gateway ends.

Guards against tasks whose internal errors end more than the rule of
docs/design/boundaries.md allows, or are reported nowhere. A task that is new
must be classified here.
"""

import ast
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import gc
import pathlib
import unittest
from unittest import mock

import loguru

from ruddergate.entry import crash_detector
from ruddergate.entry import detour_client
from ruddergate.entry import detour_server
from ruddergate.entry import drain_check
from ruddergate.entry import end_verifier
from ruddergate.entry import failover
from ruddergate.entry import gateway as gateways
from ruddergate.entry import overload
from ruddergate.entry import peer_gossip
from ruddergate.entry import peer_reader
from ruddergate.entry import quarantine_gossip
from ruddergate.entry import rate_limiter
from ruddergate.entry import relay_handler
from ruddergate.entry import reservation_keeper
from ruddergate.entry import scheduler
from ruddergate.entry import store_sync
from ruddergate.entry import target_connector
from ruddergate.entry import target_liveness
from ruddergate.http import server as http_server
from standins import gateway_caller
from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_fixture
from tests import test_lost_links

_SOURCES = pathlib.Path(gateways.__file__).parent.parent
# Tasks of the other programs, and of tools.
_OTHER_PROGRAMS = (
    "agent/",
    "cli/",
    "experiments/",
    "entry/feed.py",
    "entry/keyed.py",
    "entry/program.py",
)
_STARTERS = ("create_task", "ensure_future")
_FAIL_AFTER_S = 1.0


class _Ends(enum.Enum):
    """What an exception in a task ends, by docs/design/boundaries.md."""

    PROCESS = enum.auto()
    REQUEST = enum.auto()
    CONNECTION = enum.auto()
    TASK = enum.auto()


# Each function that starts tasks; how many calls start one, and what ends with
# such a task.
_TASKS = {
    "_private.wait_while_running": (1, _Ends.PROCESS),
    "entry.gateway.Gateway.run": (10, _Ends.PROCESS),
    "entry.connection_race.Race.run_both": (2, _Ends.REQUEST),
    "entry.connection_race.Race.run_detour_first": (2, _Ends.REQUEST),
    "entry.connection_race.Race.run_direct_first": (2, _Ends.REQUEST),
    "entry.failover.FailoverAttempt._wait_for_response": (1, _Ends.REQUEST),
    "entry.failover._Standby.__init__": (1, _Ends.REQUEST),
    "entry.first_event.read_first": (3, _Ends.REQUEST),
    "entry.peer_connector.PeerConnector._connect_through_any": (
        1,
        _Ends.REQUEST,
    ),
    "entry.detour_server._copy_until_end": (2, _Ends.CONNECTION),
    "environment.make_system_environment": (1, _Ends.CONNECTION),
    "http.hedged_fetch.fetch_hedged": (1, _Ends.PROCESS),
    "http.hedged_fetch._wait_for_head": (1, _Ends.PROCESS),
    "http.server._handle_request": (2, _Ends.CONNECTION),
    "entry.canceller.Canceller.post": (1, _Ends.TASK),
    "entry.crash_detector.CrashDetector.on_lost_call": (1, _Ends.TASK),
    "entry.end_verifier.EndVerifier.verify": (1, _Ends.TASK),
    "entry.rate_transfers.RateTransfers.acquire": (1, _Ends.TASK),
    "entry.reservation_keeper.ReservationKeeper.probe": (1, _Ends.REQUEST),
    "entry.reservation_keeper.ReservationKeeper._start_renewal": (
        1,
        _Ends.TASK,
    ),
    "entry.start_check.ask": (1, _Ends.TASK),
    "entry.target_liveness.TargetLiveness.check": (1, _Ends.TASK),
    "entry.target_connector.TargetConnector.run": (1, _Ends.TASK),
}
_PROCESS_TASKS = (
    (scheduler.Scheduler, "run"),
    (store_sync.StoreSync, "run"),
    (store_sync.StoreSync, "watch_staleness"),
    (peer_gossip.PeerGossip, "run"),
    (quarantine_gossip.QuarantineGossip, "run"),
    (drain_check.DrainCheck, "run"),
    (rate_limiter.RateLimiter, "run"),
    (target_connector.TargetConnector, "run"),
    (overload.OverloadDetector, "run"),
    (gateways.Gateway, "_serve_peers"),
)


class _InjectedError(Exception):
    """An internal error."""


async def _fail(*args: object, **kwargs: object) -> None:
    raise _InjectedError


async def _fail_later(*args: object, **kwargs: object) -> None:
    await asyncio.sleep(_FAIL_AFTER_S)
    raise _InjectedError


def _count_starts(path: pathlib.Path) -> dict[str, int]:
    """Returns how many calls in each function of a module start a task."""
    module = ".".join(path.relative_to(_SOURCES).with_suffix("").parts)
    counts: dict[str, int] = {}

    def visit(node: ast.AST, scope: str, is_function: bool) -> None:
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in _STARTERS
        ):
            counts[scope] = counts.get(scope, 0) + 1
        is_definition = isinstance(
            node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
        )
        if is_definition and not is_function:
            scope = f"{scope}.{node.name}"
            is_function = not isinstance(node, ast.ClassDef)
        for child in ast.iter_child_nodes(node):
            visit(child, scope, is_function)

    visit(ast.parse(path.read_text()), module, False)
    return counts


class EnumerationTest(unittest.TestCase):
    def test_each_task_has_a_rule(self) -> None:
        found: dict[str, int] = {}
        for path in sorted(_SOURCES.rglob("*.py")):
            name = str(path.relative_to(_SOURCES))
            if not name.startswith(_OTHER_PROGRAMS):
                found |= _count_starts(path)
        self.maxDiff = None
        known = {name: count for name, (count, _) in _TASKS.items()}
        self.assertEqual(found, known)

    def test_each_task_of_the_process_is_tested(self) -> None:
        count, _ = _TASKS["entry.gateway.Gateway.run"]
        self.assertEqual(len(_PROCESS_TASKS), count)


class _TaskTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def check_survives(
        self,
        owner: object,
        name: str,
        trigger: Callable[[gateway_fixture.Fixture], Awaitable[None]],
        **sizes: int,
    ) -> None:
        """Checks that a task that fails ends no process and is reported."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            reported = _collect_reported()
            with mock.patch.object(owner, name, side_effect=_fail) as failing:
                await trigger(fixture)
            self.assertTrue(failing.called)
            fixture.cluster.network.cuts.clear()
            await asyncio.sleep(2.0)
            gc.collect()
            self.assertIn(_InjectedError, reported)
            for vm, node in fixture.cluster.vms.items():
                self.assertFalse(node.task.done(), vm)
                self.assertEqual((await fixture.call("safe", vm)).status, 200)

        gateway_fixture.run_scenario(scenario, **sizes)


def _collect_reported() -> list[type]:
    """Returns a list that types of unhandled exceptions are added to."""
    reported = []

    def handle(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        reported.append(type(context.get("exception")))

    asyncio.get_running_loop().set_exception_handler(handle)
    return reported


class ProcessTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_broken_invariant_ends_the_process(self) -> None:
        for owner, name in _PROCESS_TASKS:
            with self.subTest(owner=owner.__name__):
                self._check_ends(owner, name)

    def _check_ends(self, owner: type, name: str) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            with mock.patch.object(owner, name, _fail_later):
                node = cluster.vms["vm-1"]
                cluster.kill(node)
                cluster.start_vm(node)
                await asyncio.wait({node.task}, timeout=2.0 * _FAIL_AFTER_S)
            self.assertTrue(node.task.done())
            self.assertIsInstance(node.task.exception(), _InjectedError)
            self.assertEqual((await fixture.call("safe", "vm-0")).status, 200)

        gateway_fixture.run_scenario(scenario, vms=2, halls=1)


class RequestTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check_ends_request(
        self,
        owner: object,
        name: str,
        send: Callable[
            [gateway_fixture.Fixture], Awaitable[gateway_caller.CallResult]
        ],
        **sizes: int,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            _collect_reported()
            with mock.patch.object(owner, name, side_effect=_fail) as failing:
                result = await send(fixture)
            self.assertTrue(failing.called)
            self.assertEqual(result.status, 502)
            self.assertIn(b'"ran":"unknown"', result.body)
            fixture.cluster.network.cuts.clear()
            await asyncio.sleep(2.0)
            held = [r.held_tokens() for r in fixture.cluster.all_replicas]
            self.assertEqual(sum(held), 0)
            for vm, node in fixture.cluster.vms.items():
                self.assertFalse(node.task.done(), vm)
                self.assertEqual((await fixture.call("safe", vm)).status, 200)

        gateway_fixture.run_scenario(scenario, **sizes)

    def test_handler(self) -> None:
        self._check_ends_request(
            relay_handler.RelayHandler,
            "handle",
            lambda fixture: fixture.call("unsafe"),
        )

    def test_direct_way_to_a_target(self) -> None:
        self._check_ends_request(
            target_connector.TargetConnector,
            "connect_directly",
            lambda fixture: fixture.call("unsafe"),
        )

    def test_way_through_a_peer(self) -> None:
        def send(
            fixture: gateway_fixture.Fixture,
        ) -> Awaitable[gateway_caller.CallResult]:
            test_lost_links.cut_from_targets(
                fixture.cluster, 1, virtual_network.CutMode.SILENT
            )
            return fixture.call("unsafe")

        self._check_ends_request(detour_client, "connect", send)

    def test_watch_on_the_writer_of_a_large_prompt(self) -> None:
        self._check_ends_request(
            reservation_keeper.ReservationKeeper,
            "wait_until_silent",
            lambda fixture: fixture.call(
                "long",
                prompt_tokens=800_000,
                output_tokens=460,
                time_limit_ms=15_000.0,
            ),
            engines=8,
        )


class StandbyTest(_TaskTest):
    def test_attempt_beside_a_silent_target(self) -> None:
        async def trigger(fixture: gateway_fixture.Fixture) -> None:
            pending = asyncio.ensure_future(
                fixture.call("short", output_tokens=2_000)
            )
            await asyncio.sleep(0.4)
            silent = _find_busy_engine(fixture)
            silent.process.freeze()
            await asyncio.sleep(2.0)
            silent.process.resume()
            self.assertFalse((await pending).is_complete)

        self.check_survives(failover._Standby, "_run", trigger)


class ConnectionTest(_TaskTest):
    def test_carried_connection(self) -> None:
        async def trigger(fixture: gateway_fixture.Fixture) -> None:
            test_lost_links.cut_from_targets(
                fixture.cluster, 1, virtual_network.CutMode.SILENT
            )
            await fixture.call("unsafe")

        self.check_survives(detour_server, "_copy_from_target", trigger)

    def test_connection_of_a_caller(self) -> None:
        async def trigger(fixture: gateway_fixture.Fixture) -> None:
            result = await fixture.call("unsafe")
            self.assertEqual(result.status, 0)

        self.check_survives(http_server, "_respond", trigger)


class BackgroundTest(_TaskTest):
    def test_probe_of_a_target_that_lost_a_request(self) -> None:
        self.check_survives(
            crash_detector.CrashDetector, "_probe_repeatedly", _crash_engine
        )

    def test_target_is_probed_again_after_an_internal_error(self) -> None:
        """An unfinished probe must not stand for all later ones."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            _collect_reported()
            detector = crash_detector.CrashDetector
            with mock.patch.object(
                detector, "_probe_repeatedly", side_effect=_fail
            ) as failing:
                fixture.inject_faults("engine", break_off=1.0)
                for count in (1, 2):
                    result = await fixture.call("once")
                    self.assertFalse(result.is_complete)
                    await asyncio.sleep(0.5)
                    self.assertEqual(failing.call_count, count)

        gateway_fixture.run_scenario(scenario, vms=1, halls=1, engines=1)

    def test_verifier_of_an_end(self) -> None:
        self.check_survives(
            end_verifier.EndVerifier, "_find_verdict", _crash_engine
        )

    def test_question_to_a_peer_at_the_start(self) -> None:
        async def trigger(fixture: gateway_fixture.Fixture) -> None:
            node = fixture.cluster.vms["vm-1"]
            fixture.cluster.kill(node)
            fixture.cluster.start_vm(node)
            await asyncio.sleep(0.5)

        self.check_survives(peer_reader.PeerReader, "request_at_start", trigger)

    def test_renewal_of_reserved_memory(self) -> None:
        self.check_survives(
            reservation_keeper.ReservationKeeper,
            "_renew",
            _send_huge_prompt,
            engines=8,
        )

    def test_probe_of_a_target_that_uses_reserved_memory(self) -> None:
        self.check_survives(
            target_liveness.TargetLiveness,
            "_probe_target",
            _send_huge_prompt,
            engines=8,
        )

    def test_probe_of_a_vm_that_reaches_no_target(self) -> None:
        async def trigger(fixture: gateway_fixture.Fixture) -> None:
            test_lost_links.cut_from_targets(
                fixture.cluster, 3, virtual_network.CutMode.SILENT
            )
            await test_lost_links.call_all_vms(fixture, 3.0)

        self.check_survives(
            target_connector.TargetConnector, "_probe_all_ways", trigger
        )


def _find_busy_engine(
    fixture: gateway_fixture.Fixture,
) -> gateway_cluster.Node:
    return next(
        node
        for node in fixture.cluster.targets.values()
        if node.replica.runs and node.replica.engine
    )


async def _send_huge_prompt(fixture: gateway_fixture.Fixture) -> None:
    await fixture.call(
        "long",
        prompt_tokens=800_000,
        output_tokens=460,
        time_limit_ms=15_000.0,
    )


async def _crash_engine(fixture: gateway_fixture.Fixture) -> None:
    pending = asyncio.ensure_future(fixture.call("short", output_tokens=2_000))
    await asyncio.sleep(0.4)
    fixture.cluster.crash_target(_find_busy_engine(fixture))
    await pending
    await asyncio.sleep(2.0)
