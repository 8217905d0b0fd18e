"""The by_region policy gives short and long prompts separate engines.

It has to do so on pools of any size.
"""

import dataclasses
import random
import unittest

from ruddergate import environment
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import boundary
from ruddergate.decisions.routing import by_name
from ruddergate.decisions.routing import by_region
from ruddergate.decisions.routing import job as jobs
from ruddergate.fleet import condition
from ruddergate.fleet import dispatched
from ruddergate.fleet import target as targets
from ruddergate.platform import configuration

_POOL = configuration.read_catalog(
    {
        "config-version": 1,
        "services": [
            {
                "name": "engines",
                "engine": {
                    "kv-capacity": 450_000,
                    "read_per_s": 256_000.0,
                    "pairs_per_m": 0.0917,
                    "hop_ms": 0.1,
                },
            }
        ],
    }
).find_pool("engines")
_SHORT = jobs.Job(5_000, 6_500, "", 0, False, 0.0, 300.0, 200.0)
_LONG = jobs.Job(210_000, 211_000, "", 0, True, 0.0, 3_000.0, 800.0)
_VERY_LONG = jobs.Job(900_000, 901_000, "", 0, True, 0.0, 3_000.0, 800.0)


def _make_engines(
    count: int, slots: int = 8, halls: int = 1
) -> list[estimates.Estimate]:
    return [
        estimates.Estimate(
            targets.Target(
                f"engine-{number}",
                "engines",
                f"h{number % halls}",
                environment.Address("1.1.1.1", number + 1),
                condition.Condition.LIVE,
                slots,
            ),
            _POOL,
        )
        for number in range(count)
    ]


def _choose(
    job: jobs.Job, engines: list[estimates.Estimate]
) -> list[estimates.Estimate]:
    policy = by_region.make_by_region()
    rng = random.Random(1)
    chosen = policy.choose(job, engines, 0.0, rng)
    if chosen is None:
        return []
    helpers = policy.choose_helpers(job, chosen, engines, 0.0, rng)
    return [chosen, *helpers]


