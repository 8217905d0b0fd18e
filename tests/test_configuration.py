"""Settings reach everyone within seconds and never go back."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import unittest

from ruddergate.experiments import trace
from standins import cluster as clusters
from standins import faults
from standins import virtual_process

_AGENTS = clusters.Layout(
    vms=8, halls=3, engines=0, services=0, runs_entries=False
)
_WITHIN_S = 4.0


def _tree(weight: float) -> dict[str, bytes]:
    layout = clusters.Layout()
    tree = clusters.make_default_tree(layout.engine)
    clusters.add_workload(tree, "w", "a", "engines")
    tree["branches"]["w"]["settings"]["weight"] = weight
    return clusters.encode_tree(tree)


Story = Callable[[clusters.Cluster, faults.FaultInjector], Awaitable[None]]


def _run(story: Story, layout: clusters.Layout = _AGENTS) -> clusters.Cluster:
    async def run() -> clusters.Cluster:
        cluster = clusters.Cluster(layout)
        cluster.configuration.publish(_tree(1.0))
        cluster.start()
        await asyncio.sleep(10.0)
        await story(cluster, faults.FaultInjector(cluster))
        return cluster

    return virtual_process.run(run)


def _revisions(cluster: clusters.Cluster) -> set[int]:
    return {
        node.agent.knowledge.in_force.manifest.revision
        for node in cluster.vms.values()
        if not node.process.is_dead
    }


def _do(
    fault_types: faults.FaultInjector, fault: str, on: str, from_: str = ""
) -> None:
    fault_types.apply(trace.TracedFault(0.0, fault, on, from_))


class ConfigurationTest(unittest.TestCase):
    def test_in_force_everywhere_within_seconds(self) -> None:
        async def story(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_tree(2.0))
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {2})

        _run(story)

    def test_service_down_for_hours(self) -> None:
        async def story(
            cluster: clusters.Cluster, f: faults.FaultInjector
        ) -> None:
            _do(f, "outage", "config")
            await asyncio.sleep(3 * 3600.0)
            self.assertEqual(_revisions(cluster), {1})
            cluster.configuration.publish(_tree(2.0))
            _do(f, "heal", "config")
            await asyncio.sleep(_WITHIN_S + 25.0)
            self.assertEqual(_revisions(cluster), {2})

        layout = dataclasses.replace(_AGENTS, vms=3)
        _run(story, layout)

    def test_stale_service_reverts_nobody_not_even_the_restarted(self) -> None:
        async def story(
            cluster: clusters.Cluster, f: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_tree(2.0))
            await asyncio.sleep(_WITHIN_S)
            cluster.configuration.revisions_behind = 1
            for name in ("vm-1", "vm-5"):
                _do(f, "kill", name)
                await asyncio.sleep(1.0)
                _do(f, "resume", name)
            await asyncio.sleep(10.0)
            self.assertEqual(_revisions(cluster), {2})

        _run(story)

    def test_cut_hall_keeps_its_settings_and_catches_up(self) -> None:
        async def story(
            cluster: clusters.Cluster, f: faults.FaultInjector
        ) -> None:
            _do(f, "cut", "hall-2")
            cluster.configuration.publish(_tree(2.0))
            await asyncio.sleep(60.0)
            in_hall = cluster.vms["vm-2"].agent.knowledge
            self.assertEqual(in_hall.in_force.manifest.revision, 1)
            _do(f, "heal", "hall-2")
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {2})

        _run(story)

    def test_two_changes_at_once_end_at_the_later(self) -> None:
        async def story(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish(_tree(2.0))
            cluster.configuration.publish(_tree(3.0))
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {3})
            weights = {
                node.agent.knowledge.in_force.tree.branches["w"].own["weight"]
                for node in cluster.vms.values()
            }
            self.assertEqual(weights, {3.0})

        _run(story)

    def test_refused_revision_leaves_the_last_good_in_force(self) -> None:
        async def story(
            cluster: clusters.Cluster, _: faults.FaultInjector
        ) -> None:
            cluster.configuration.publish({"main": b'{"branches": {}}'})
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {1})
            cluster.configuration.publish(_tree(3.0))
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {3})

        _run(story)

    def test_calls_grow_more_slowly_than_the_fleet(self) -> None:
        calls = {}
        for vms in (8, 80):
            layout = dataclasses.replace(_AGENTS, vms=vms)

            async def story(
                cluster: clusters.Cluster, _: faults.FaultInjector
            ) -> None:
                cluster.configuration.request_counts.clear()
                for number in range(5):
                    cluster.configuration.publish(_tree(2.0 + number))
                    await asyncio.sleep(6.0)
                self.assertEqual(_revisions(cluster), {6})

            cluster = _run(story, layout)
            calls[vms] = sum(cluster.configuration.request_counts.values())
        self.assertLessEqual(calls[80], 1.5 * calls[8])

    def test_death_is_known_within_seconds(self) -> None:
        async def story(
            cluster: clusters.Cluster, f: faults.FaultInjector
        ) -> None:
            _do(f, "kill", "vm-4")
            await asyncio.sleep(6.0)
            hall = cluster.vms["vm-1"].agent.knowledge
            self.assertNotIn("vm-4", hall.live_in_hall())
            self.assertIn("vm-7", hall.live_in_hall())

        _run(story)

    def test_160_agents_with_one_in_ten_failing_and_a_hall_cut(self) -> None:
        layout = dataclasses.replace(_AGENTS, vms=160, halls=12)

        async def story(
            cluster: clusters.Cluster, f: faults.FaultInjector
        ) -> None:
            for number in range(5, 160, 10):
                _do(f, "kill", f"vm-{number}")
            _do(f, "cut", "hall-2")
            cluster.configuration.publish(_tree(2.0))
            await asyncio.sleep(_WITHIN_S)
            behind = {
                node.hall
                for node in cluster.vms.values()
                if not node.process.is_dead
                and node.agent.knowledge.in_force.manifest.revision < 2
            }
            self.assertEqual(behind, {"hall-2"})
            _do(f, "heal", "hall-2")
            await asyncio.sleep(_WITHIN_S)
            self.assertEqual(_revisions(cluster), {2})

        _run(story, layout)
