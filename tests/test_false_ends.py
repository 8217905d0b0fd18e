"""Targets that refuse connections only because a VM's links are cut.

A cut network may refuse connections. A VM that takes this for the end of the
targets tells its peers, and from then on all of them give up large prompts for
which these targets are helpers, also after the cut.
"""

import asyncio
import unittest

import loguru

from standins import virtual_network
from tests import gateway_fixture

_CUT_S = 2.0
_CALL_INTERVAL_S = 0.05


class FalseEndTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _cut_and_call(self, cut_vms: int, reachable: tuple[str, ...]) -> None:
        """Cuts VMs from all but some targets, heals that, sends large prompts.

        Args:
            cut_vms: Number of VMs that are cut off.
            reachable: Names of targets that they still reach.
        """

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            mode = virtual_network.CutMode.RESET
            for vm in sorted(cluster.vms)[:cut_vms]:
                for target in cluster.targets.keys() - set(reachable):
                    cluster.network.cut(virtual_network.Cut(vm, target, mode))
            pending = []
            for _ in range(round(_CUT_S / _CALL_INTERVAL_S)):
                for vm in cluster.vms:
                    call = fixture.call("short", vm)
                    pending.append(asyncio.ensure_future(call))
                await asyncio.sleep(_CALL_INTERVAL_S)
            cluster.network.cuts.clear()
            await asyncio.gather(*pending)
            self.assertEqual(gateway_fixture.list_believed_ends(cluster), [])
            for vm in cluster.vms:
                result = await fixture.call(
                    "long", vm, prompt_tokens=600_000, output_tokens=460
                )
                self.assertEqual((result.status, result.is_complete), (200, 1))

        gateway_fixture.run_scenario(scenario, vms=4, engines=9)

    def test_vm_that_reaches_no_target(self) -> None:
        self._cut_and_call(1, ())

    def test_vms_that_reach_one_target_in_each_hall(self) -> None:
        self._cut_and_call(2, ("engine-0", "engine-1", "engine-2"))

    def test_vms_that_reach_one_target(self) -> None:
        self._cut_and_call(3, ("engine-4",))


if __name__ == "__main__":
    unittest.main()
