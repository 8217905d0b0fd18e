"""Settings reach all agents within seconds and never revert."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import unittest

from ruddergate.experiments import trace
from standins import cluster as clusters
from standins import faults
from standins import virtual_process

_AGENTS_ONLY = clusters.Layout(
    vms=8, halls=3, engines=0, services=0, runs_entries=False
)
_MAX_DELAY_S = 4.0


def _make_tree(weight: float) -> dict[str, bytes]:
    layout = clusters.Layout()
    tree = clusters.make_default_tree(layout.engine)
    clusters.add_workload(tree, "w", "a", "engines")
    tree["branches"]["w"]["settings"]["weight"] = weight
    return clusters.encode_tree(tree)


Scenario = Callable[[clusters.Cluster, faults.FaultInjector], Awaitable[None]]


def _run_scenario(
    scenario: Scenario, layout: clusters.Layout = _AGENTS_ONLY
) -> clusters.Cluster:
    async def run() -> clusters.Cluster:
        cluster = clusters.Cluster(layout)
        cluster.configuration.publish(_make_tree(1.0))
        cluster.start()
        await asyncio.sleep(10.0)
        await scenario(cluster, faults.FaultInjector(cluster))
        return cluster

    return virtual_process.run(run)


def _collect_revisions(cluster: clusters.Cluster) -> set[int]:
    return {
        node.agent.state.in_force.manifest.revision
        for node in cluster.vms.values()
        if not node.process.is_dead
    }


def _apply_fault(
    injector: faults.FaultInjector, fault: str, on: str, from_: str = ""
) -> None:
    injector.apply(trace.TracedFault(0.0, fault, on, from_))


class ConfigurationTest(unittest.TestCase):
    def test_change_is_applied_everywhere_within_seconds(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_make_tree(2.0))
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {2})

        _run_scenario(scenario)

    def test_configuration_service_outage_of_hours(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, injector: faults.FaultInjector
        ) -> None:
            _apply_fault(injector, "outage", "config")
            await asyncio.sleep(3 * 3600.0)
            self.assertEqual(_collect_revisions(cluster), {1})
            cluster.configuration.publish(_make_tree(2.0))
            _apply_fault(injector, "heal", "config")
            await asyncio.sleep(_MAX_DELAY_S + 25.0)
            self.assertEqual(_collect_revisions(cluster), {2})

        layout = dataclasses.replace(_AGENTS_ONLY, vms=3)
        _run_scenario(scenario, layout)

    def test_stale_service_reverts_no_agent_even_after_a_restart(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, injector: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_make_tree(2.0))
            await asyncio.sleep(_MAX_DELAY_S)
            cluster.configuration.revisions_behind = 1
            for name in ("vm-1", "vm-5"):
                _apply_fault(injector, "kill", name)
                await asyncio.sleep(1.0)
                _apply_fault(injector, "resume", name)
            await asyncio.sleep(10.0)
            self.assertEqual(_collect_revisions(cluster), {2})

        _run_scenario(scenario)

    def test_partitioned_hall_keeps_its_settings_and_catches_up(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, injector: faults.FaultInjector
        ) -> None:
            _apply_fault(injector, "cut", "hall-2")
            cluster.configuration.publish(_make_tree(2.0))
            await asyncio.sleep(60.0)
            partitioned_state = cluster.vms["vm-2"].agent.state
            self.assertEqual(partitioned_state.in_force.manifest.revision, 1)
            _apply_fault(injector, "heal", "hall-2")
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {2})

        _run_scenario(scenario)

    def test_of_two_changes_at_once_the_later_is_applied(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_make_tree(2.0))
            cluster.configuration.publish(_make_tree(3.0))
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {3})
            weights = {
                node.agent.state.in_force.tree.branches["w"].overrides["weight"]
                for node in cluster.vms.values()
            }
            self.assertEqual(weights, {3.0})

        _run_scenario(scenario)

    def test_refused_revision_leaves_the_last_valid_one_in_force(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish({"main": b'{"branches": {}}'})
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {1})
            cluster.configuration.publish(_make_tree(3.0))
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {3})

        _run_scenario(scenario)

    def test_service_calls_grow_more_slowly_than_the_fleet(self) -> None:
        calls = {}
        for vms in (8, 80):
            layout = dataclasses.replace(_AGENTS_ONLY, vms=vms)

            async def scenario(
                cluster: clusters.Cluster, _: faults.FaultInjector
            ) -> None:
                cluster.configuration.request_counts.clear()
                for number in range(5):
                    cluster.configuration.publish(_make_tree(2.0 + number))
                    await asyncio.sleep(6.0)
                self.assertEqual(_collect_revisions(cluster), {6})

            cluster = _run_scenario(scenario, layout)
            calls[vms] = sum(cluster.configuration.request_counts.values())
        self.assertLessEqual(calls[80], 1.5 * calls[8])

    def test_failed_agent_is_detected_within_seconds(self) -> None:
        async def scenario(
            cluster: clusters.Cluster, injector: faults.FaultInjector
        ) -> None:
            _apply_fault(injector, "kill", "vm-4")
            await asyncio.sleep(6.0)
            hall = cluster.vms["vm-1"].agent.state
            self.assertNotIn("vm-4", hall.live_in_hall())
            self.assertIn("vm-7", hall.live_in_hall())

        _run_scenario(scenario)

    def test_160_agents_with_one_in_ten_failed_and_a_hall_partitioned(
        self,
    ) -> None:
        layout = dataclasses.replace(_AGENTS_ONLY, vms=160, halls=12)

        async def scenario(
            cluster: clusters.Cluster, injector: faults.FaultInjector
        ) -> None:
            for number in range(5, 160, 10):
                _apply_fault(injector, "kill", f"vm-{number}")
            _apply_fault(injector, "cut", "hall-2")
            cluster.configuration.publish(_make_tree(2.0))
            await asyncio.sleep(_MAX_DELAY_S)
            behind = {
                node.hall
                for node in cluster.vms.values()
                if not node.process.is_dead
                and node.agent.state.in_force.manifest.revision < 2
            }
            self.assertEqual(behind, {"hall-2"})
            _apply_fault(injector, "heal", "hall-2")
            await asyncio.sleep(_MAX_DELAY_S)
            self.assertEqual(_collect_revisions(cluster), {2})

        _run_scenario(scenario, layout)
