"""Second sends: each VM's part, so that the fleet's allowance holds."""

import asyncio
import unittest

import loguru

from ruddergate.decisions import retries
from standins import gateway_cluster
from tests import gateway_scene

_SLACK = 106.0


class BudgetTest(unittest.TestCase):
    def test_all_vms_together_stay_below_half_of_the_slack(self) -> None:
        for vms in (2, 6, 9, 80, 195, 940):
            most = retries.find_saved_most(_SLACK, vms)
            self.assertLess(most * vms, _SLACK / 2.0)
        # Each may have started again, and the rest be out of sight.
        alone = retries.find_saved_most(_SLACK, 1)
        self.assertLess(alone * 60, _SLACK / 2.0)

    def test_parts_of_a_fleet_that_is_cut_stay_below_it(self) -> None:
        parts = 3
        most = retries.find_saved_most(_SLACK, 3)
        self.assertLess(parts * 3 * most, _SLACK)

    def test_saved_sends_follow_the_size(self) -> None:
        budget = retries.Budget(0.15, 0.0, 0.0)
        self.assertFalse(budget.spend())
        budget.resize(3.0)
        self.assertEqual(budget.tokens, 3.0)
        self.assertTrue(budget.spend())
        budget.resize(5.0)
        self.assertEqual(budget.tokens, 4.0)
        budget.resize(1.0)
        self.assertEqual(budget.tokens, 1.0)

    def test_vms_divide_the_slack_once_they_know_each_other(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            await asyncio.sleep(1.1)
            for node in scene.cluster.vms.values():
                self.assertAlmostEqual(
                    node.gateway.tools.budget.most,
                    gateway_cluster.RETRY_SLACK * retries.SLACK_PART / 9,
                )
            # One that starts again alone takes little until it knows more.
            node = scene.cluster.vms["vm-4"]
            scene.cluster.kill(node)
            cut = gateway_cluster.virtual_network.Cut("vm-4", "")
            scene.cluster.network.cuts.append(cut)
            scene.cluster.start_vm(node)
            await asyncio.sleep(1.0)
            self.assertLess(node.gateway.tools.budget.most, 1.0)

        loguru.logger.remove()
        gateway_scene.play(scene, vms=9)
