"""Links to targets that come back at one VM while all others have none.

The VMs without links learned of the way through that VM by their own probes,
every 0.3 to 0.6 s, and refused their callers meanwhile.
"""

import asyncio
import unittest

import loguru

from standins import gateway_caller
from standins import virtual_network
from tests import gateway_fixture

_CUT_S = 3.0
_CALL_INTERVAL_S = 0.05
# Within this time after the return all VMs serve.
_RETURN_S = 0.25
# How long a VM without any way may hold a request.
_MAX_HELD_MS = 100.0
_MAX_RETRY_AFTER_S = 1.2


class ReturnTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _run(self, mode: virtual_network.CutMode) -> None:
        """Cuts all VMs from all targets, and heals one."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            network = fixture.cluster.network
            cuts = {
                vm: [
                    virtual_network.Cut(vm, target, mode)
                    for target in sorted(fixture.cluster.targets)
                ]
                for vm in fixture.cluster.vms
            }
            for each in cuts.values():
                for cut in each:
                    network.cut(cut)
            refused = await _send_for(fixture, _CUT_S)
            for cut in cuts["vm-2"]:
                network.cuts.remove(cut)
            early = await _send_for(fixture, _RETURN_S)
            served = await _send_for(fixture, 0.5)
            self.assertEqual({each.status for each in served}, {200})
            for each in [*refused[len(refused) // 2 :], *early]:
                if each.status == 200:
                    continue
                self.assertEqual(each.status, 503)
                self.assertLessEqual(each.took_ms, _MAX_HELD_MS)
                retry_after_s = float(each.headers["retry-after"])
                self.assertLessEqual(retry_after_s, _MAX_RETRY_AFTER_S)

        gateway_fixture.run_scenario(scenario, vms=4, engines=9)

    def test_return_after_silence_is_found_by_all_vms(self) -> None:
        self._run(virtual_network.CutMode.NEW_SILENT)

    def test_return_after_refusals_is_found_by_all_vms(self) -> None:
        self._run(virtual_network.CutMode.REFUSED)

    def test_request_waits_for_a_way_that_returns_soon(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            network = fixture.cluster.network
            mode = virtual_network.CutMode.NEW_SILENT
            for vm in fixture.cluster.vms:
                for target in sorted(fixture.cluster.targets):
                    network.cut(virtual_network.Cut(vm, target, mode))
            await _send_for(fixture, _CUT_S)
            pending = asyncio.ensure_future(fixture.call("safe", "vm-0"))
            await asyncio.sleep(0.01)
            network.cuts.clear()
            result = await pending
            self.assertEqual(result.status, 200)

        gateway_fixture.run_scenario(scenario, vms=2, engines=9)


async def _send_for(
    fixture: gateway_fixture.Fixture, duration_s: float
) -> list[gateway_caller.CallResult]:
    """Sends calls to all VMs for some time; returns all results."""
    pending = []
    for _ in range(round(duration_s / _CALL_INTERVAL_S)):
        for vm in fixture.cluster.vms:
            call = fixture.call("safe", vm)
            pending.append(asyncio.ensure_future(call))
        await asyncio.sleep(_CALL_INTERVAL_S)
    return [each.result() if each.done() else await each for each in pending]


if __name__ == "__main__":
    unittest.main()
