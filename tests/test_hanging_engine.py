"""An engine that leaves some calls unanswered: who still sends to it."""

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
from tests import gateway_scene

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


class OverdueTest(unittest.TestCase):
    def test_prefill_that_is_overdue_lasts_on(self) -> None:
        found = _make_estimate()
        found.begin_attempt("a", own_work.OwnWork(5_000, 5_000, 0.0, 1, 30.0))
        self.assertEqual(found.remaining_prefill_ms(0.0), 30.0)
        self.assertEqual(found.remaining_prefill_ms(30.0), 15.0)
        self.assertEqual(found.remaining_prefill_ms(730.0), 500.0)
        self.assertEqual(
            found.remaining_prefill_ms(60_000.0), estimates.MAX_OVERDUE_MS
        )
        found.note_first_token("a", 60_000.0)
        self.assertEqual(found.remaining_prefill_ms(60_000.0), 0.0)


class HangingEngineTest(unittest.TestCase):
    """Calls of a steady pace, spread over the VMs of one hall."""

    def test_few_calls_go_to_an_engine_that_hangs(self) -> None:
        sent = {"calls": 0, "late": 0}

        async def one(scene: gateway_scene.Scene, number: int) -> None:
            await asyncio.sleep(number * 0.02)
            got = await scene.call("short", f"vm-{number % _VMS}")
            sent["calls"] += 1
            sent["late"] += got.status != 200 or got.first_ms > 300.0

        async def scene(scene: gateway_scene.Scene) -> None:
            # The one that short prompts of the hall go to first.
            hung = _find_front(scene)
            hung.replica.faults.hang = 0.45
            async with asyncio.TaskGroup() as group:
                for number in range(400):
                    group.create_task(one(scene, number))

        loguru.logger.remove()
        gateway_scene.play(scene, vms=_VMS, halls=1, engines=6)
        self.assertEqual(sent["calls"], 400)
        # 27 were late while an engine with silent calls looked idle.
        self.assertLess(sent["late"], 22)


def _find_front(scene: gateway_scene.Scene) -> gateway_cluster.Node:
    engines = [
        node
        for node in scene.cluster.targets.values()
        if node.replica.engine is not None
    ]
    return min(
        engines, key=lambda node: boundary._rank_target(node.replica.name)
    )
