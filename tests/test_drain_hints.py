"""Targets that hint in their responses that they are draining."""

import asyncio
import unittest

import loguru
import msgpack

from ruddergate import environment
from ruddergate.decisions import draining
from ruddergate.entry import target_availability
from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import load_digest
from ruddergate.telemetry import metrics
from ruddergate.wire import codec
from standins import gateway_caller
from standins import gateway_cluster
from tests import gateway_fixture

# A VM that forwarded a drain hint sends the target no requests after this.
_MAX_DRAIN_DELAY_S = 2.0
_RUN_S = 7.0
_REQUEST_INTERVAL_S = 0.1


class StoreOutageTest(unittest.TestCase):
    """A target that drains during an outage of the store.

    Guards against VMs that rely on the store's target list alone. A target that
    drained during an outage sent a hint in each of its responses, but the three
    VMs continued to send it requests at the same rate (21 requests in the 8.5 s
    before, 21 in the 7.5 s after) though two other targets were available.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_service_gets_no_requests_of_vms_that_forwarded_a_hint(
        self,
    ) -> None:
        self._check_no_late_requests("service-0", "open")

    def test_engine_gets_no_requests_of_vms_that_forwarded_a_hint(self) -> None:
        self._check_no_late_requests("engine-3", "short")

    def _check_no_late_requests(self, target_name: str, route: str) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            await asyncio.sleep(0.5)
            replica = cluster.targets[target_name].replica
            replica.draining_hint = "1"
            calls = []
            for number in range(round(_RUN_S / _REQUEST_INTERVAL_S)):
                vm = f"vm-{number % len(cluster.vms)}"
                calls.append(asyncio.ensure_future(fixture.call(route, vm)))
                await asyncio.sleep(_REQUEST_INTERVAL_S)
            results = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in results}, {200})
            hinted = [
                each for each in results if "server-leaving" in each.headers
            ]
            self.assertGreater(len(hinted), 0)
            arrived = {each.request_id for each in replica.arrivals}
            for vm in cluster.vms:
                self.assertEqual(_find_late_requests(results, vm, arrived), [])

        gateway_fixture.run_scenario(scenario, is_strict=False)


def _find_late_requests(
    results: list[gateway_caller.CallResult], vm: str, arrived: set[str]
) -> list[str]:
    """Returns requests that a VM sent there too long after a hint."""
    vm_results = [each for each in results if each.call.vm == vm]
    hinted_s = [
        each.sent_s + (each.first_ms or each.took_ms) / 1000.0
        for each in vm_results
        if "server-leaving" in each.headers
    ]
    bound_s = min(hinted_s, default=float("inf")) + _MAX_DRAIN_DELAY_S
    return [
        each.call.request_id
        for each in vm_results
        if each.sent_s > bound_s and each.call.request_id in arrived
    ]


class DrainHintTest(unittest.TestCase):
    """Drain hints in responses of every kind, and their gossip."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_peers_learn_of_the_hint(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await fixture.call("open", "vm-0")
            self.assertEqual(len(replica.arrivals), 1)
            await asyncio.sleep(0.2)
            for _ in range(8):
                # vm-3 is in the same hall, where this target is the nearest.
                result = await fixture.call("open", "vm-3")
                self.assertEqual(result.status, 200)
            self.assertEqual(len(replica.arrivals), 1)

        gateway_fixture.run_scenario(scenario, vms=6, is_strict=False)

    def test_partitioned_vm_learns_of_the_hint_after_the_partition(
        self,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            cut = gateway_cluster.virtual_network.Cut("vm-3", "")
            cluster.network.cuts.append(cut)
            replica.draining_hint = "1"
            await fixture.call("open", "vm-0")
            await asyncio.sleep(5.0)
            cluster.network.cuts.remove(cut)
            await asyncio.sleep(1.5)
            arrivals = len(replica.arrivals)
            for _ in range(8):
                await fixture.call("open", "vm-3")
            self.assertEqual(len(replica.arrivals), arrivals)

        gateway_fixture.run_scenario(scenario, vms=6, is_strict=False)

    def test_helper_that_hints_in_a_reservation_is_not_used(self) -> None:
        # Memory is reserved on helpers first. Guards against a helper that
        # answers the reservation with a drain hint and is still passed to the
        # writer.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            draining_names = ("engine-0", "engine-1", "engine-2")
            for name in draining_names:
                cluster.targets[name].replica.draining_hint = "1"
            result = await fixture.call(
                "long", prompt_tokens=600_000, output_tokens=460
            )
            self.assertEqual((result.status, result.is_complete), (200, True))
            for name in draining_names:
                replica = cluster.targets[name].replica
                self.assertEqual((replica.helped, replica.runs), (0, []))

        gateway_fixture.run_scenario(scenario, engines=6, is_strict=False)

    def test_broken_stream_is_not_resumed_on_a_draining_engine(self) -> None:
        # Both engines break off and send a drain hint. Guards against another
        # attempt on an engine that failed the request when no other is left.
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            fixture.inject_faults("engine", break_off=1.0)
            first, other = (
                cluster.targets[f"engine-{number}"].replica for number in (0, 1)
            )
            first.draining_hint = other.draining_hint = "1"
            result = await fixture.call("short")
            self.assertFalse(result.is_complete)
            arrivals_before = len(first.arrivals) + len(other.arrivals)
            self.assertLessEqual(arrivals_before, 2)
            for _ in range(4):
                retried = await fixture.call("short")
                self.assertEqual(retried.status, 503)
            arrivals_after = len(first.arrivals) + len(other.arrivals)
            self.assertEqual(arrivals_after, arrivals_before)

        gateway_fixture.run_scenario(
            scenario, engines=2, halls=1, is_strict=False
        )

    def test_next_incarnation_is_not_affected(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            node = cluster.targets["service-0"]
            node.replica.draining_hint = "1"
            await fixture.call("open")
            cluster.kill(node)
            cluster.start_target(node)
            await asyncio.sleep(1.5)
            for _ in range(4):
                await fixture.call("open")
            self.assertGreater(len(node.replica.arrivals), 0)

        gateway_fixture.run_scenario(scenario, reuses_names=True)

    def test_requests_are_refused_at_once_when_all_targets_drain(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            cluster.store.failure = "busy"
            for number in range(3):
                replica = cluster.targets[f"service-{number}"].replica
                replica.draining_hint = "1"
            for vm in cluster.vms:
                await fixture.call("open", vm)
            await asyncio.sleep(0.2)
            for vm in cluster.vms:
                result = await fixture.call("open", vm)
                self.assertEqual(
                    (result.status, fixture.find_runs(result)), (503, [])
                )
                self.assertGreater(float(result.headers["retry-after"]), 0.0)
                self.assertLess(result.took_ms, 50.0)

        gateway_fixture.run_scenario(scenario, is_strict=False)

    def test_unknown_hint_values_have_no_effect(self) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            for hint in ("0", "2", "true", "-1"):
                replica = fixture.cluster.targets["service-0"].replica
                replica.draining_hint = hint
                arrivals = len(replica.arrivals)
                for _ in range(3):
                    result = await fixture.call("open")
                    self.assertEqual(result.status, 200)
                self.assertEqual(len(replica.arrivals), arrivals + 3)

        gateway_fixture.run_scenario(scenario)


class DrainGossipTest(unittest.TestCase):
    """Draining targets in the load digests of peers."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_gossip_that_names_no_incarnation_is_dropped(self) -> None:
        drain_state = draining.DrainState()
        availability = target_availability.TargetAvailability(
            environment.make_system_environment(),
            drain_state,
            metrics.EntryMetrics(),
        )
        drain_state.note_listed(incarnations.Incarnation("i" * 1_000), 0.0)
        drain_state.note_listed(incarnations.Incarnation("i-1", 5), 0.0)
        availability.merge_gossip(["i" * 1_000, "i-1@5"], "peer")
        self.assertFalse(
            drain_state.may_be_draining(incarnations.Incarnation("i" * 1_000))
        )
        self.assertTrue(
            drain_state.may_be_draining(incarnations.Incarnation("i-1", 5))
        )

    def test_digest_of_an_earlier_release_has_no_drain_gossip(self) -> None:
        digest = load_digest.LoadDigest("vm:1", "h", 0, "run", 1, ())
        tag, fields = msgpack.unpackb(codec.encode(digest))
        self.assertEqual(codec.decode(msgpack.packb((tag, fields))), digest)
        self.assertEqual(
            codec.decode(msgpack.packb((tag, fields[:-1]))), digest
        )
