"""A store that was restored from an older copy.

Revisions are given out again then. Followers of a hall went by revisions alone: one
that knew revision 1,000 and asked a reader at 960 for what is newer was told "nothing",
with a fresh proof of it, until the store had passed 1,000 again. Each change of targets
in between was missed by all followers, and known to every VM that had read the store.
"""

import asyncio
import unittest

import loguru

from ruddergate.fleet import condition
from tests import gateway_scene

# What the store loses when it is restored.
_LOST_S = 6.0
# A target that leaves gets no calls later than this.
_LEAVE_S = 2.0


def _find_condition(
    scene: gateway_scene.Scene, vm: str, target_id: str
) -> condition.Condition | None:
    """Returns what a VM believes of a target; None if it is not listed."""
    view = scene.cluster.vms[vm].gateway.tools.view
    return next(
        (
            each.condition
            for each in view.listing.targets
            if each.target_id == target_id
        ),
        None,
    )


class RestoredTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    async def _restore(
        self, scene: gateway_scene.Scene, away_s: float = 0.0
    ) -> None:
        """Restores the store from a copy of some seconds ago."""
        store = scene.cluster.store
        copy = store.take_copy()
        await asyncio.sleep(_LOST_S)
        if away_s:
            store.trouble = "reset"
            await asyncio.sleep(away_s)
        store.restore(copy)
        store.trouble = ""

    async def _check_leaving(self, scene: gateway_scene.Scene) -> None:
        """Has a target leave, and checks that all VMs know it in time."""
        node = scene.cluster.targets["service-0"]
        scene.cluster.drain_target(node)
        await asyncio.sleep(_LEAVE_S)
        for vm in scene.cluster.vms:
            found = _find_condition(scene, vm, node.replica.name)
            self.assertIs(found, condition.Condition.LEAVING, vm)
            self.assertEqual(
                await scene.count_arrivals(node.replica, "open", vm), 0, vm
            )

    def _play_leaving(self, away_s: float, after_s: float) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await self._restore(scene, away_s)
            await asyncio.sleep(after_s)
            await self._check_leaving(scene)

        gateway_scene.play(scene, vms=9, halls=1)

    def test_leaving_after_an_outage_reaches_followers(self) -> None:
        self._play_leaving(3.0, 1.5)

    def test_leaving_right_after_a_short_restore_reaches_followers(
        self,
    ) -> None:
        self._play_leaving(0.0, 0.0)


if __name__ == "__main__":
    unittest.main()
