"""A drain hint that arrives before the list shows when the target started.

Guards against requests that reach a draining target after the VM forwarded its
hint (2,730 ms after, and 3.2 s in the emulated fleet). A drain is recorded for
an incarnation (name and start time), and a response does not carry the start
time, so a hint applies to the listed one. When the list then showed a start
time for the first time, or another one, the hint no longer applied.
"""

import asyncio
import unittest

import loguru

from tests import gateway_fixture

# A VM that forwarded a drain hint sends the target no requests after this.
_MAX_DRAIN_DELAY_S = 2.0
# For the target list to be read.
_LIST_READ_S = 1.5
# Interval at which a target writes its entry.
_HEARTBEAT_S = 1.2
_VMS = 6


class EarlyDrainHintTest(unittest.TestCase):
    """The start time of a target is listed after its drain hint."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_start_time_listed_later_does_not_undo_the_hint(self) -> None:
        for name, route in (("service-0", "open"), ("engine-3", "short")):
            with self.subTest(target=name):
                self._check_late_start(name, route)

    def _check_late_start(self, name: str, route: str) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            replica = fixture.cluster.targets[name].replica
            replica.draining_hint = "1"
            await fixture.call_until_draining_hint(replica, route)
            replica.started_ms = round(
                asyncio.get_running_loop().time() * 1000.0
            )
            await asyncio.sleep(_HEARTBEAT_S + _MAX_DRAIN_DELAY_S)
            self.assertEqual(await fixture.count_arrivals(replica, route), 0)

        gateway_fixture.run_scenario(scenario, vms=_VMS, is_strict=False)

    def test_hint_of_the_next_incarnation_before_its_listing_holds(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            node = cluster.targets["service-0"]
            cluster.store.failure = "busy"
            cluster.kill(node)
            await asyncio.sleep(0.1)
            cluster.start_target(node)
            node.replica.draining_hint = "1"
            await asyncio.sleep(0.1)
            await fixture.call_until_draining_hint(node.replica, "open")
            cluster.store.failure = ""
            await asyncio.sleep(_HEARTBEAT_S + _MAX_DRAIN_DELAY_S)
            arrivals = await fixture.count_arrivals(node.replica, "open")
            self.assertEqual(arrivals, 0)

        gateway_fixture.run_scenario(
            scenario, vms=_VMS, reuses_names=True, is_strict=False, services=1
        )

    def test_next_incarnation_without_a_hint_is_used_within_a_second(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            node = cluster.targets["service-0"]
            node.replica.draining_hint = "1"
            await fixture.call_until_draining_hint(node.replica, "open")
            cluster.kill(node)
            cluster.start_target(node)
            await asyncio.sleep(1.0 + _LIST_READ_S)
            arrivals = await fixture.count_arrivals(node.replica, "open")
            self.assertGreater(arrivals, 0)

        gateway_fixture.run_scenario(scenario, vms=_VMS, reuses_names=True)
