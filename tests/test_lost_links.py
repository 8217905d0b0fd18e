"""VMs that lost their links to targets serve their callers through peers.

Such a VM still reaches callers, the store and its peers, which reach the
targets. With one way to a target it could only refuse its callers.
"""

import asyncio
import math
import unittest

import loguru

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import virtual_network
from tests import gateway_fixture

_CUT_S = 4.0
# Callers of a VM that was cut off this long ago are served like others.
_GRACE_S = 1.0
_CALL_INTERVAL_S = 0.2
# Share of first tries served at VMs that are cut off, relative to the others.
_MIN_RELATIVE_SHARE = 0.95


def cut_from_targets(
    cluster: gateway_cluster.GatewayCluster,
    vms: int,
    mode: virtual_network.CutMode,
    targets: str = "",
) -> None:
    """Cuts the first VMs from all targets whose names start with a prefix."""
    now_s = asyncio.get_running_loop().time()
    for name in sorted(cluster.vms)[:vms]:
        for target in cluster.targets:
            if target.startswith(targets):
                cut = virtual_network.Cut(name, target, mode)
                cluster.network.cut(cut)
                link = gateway_cluster.name_link(name, target)
                cluster.disturbances.append(
                    gateway_cluster.Disturbance(link, now_s, math.inf)
                )


async def call_all_vms(
    fixture: gateway_fixture.Fixture, duration_s: float
) -> list[gateway_caller.CallResult]:
    """Sends requests of several routes to each VM for some time."""
    pending = []
    routes = ("short", "safe", "unsafe", "once")
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    number = 0
    while loop.time() < end_s:
        for vm in fixture.cluster.vms:
            route = routes[number % len(routes)]
            number += 1
            pending.append(
                asyncio.ensure_future(
                    fixture.call(route, vm, body=f"b{number}".encode())
                )
            )
        await asyncio.sleep(_CALL_INTERVAL_S)
    return await asyncio.gather(*pending)


def count_served(results: list[gateway_caller.CallResult]) -> float:
    """Returns the share of requests with a complete success."""
    served = sum(each.status == 200 and each.is_complete for each in results)
    return served / len(results)


class LostLinksTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check_share(
        self, vms: int, cut_vms: int, mode: virtual_network.CutMode
    ) -> None:
        """Checks what VMs without links serve, relative to the others."""

        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cut_from_targets(cluster, cut_vms, mode)
            cut_s = asyncio.get_running_loop().time()
            results = await call_all_vms(fixture, _CUT_S)
            cut_names = sorted(cluster.vms)[:cut_vms]
            late = [each for each in results if each.sent_s > cut_s + _GRACE_S]
            at_cut = [each for each in late if each.call.vm in cut_names]
            others = [each for each in late if each.call.vm not in cut_names]
            self.assertGreaterEqual(
                count_served(at_cut), _MIN_RELATIVE_SHARE * count_served(others)
            )
            broken = gateway_guarantees.find_broken(cluster, results)
            self.assertEqual(broken, [])

        gateway_fixture.run_scenario(scenario, vms=vms, engines=9, services=6)

    def test_one_of_two_vms(self) -> None:
        for mode in virtual_network.CutMode:
            with self.subTest(mode):
                self._check_share(2, 1, mode)

    def test_six_of_nine_vms(self) -> None:
        for mode in virtual_network.CutMode:
            with self.subTest(mode):
                self._check_share(9, 6, mode)

    def test_two_vms_that_each_reach_one_half(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            halves = sorted(cluster.targets)[::2], sorted(cluster.targets)[1::2]
            for vm, half in zip(("vm-0", "vm-1"), halves, strict=True):
                for target in half:
                    cluster.network.cut(virtual_network.Cut(vm, target))
            results = await call_all_vms(fixture, _CUT_S)
            self.assertGreaterEqual(count_served(results), 0.95)
            broken = gateway_guarantees.find_broken(cluster, results)
            self.assertEqual(broken, [])

        gateway_fixture.run_scenario(scenario, vms=2, engines=6)

    def test_whole_hall_is_in_time_from_the_first_call_on(self) -> None:
        # Peers nearby are tried first, and have lost their links as well.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            names = [
                name
                for name, node in cluster.vms.items()
                if node.hall == "hall-0"
            ]
            for name in names:
                for target in cluster.targets:
                    cluster.network.cut(virtual_network.Cut(name, target))
            calls = []
            for name in names:
                call = asyncio.ensure_future(fixture.call("short", name))
                calls.append(call)
                await asyncio.sleep(0.05)
            results = await asyncio.gather(*calls)
            self.assertEqual(count_served(results), 1.0)
            self.assertLessEqual(max(each.first_ms for each in results), 300.0)

        gateway_fixture.run_scenario(scenario, vms=24, engines=18)


class NoWayTest(unittest.TestCase):
    """All VMs lose their links: nobody can be served."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_callers_are_refused_at_once_and_told_when_to_return(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cut_from_targets(cluster, 3, virtual_network.CutMode.SILENT)
            results = await call_all_vms(fixture, 3.0)
            self.assertEqual({each.status for each in results}, {503})
            delays = [float(each.headers["retry-after"]) for each in results]
            self.assertLessEqual(max(delays), 2.0)
            self.assertGreater(len(set(delays)), len(delays) // 2)
            last = await call_all_vms(fixture, 0.5)
            self.assertLess(max(each.took_ms for each in last), 100.0)
            for vm in cluster.vms:
                self.assertEqual(await fixture.caller.check_ready(vm), 503)

        gateway_fixture.run_scenario(scenario)

    def test_service_returns_with_the_links(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cut_from_targets(cluster, 3, virtual_network.CutMode.SILENT)
            await call_all_vms(fixture, 4.0)
            cluster.network.cuts.clear()
            await asyncio.sleep(1.5)
            for vm in cluster.vms:
                self.assertEqual(await fixture.caller.check_ready(vm), 200)
            results = await call_all_vms(fixture, 1.0)
            self.assertEqual(count_served(results), 1.0)

        gateway_fixture.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
