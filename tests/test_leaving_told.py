"""Targets that say in their answers that they leave."""

import asyncio
import unittest

import loguru

from standins import gateway_caller
from tests import gateway_scene

# A VM that has passed on an answer that says so sends no more after this time.
_LEAVE_S = 2.0
_PLAY_S = 7.0
_GAP_S = 0.1


class StoreAwayTest(unittest.TestCase):
    """A target that leaves while the store is away.

    Nothing but the store's list was asked whether a target leaves. One that
    left while the store was away said so in each of its answers; 21 calls had
    begun at it in the 8.5 s before that, and 21 in the 7.5 s after it, from the
    same three VMs, each a first try that was placed within 1 ms of its arrival.
    Two other targets served meanwhile. What a VM believed of it was
    `streams=0.0 own=0`, and no line said that it leaves.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_plain_service_gets_no_calls_of_vms_that_passed_it_on(self) -> None:
        self._play("service-0", "open")

    def test_engine_gets_no_calls_of_vms_that_passed_it_on(self) -> None:
        self._play("engine-3", "short")

    def _play(self, leaving: str, route: str) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.trouble = "busy"
            await asyncio.sleep(0.5)
            replica = cluster.targets[leaving].replica
            replica.leaving = "1"
            calls = []
            for number in range(round(_PLAY_S / _GAP_S)):
                vm = f"vm-{number % len(cluster.vms)}"
                calls.append(asyncio.ensure_future(scene.call(route, vm)))
                await asyncio.sleep(_GAP_S)
            got = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in got}, {200})
            told = [each for each in got if "server-leaving" in each.headers]
            self.assertGreater(len(told), 0)
            arrived = {each.request_id for each in replica.arrivals}
            for vm in cluster.vms:
                self.assertEqual(_find_late(got, vm, arrived), [])

        gateway_scene.play(scene, is_strict=False)


def _find_late(
    got: list[gateway_caller.Got], vm: str, arrived: set[str]
) -> list[str]:
    """Returns calls that a VM sent there too long after it was told."""
    own = [each for each in got if each.call.vm == vm]
    told_s = [
        each.sent_s + (each.first_ms or each.took_ms) / 1000.0
        for each in own
        if "server-leaving" in each.headers
    ]
    bound_s = min(told_s, default=float("inf")) + _LEAVE_S
    return [
        each.call.request_id
        for each in own
        if each.sent_s > bound_s and each.call.request_id in arrived
    ]
