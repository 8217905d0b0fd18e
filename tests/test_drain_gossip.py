"""Gossip about draining targets is unconfirmed and must not hold forever.

Guards against two faults. A peer's report was kept for the lifetime of the
target, listed or not, so that a single false one kept a healthy target from all
requests (0 of 8), and a false one for all three targets of a service led to 503
for every caller. And a VM that started more than 10 s after a correct report
did not receive it from any peer and sent the target a request.
"""

import asyncio
import unittest

import loguru

from standins import faulty_peer
from standins import gateway_cluster
from tests import gateway_fixture

# A target that is falsely reported as draining is used again within this time.
_MAX_FALSE_REPORT_EFFECT_S = 10.0
# A VM that forwarded a drain hint sends the target no requests after this.
_MAX_DRAIN_DELAY_S = 2.0
# For this long, VMs repeat in their gossip that a target is draining.
_GOSSIP_DURATION_S = 10.0
# For a starting VM to read the target list and to receive gossip.
_SETTLE_S = 1.5
# Drained incarnations that a VM remembers.
_MAX_REMEMBERED = 24_000
_REPORTS_PER_DIGEST = 1_000
_VMS = 6


class DrainGossipTest(unittest.TestCase):
    """A peer's report that a target is draining is unconfirmed."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_false_report_affects_a_target_for_seconds_only(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            replica = fixture.cluster.targets["service-0"].replica
            gossiping = asyncio.ensure_future(
                _send_false_reports(fixture.cluster, (replica.name,))
            )
            await asyncio.sleep(_MAX_FALSE_REPORT_EFFECT_S)
            self.assertGreater(await fixture.count_arrivals(replica, "open"), 0)
            gossiping.cancel()

        gateway_fixture.run_scenario(scenario, vms=_VMS)

    def test_false_report_of_all_targets_does_not_disable_a_pool(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            names = [f"service-{number}" for number in range(3)]
            replicas = [fixture.cluster.targets[name].replica for name in names]
            reports = tuple(each.name for each in replicas)
            gossiping = asyncio.ensure_future(
                _send_false_reports(fixture.cluster, reports)
            )
            await asyncio.sleep(_MAX_FALSE_REPORT_EFFECT_S)
            for number in range(_VMS):
                result = await fixture.call("open", f"vm-{number}")
                self.assertEqual(result.status, 200)
            gossiping.cancel()

        gateway_fixture.run_scenario(scenario, vms=_VMS)

    def test_reports_of_a_peer_do_not_evict_draining_hints(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await fixture.call_until_draining_hint(replica, "open")
            for first in range(
                0, _MAX_REMEMBERED + _REPORTS_PER_DIGEST, _REPORTS_PER_DIGEST
            ):
                reports = (
                    f"none-{first + each}"
                    for each in range(_REPORTS_PER_DIGEST)
                )
                await faulty_peer.announce_draining(
                    cluster, first + 1, tuple(reports)
                )
                await asyncio.sleep(0.1)
            await asyncio.sleep(_MAX_DRAIN_DELAY_S)
            self.assertEqual(await fixture.count_arrivals(replica, "open"), 0)

        gateway_fixture.run_scenario(scenario, vms=_VMS, is_strict=False)

    def test_vm_that_starts_later_learns_of_the_drain(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await fixture.call_until_draining_hint(replica, "open")
            await asyncio.sleep(_GOSSIP_DURATION_S + 1.0)
            node = cluster.vms["vm-3"]
            cluster.kill(node)
            cluster.start_vm(node)
            await asyncio.sleep(_SETTLE_S)
            arrivals = await fixture.count_arrivals(replica, "open", "vm-3")
            self.assertEqual(arrivals, 0)

        gateway_fixture.run_scenario(scenario, vms=_VMS)


async def _send_false_reports(
    cluster: gateway_cluster.GatewayCluster, reports: tuple[str, ...]
) -> None:
    """Repeatedly gossips to all VMs that targets are draining."""
    number = 0
    while True:
        number += 1
        await faulty_peer.announce_draining(cluster, number, reports)
        await asyncio.sleep(0.5)
