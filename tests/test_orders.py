"""Orders to engines never revert a revision or overload the weight store."""

import asyncio
import unittest
from unittest import mock

from ruddergate.decisions import orders
from ruddergate.experiments import trace
from ruddergate.settings import effective
from standins import cluster as clusters
from standins import engine_state
from standins import faults
from standins import virtual_process


def _make_tree(version: str, checks_fence: bool) -> dict[str, bytes]:
    tree = clusters.make_default_tree(clusters.Layout().engine)
    clusters.add_workload(tree, "w", "a", "engines")
    tree["branches"]["engines"]["settings"] |= {
        "model": "m",
        "model_version": version,
        "checks_fence": checks_fence,
        "weight_reads_per_s_max": 4.0,
    }
    return clusters.encode_tree(tree)


def _run_version_changes(checks_fence: bool) -> clusters.Cluster:
    """Changes the model version five times while agents pause and resume."""
    layout = clusters.Layout(
        vms=4,
        halls=1,
        engines=3,
        services=0,
        engine=engine_state.EngineSettings(checks_fence=checks_fence),
    )

    async def run() -> clusters.Cluster:
        cluster = clusters.Cluster(layout)
        cluster.configuration.publish(_make_tree("0", checks_fence))
        cluster.start()
        injector = faults.FaultInjector(cluster)
        await asyncio.sleep(20.0)
        for number in range(5):
            name = f"vm-{number % 4 + 1}"
            injector.apply(trace.TracedFault(0.0, "pause", name))
            cluster.configuration.publish(
                _make_tree(str(number + 1), checks_fence)
            )
            await asyncio.sleep(30.0)
            injector.apply(trace.TracedFault(0.0, "resume", name))
            await asyncio.sleep(15.0)
        return cluster

    return virtual_process.run(run)


class OrdersTest(unittest.TestCase):
    def check_revisions(self, cluster: clusters.Cluster) -> None:
        for name, engine in cluster.all_targets:
            self.assertEqual(engine.revisions, sorted(engine.revisions), name)
            self.assertEqual(engine.revisions[-1], 6, name)

    def test_engines_that_check_fencing_tokens(self) -> None:
        self.check_revisions(_run_version_changes(checks_fence=True))

    def test_engines_that_do_not_check_fencing_tokens(self) -> None:
        self.check_revisions(_run_version_changes(checks_fence=False))


class WeightReadBudgetTest(unittest.TestCase):
    def test_sum_over_vms_stays_below_the_limit(self) -> None:
        budgets = [orders.WeightReadBudget(0.5 / 8, 0.0, 0.0) for _ in range(8)]
        reads = sum(
            budget.try_take(step * 100.0)
            for step in range(6_000)
            for budget in budgets
        )
        self.assertLessEqual(reads, 0.5 * 600.0)
        self.assertGreater(reads, 0.4 * 600.0)


class OrderDecisionTest(unittest.TestCase):
    def test_newer_engine_is_never_reverted(self) -> None:
        pool = mock.Mock(
            spec=effective.Pool,
            adapters="b, a",
            model="m",
            model_version="1",
            role="both",
        )
        order = orders.make_order(pool, 5, "g")
        self.assertEqual(order.adapters, ("a", "b"))
        loaded = orders.LoadedState("g", 6, "m", "2", (), "both", False)
        self.assertFalse(orders.is_needed(order, loaded))

    def test_settle_time_where_fences_are_not_checked(self) -> None:
        settled_ms = orders.SETTLE_MS
        cases = {
            (True, True, 0.0, 0.0, 1e9): True,
            (False, True, settled_ms, settled_ms, 0.0): False,
            (True, False, 0.0, settled_ms, 0.0): False,
            (True, False, settled_ms, 0.0, 0.0): False,
            (True, False, settled_ms, settled_ms, settled_ms): False,
            (True, False, settled_ms, settled_ms, 0.0): True,
        }
        for arguments, expected in cases.items():
            with self.subTest(arguments):
                self.assertIs(orders.may_order(*arguments), expected)
