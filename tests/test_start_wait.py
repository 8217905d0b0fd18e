"""Calls that wait for a VM's first settings.

A call came to a VM that had just started while the store was away. It waited
757 ms for the first settings, and its time of 10 s was counted from then on:
it was answered after 10,758 ms, and its target was told that it had more time
than its caller would wait.
"""

import asyncio
import unittest

import loguru

from tests import gateway_scene

_LIMIT_MS = 2_000.0
# For the answer to come back, and for timers that are late.
_SLACK_MS = 100.0
_AWAY_S = 0.7


class StartWaitTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_wait_for_settings_is_part_of_the_callers_time(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            scene.spoil("engine", mute=True)
            cluster.store.failure = "busy"
            node = cluster.vms["vm-0"]
            cluster.kill(node)
            cluster.start_vm(node)
            await asyncio.sleep(0.05)
            call = asyncio.ensure_future(
                scene.call("once", time_limit_ms=_LIMIT_MS)
            )
            await asyncio.sleep(_AWAY_S)
            cluster.store.failure = ""
            got = await call
            self.assertEqual(got.status, 504)
            self.assertLessEqual(got.took_ms, _LIMIT_MS + _SLACK_MS)

        gateway_scene.play(scene)
