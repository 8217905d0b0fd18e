"""Prefill budgets next to running streams follow the routes' objectives."""

import unittest

from ruddergate.decisions import gap_class
from ruddergate.platform import configuration


def _make_pool(gaps_ms: dict[str, int], **engine: object):  # noqa: ANN202
    routes = [
        {
            "name": name,
            "hostname": "h",
            "path-prefix": f"/{name}/",
            "service": "engines",
            "route-type": "streaming",
            "timeout-ms": 10_000,
            "target-latency-ms": 300,
            "gap_aim_ms": gap_ms,
        }
        for name, gap_ms in gaps_ms.items()
    ]
    document = {
        "config-version": 1,
        "routes": routes,
        "services": [{"name": "engines", "engine": engine}],
    }
    return configuration.read_catalog(document).find_pool("engines")


class GapClassTest(unittest.TestCase):
    def test_budget_is_the_gap_objective_less_an_iteration(self) -> None:
        pool = _make_pool(
            {"a": 250, "b": 600, "c": 1_000, "d": 220}, stride=34, step_ms=1.31
        )
        self.assertEqual(pool.gap_slos_ms, (220.0, 250.0, 600.0, 1_000.0))
        short, middle, long_ = gap_class.find_prefill_budgets_ms(pool)
        # The shortest gap of a class applies.
        self.assertAlmostEqual(short, 220.0 * 0.95 - 34 * 1.31 - 17.0)
        self.assertAlmostEqual(middle, 600.0 * 0.95 - 34 * 1.31 - 17.0)
        self.assertAlmostEqual(long_, 1_000.0 * 0.95 - 34 * 1.31 - 17.0)

    def test_defaults_apply_without_published_gap_objectives(self) -> None:
        pool = _make_pool({}, read_per_s=1_000.0)
        self.assertEqual(
            gap_class.find_prefill_budgets_ms(pool),
            gap_class.DEFAULT_PREFILL_BUDGETS_MS,
        )

    def test_gap_shorter_than_an_iteration_leaves_no_budget(self) -> None:
        pool = _make_pool({"a": 50}, stride=34, step_ms=2.0)
        self.assertEqual(gap_class.find_prefill_budgets_ms(pool)[0], 0.0)
