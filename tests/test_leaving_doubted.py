"""A target that says that it leaves before its list tells when it started.

A call reached a target of a plain service 2,730 ms after the VM that sent it
had passed on an answer that says that it leaves. What was heard is held for a
life, name and start, and an answer to a call does not tell the start: it goes
to the start that the list told. Where the list told another one afterwards, or
first none, nothing was known of that one. In the emulated fleet one more call
of the VM reached such a target 3.2 s after the word; only its answer bound the
new start.
"""

import asyncio
import unittest

import loguru

from tests import gateway_scene

# A VM that has passed on that a target leaves sends it none after this time.
_LEAVE_S = 2.0
# For a list to be read.
_SETTLE_S = 1.5
# A target writes its entry as often.
_HEARTBEAT_S = 1.2
_VMS = 6


class StartTest(unittest.TestCase):
    """The start of the target that spoke is told late."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_start_that_comes_to_be_known_changes_nothing(self) -> None:
        for name, route in (("service-0", "open"), ("engine-3", "short")):
            with self.subTest(target=name):
                self._play_late_start(name, route)

    def _play_late_start(self, name: str, route: str) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            replica = scene.cluster.targets[name].replica
            replica.draining_hint = "1"
            await scene.call_until_told(replica, route)
            replica.started_ms = round(
                asyncio.get_running_loop().time() * 1000.0
            )
            await asyncio.sleep(_HEARTBEAT_S + _LEAVE_S)
            self.assertEqual(await scene.count_arrivals(replica, route), 0)

        gateway_scene.play(scene, vms=_VMS, is_strict=False)

    def test_next_life_that_said_it_before_it_was_listed_is_bound(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            node = cluster.targets["service-0"]
            cluster.store.failure = "busy"
            cluster.kill(node)
            await asyncio.sleep(0.1)
            cluster.start_target(node)
            node.replica.draining_hint = "1"
            await asyncio.sleep(0.1)
            await scene.call_until_told(node.replica, "open")
            cluster.store.failure = ""
            await asyncio.sleep(_HEARTBEAT_S + _LEAVE_S)
            arrived = await scene.count_arrivals(node.replica, "open")
            self.assertEqual(arrived, 0)

        gateway_scene.play(
            scene, vms=_VMS, reuses_names=True, is_strict=False, services=1
        )

    def test_next_life_that_says_nothing_is_used_within_a_second(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            node = cluster.targets["service-0"]
            node.replica.draining_hint = "1"
            await scene.call_until_told(node.replica, "open")
            cluster.kill(node)
            cluster.start_target(node)
            await asyncio.sleep(1.0 + _SETTLE_S)
            arrived = await scene.count_arrivals(node.replica, "open")
            self.assertGreater(arrived, 0)

        gateway_scene.play(scene, vms=_VMS, reuses_names=True)