class ByRegionTest(unittest.TestCase):
    def test_pools_of_any_size_accept_every_prompt(self) -> None:
        for count in (1, 2, 3, 4, 7, 18):
            engines = _make_engines(count)
            self.assertEqual(len(_choose(_SHORT, engines)), 1, count)
            self.assertTrue(_choose(_LONG, engines), count)
            if count >= 4:
                self.assertGreaterEqual(len(_choose(_VERY_LONG, engines)), 4)

    def test_short_and_long_prompts_use_different_engines(self) -> None:
        engines = _make_engines(18)
        long_ = {each.target.target_id for each in _choose(_LONG, engines)}
        for _ in range(20):
            (short,) = _choose(_SHORT, engines)
            self.assertNotIn(short.target.target_id, long_)

    def test_vms_that_do_not_know_peer_load_spread_out(self) -> None:
        uninformed = dataclasses.replace(_SHORT, is_peer_load_unknown=True)
        for job, min_engines, max_engines in (
            (uninformed, 13, 18),
            (_SHORT, 1, 4),
        ):
            chosen = set()
            for seed in range(60):
                policy = by_region.make_by_region()
                target = policy.choose(
                    job, _make_engines(18), 0.0, random.Random(seed)
                )
                chosen.add(target.target.target_id)
            self.assertGreaterEqual(len(chosen), min_engines)
            self.assertLessEqual(len(chosen), max_engines)

    def test_short_prompts_stay_in_their_hall_while_it_has_free_slots(
        self,
    ) -> None:
        engines = _make_engines(18, halls=3)
        job = dataclasses.replace(_SHORT, local_hall="h1")
        for _ in range(30):
            (chosen,) = _choose(job, engines)
            self.assertEqual(chosen.target.hall, "h1")
        for each in engines:
            if each.target.hall == "h1":
                row = dispatched.Dispatched(
                    each.target.target_id, (), 0, 9, (9, 0, 0), 0.0
                )
                each.apply_peer_work(row, 0.0)
        (chosen,) = _choose(job, engines)
        self.assertNotEqual(chosen.target.hall, "h1")

    def test_boundary_is_computed_for_each_hall(self) -> None:
        engines = _make_engines(18, halls=3)
        for each in engines:
            if each.target.hall == "h0":
                row = dispatched.Dispatched(
                    each.target.target_id, (), 0, 4, (4, 0, 0), 0.0
                )
                each.apply_peer_work(row, 0.0)
        long_ids = boundary.find_long_region(engines, 0.0)
        counts = {
            hall: sum(
                each.target.target_id in long_ids
                for each in engines
                if each.target.hall == hall
            )
            for hall in ("h0", "h1", "h2")
        }
        self.assertEqual(counts, {"h0": 1, "h1": 5, "h2": 5})

    def test_service_requests_stay_in_their_hall_unless_it_is_busier(
        self,
    ) -> None:
        policy = by_name.make_policy("least_recent")
        engines = _make_engines(3, halls=3)
        job = dataclasses.replace(_SHORT, local_hall="h1")
        rng = random.Random(1)
        for streams, expected in ((2, True), (4, False)):
            row = dispatched.Dispatched(
                engines[1].target.target_id, (), 0, streams, (), 0.0
            )
            engines[1].apply_peer_work(row, 0.0)
            chosen = policy.choose(job, engines, 0.0, rng)
            self.assertEqual(chosen.target.hall == "h1", expected)

    def test_boundary_follows_streams_of_short_prompts(self) -> None:
        engines = _make_engines(18)
        before = len(boundary.find_long_region(engines, 0.0))
        for each in engines:
            row = dispatched.Dispatched(
                each.target.target_id, (), 0, 6, (6, 0, 0), 0.0
            )
            each.apply_peer_work(row, 0.0)
        after = len(boundary.find_long_region(engines, 0.0))
        self.assertGreater(before, after)
        self.assertEqual(after, boundary.MIN_REGION_ENGINES)

    def test_boundary_leaves_slots_free_on_engines_of_any_size(self) -> None:
        for slots in (4, 6, 8, 12):
            engines = _make_engines(60, slots)
            for each in engines[:40]:
                row = dispatched.Dispatched(
                    each.target.target_id, (), 0, 3, (3, 0, 0), 0.0
                )
                each.apply_peer_work(row, 0.0)
            short_region_size = 60 - len(
                boundary.find_long_region(engines, 0.0)
            )
            self.assertLessEqual(
                120 / short_region_size, boundary.SHORT_REGION_FILL * slots
            )

    def test_streams_of_long_prompts_do_not_move_the_boundary(self) -> None:
        engines = _make_engines(18)
        before = boundary.find_long_region(engines, 0.0)
        for each in engines:
            row = dispatched.Dispatched(
                each.target.target_id, (), 0, 4, (0, 2, 2), 0.0
            )
            each.apply_peer_work(row, 0.0)
        self.assertEqual(boundary.find_long_region(engines, 0.0), before)

    def test_long_prompt_waits_for_the_end_of_another_prefill(
        self,
    ) -> None:
        engines = _make_engines(18)
        for each in engines:
            row = dispatched.Dispatched(
                each.target.target_id, (0, 0, 0, 0, 20_000), 0, 0, (), 600.0
            )
            each.apply_peer_work(row, 0.0)
        self.assertEqual(_choose(_LONG, engines), [])
        waited = dataclasses.replace(_LONG, waited_ms=1_000.0)
        self.assertTrue(_choose(waited, engines))

    def test_very_long_prompt_waits_for_streams_rather_than_be_late(
        self,
    ) -> None:
        # One engine takes 8.9 s to prefill 400,000 tokens. Each engine of the
        # long region serves a stream that allows a prefill of at most 0.7 s at
        # a time.
        engines = _make_engines(18)
        very_long = dataclasses.replace(
            _LONG, prompt_tokens=400_000, held_tokens=401_000
        )
        for each in engines:
            row = dispatched.Dispatched(
                each.target.target_id, (), 0, 1, (1, 2, 1), 0.0
            )
            each.apply_peer_work(row, 0.0)
        self.assertEqual(_choose(very_long, engines), [])
        # It can still be in time after 1 s, but not after 2 s.
        waited = dataclasses.replace(very_long, waited_ms=1_000.0)
        self.assertEqual(_choose(waited, engines), [])
        waited = dataclasses.replace(very_long, waited_ms=2_500.0)
        self.assertTrue(_choose(waited, engines))

    def test_route_without_a_latency_objective_is_served(self) -> None:
        job = dataclasses.replace(_LONG, ttft_slo_ms=0.0)
        self.assertTrue(_choose(job, _make_engines(18)))
