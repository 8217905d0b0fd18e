"""How long it takes until a VM knows that a target leaves, on each way.

The bound is a sum: a reader's turn, a follower's, time-outs of questions to a
reader that is gone, and a call of the store. It has to hold for the worst
moment, so each way is played at several.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import loguru

from ruddergate.entry import poll_config
from ruddergate.fleet import condition
from standins import gateway_cluster
from standins import virtual_network
from tests import gateway_scene

# A target that leaves gets no calls later than this.
_LEAVE_S = 2.0
_STEP_S = 0.01
# Moments at which each way is played, this far apart.
_MOMENTS = 5
_APART_S = 0.21
_VMS = 9

_Trouble = Callable[[gateway_scene.Scene, str], Awaitable[None]]


async def _play_nothing(scene: gateway_scene.Scene, reader: str) -> None:
    """Leaves all as it is."""


async def _kill(scene: gateway_scene.Scene, reader: str) -> None:
    """Ends the VM that reads the store for its hall."""
    scene.cluster.kill(scene.cluster.vms.pop(reader))


async def _freeze(scene: gateway_scene.Scene, reader: str) -> None:
    """Stops the VM that reads the store for its hall."""
    scene.cluster.vms.pop(reader).process.freeze()


async def _turn_away(scene: gateway_scene.Scene, reader: str) -> None:
    """Parts the VM that reads for its hall from the store."""
    cut = virtual_network.Cut(reader, gateway_cluster.STORE_NAME)
    scene.cluster.network.cuts.append(cut)
    del scene.cluster.vms[reader]


async def _restore(scene: gateway_scene.Scene, reader: str) -> None:
    """Restores the store from a copy of two seconds ago."""
    copy = scene.cluster.store.take_snapshot()
    await asyncio.sleep(2.0)
    scene.cluster.store.restore(copy)


async def _start(scene: gateway_scene.Scene, reader: str) -> None:
    """Starts a VM that the others know already."""
    node = scene.cluster.vms["vm-3"]
    scene.cluster.kill(node)
    scene.cluster.start_vm(node)
    await asyncio.sleep(0.05)


_WAYS = (_play_nothing, _kill, _freeze, _turn_away, _restore, _start)


def _find_reader(scene: gateway_scene.Scene) -> str:
    peers = scene.cluster.vms["vm-0"].gateway._peers
    return peers.rank_hall()[0].partition(":")[0]


def _knows(node: gateway_cluster.Node, target_id: str) -> bool:
    listed = node.gateway.context.view.listing.targets
    return any(
        each.target_id == target_id
        and each.condition is condition.Condition.LEAVING
        for each in listed
    )


async def _measure(scene: gateway_scene.Scene, trouble: _Trouble) -> float:
    """Returns the time after which the last VM knew of a leaving."""
    loop = asyncio.get_running_loop()
    await trouble(scene, _find_reader(scene))
    node = scene.cluster.targets["service-0"]
    scene.cluster.drain_target(node)
    began_s = loop.time()
    while loop.time() < began_s + 2.0 * _LEAVE_S:
        await asyncio.sleep(_STEP_S)
        vms = scene.cluster.vms.values()
        if all(_knows(vm, node.replica.name) for vm in vms):
            break
    return loop.time() - began_s


def _find_worst_s(
    trouble: _Trouble, vms: int, pace: poll_config.PollConfig | None = None
) -> float:
    """Returns the longest time of all moments."""
    found: list[float] = []
    for moment in range(_MOMENTS):

        async def scene(
            scene: gateway_scene.Scene, moment: int = moment
        ) -> None:
            await asyncio.sleep(moment * _APART_S)
            found.append(await _measure(scene, trouble))

        gateway_scene.play(
            scene, vms=vms, halls=1, polling=pace or poll_config.PollConfig()
        )
    return max(found)


class LeavingDelayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_each_way_keeps_the_bound(self) -> None:
        for trouble in _WAYS:
            with self.subTest(way=trouble.__doc__):
                self.assertLess(_find_worst_s(trouble, _VMS), _LEAVE_S)

    def test_hall_of_two_keeps_the_bound(self) -> None:
        self.assertLess(_find_worst_s(_play_nothing, 2), _LEAVE_S)

    def test_turns_half_as_often_would_not(self) -> None:
        pace = poll_config.PollConfig(interval_ms=2_600.0)
        self.assertGreater(_find_worst_s(_play_nothing, _VMS, pace), _LEAVE_S)
        self.assertGreater(_find_worst_s(_play_nothing, 2, pace), _LEAVE_S)


if __name__ == "__main__":
    unittest.main()
