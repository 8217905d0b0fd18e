"""An engine that leaves some requests unanswered is sent few others."""

import asyncio
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import own_work
from ruddergate.decisions.routing import boundary
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from standins import gateway_cluster
from tests import gateway_fixture

_VMS = 6


def _make_estimate() -> estimates.Estimate:
    target = targets.Target(
        "e",
        "p",
        "h",
        environment.Address("1.1.1.1", 1),
        condition.Condition.LIVE,
    )
    return estimates.Estimate(target, None)


class OverduePrefillTest(unittest.TestCase):
    def test_overdue_prefill_is_expected_to_go_on(self) -> None:
        estimate = _make_estimate()
        estimate.begin_attempt(
            "a", own_work.OwnWork(5_000, 5_000, 0.0, 1, 30.0)
        )
        self.assertEqual(estimate.remaining_prefill_ms(0.0), 30.0)
        self.assertEqual(estimate.remaining_prefill_ms(30.0), 15.0)
        self.assertEqual(estimate.remaining_prefill_ms(730.0), 500.0)
        self.assertEqual(
            estimate.remaining_prefill_ms(60_000.0), estimates.MAX_OVERDUE_MS
        )
        estimate.note_first_token("a", 60_000.0)
        self.assertEqual(estimate.remaining_prefill_ms(60_000.0), 0.0)


class HangingEngineTest(unittest.TestCase):
    """Requests at a constant rate, spread over the VMs of one hall."""

    def test_few_requests_go_to_an_engine_that_hangs(self) -> None:
        counts = {"calls": 0, "late": 0}

        async def send_request(
            fixture: gateway_fixture.Fixture, number: int
        ) -> None:
            await asyncio.sleep(number * 0.02)
            result = await fixture.call("short", f"vm-{number % _VMS}")
            counts["calls"] += 1
            counts["late"] += result.status != 200 or result.first_ms > 300.0

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            # The engine that short prompts of the hall prefer.
            hanging = _find_first_choice(fixture)
            hanging.replica.faults.hang = 0.45
            async with asyncio.TaskGroup() as group:
                for number in range(400):
                    group.create_task(send_request(fixture, number))

        loguru.logger.remove()
        gateway_fixture.run_scenario(scenario, vms=_VMS, halls=1, engines=6)
        self.assertEqual(counts["calls"], 400)
        # 27 were late when an engine with unanswered requests looked idle.
        self.assertLess(counts["late"], 22)


def _find_first_choice(
    fixture: gateway_fixture.Fixture,
) -> gateway_cluster.Node:
    engines = [
        node
        for node in fixture.cluster.targets.values()
        if node.replica.engine is not None
    ]
    return min(
        engines, key=lambda node: boundary._rank_target(node.replica.name)
    )
