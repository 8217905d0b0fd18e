"""The scheduler: placing requests, and releasing abandoned placements."""

import asyncio
import dataclasses
import unittest

from ruddergate import environment
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import own_work
from ruddergate.decisions import queueing
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies
from ruddergate.entry import config as configs
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import scheduler_messages
from ruddergate.entry import view as views
from ruddergate.fleet import condition
from ruddergate.fleet import dispatched
from ruddergate.fleet import listing as listings
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.messages import fleet_view
from ruddergate.messages import tree_parts
from ruddergate.settings import effective
from ruddergate.settings import manifest as manifests
from standins import cluster as clusters
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("engine-1", 1)
_TARGET = targets.Target(
    "engine-1", "engines", "h", _ADDRESS, condition.Condition.LIVE
)
_PRIORITY = effective.PriorityClass("standard", 0, 0.0, 1e6)


def _make_view() -> views.View:
    shards = clusters.encode_tree(
        clusters.make_default_tree(clusters.Layout().engine)
    )
    manifest = manifests.make_manifest(1, shards)
    by_digest = {manifests.digest(data): data for data in shards.values()}
    view = views.View()
    view.apply_tree(tree_parts.TreeParts(manifest, by_digest))
    listing = listings.Listing(1, (), (_TARGET,))
    view.apply_fleet(fleet_view.FleetView(listing, 0.0, 0.0), 0.0)
    return view


def _make_request(view: views.View) -> scheduler_messages.PlacementRequest:
    return scheduler_messages.PlacementRequest(
        job=queueing.Job(
            "r",
            _PRIORITY,
            "w",
            1.0,
            queueing.Lane("engines", 0),
            50.0,
            50.0,
            float("inf"),
        ),
        routing_job=jobs.Job(1_000, 1_100, "", 0, False, 0.0),
        pool=view.index.find_pool("engines"),
        segments=(),
        excluded=frozenset(),
        reply=asyncio.get_running_loop().create_future(),
    )


def _make_report(
    generation: str, draining: bool
) -> scheduler_messages.LoadReported:
    report = load_report.LoadReport(
        "engine-1", generation, 0, 0, 0, draining, 0.0
    )
    return scheduler_messages.LoadReported(report)


class PeerLoadsTest(unittest.TestCase):
    def test_peer_loads_are_collected_before_placing(self) -> None:
        peer_loads = [dispatched.Dispatched("engine-1", (), 0, 7, (7, 0, 0))]

        async def run() -> str:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm", "h")
            view = _make_view()
            scheduler = schedulers.Scheduler(
                network.make_environment(process, 1),
                configs.EntryConfig("vm", "h", _ADDRESS),
                view,
                collect_peer_loads=lambda: peer_loads,
            )
            process.start(scheduler.run)
            scheduler.post(schedulers.ViewChanged())
            placed = await scheduler.place(_make_request(view))
            return placed.placements[0].estimated_load

        self.assertIn("streams=7.0", virtual_process.run(run))


class PlacementTest(unittest.TestCase):
    def place_one(self, is_cancelled: bool) -> tuple:
        async def run() -> tuple:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm-1", "h")
            env = network.make_environment(process, 1)
            config = configs.EntryConfig(
                "vm-1", "h", _ADDRESS, _ADDRESS, _ADDRESS, b""
            )
            view = _make_view()
            scheduler = schedulers.Scheduler(env, config, view)
            running = asyncio.ensure_future(scheduler.run())
            scheduler.post(schedulers.ViewChanged())
            scheduler.post(_make_report("a", draining=True))
            request = _make_request(view)
            scheduler.post(request)
            await asyncio.sleep(0.2)
            if is_cancelled:
                request.reply.cancel()
            scheduler.post(_make_report("b", draining=False))
            await asyncio.sleep(0.2)
            running.cancel()
            return scheduler.list_own_loads()

        return virtual_process.run(run)

    def test_request_is_placed_when_its_target_is_ready_again(self) -> None:
        self.assertEqual(self.place_one(is_cancelled=False)[0].streams, 1)

    def test_placement_of_a_cancelled_request_is_released(self) -> None:
        self.assertEqual(self.place_one(is_cancelled=True), ())


class PolicyJobTest(unittest.TestCase):
    """A policy chooses the target and the helpers for the same job."""

    def test_helpers_are_chosen_by_the_time_waited(self) -> None:
        waited_ms_seen: list[float] = []

        def choose(job, candidates, now_ms, rng):  # noqa: ANN001, ANN202
            waited_ms_seen.append(job.waited_ms)
            return candidates[0]

        def choose_helpers(job, chosen, candidates, now_ms, rng):  # noqa: ANN001, ANN202
            waited_ms_seen.append(job.waited_ms)
            return ()

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            process = virtual_process.VirtualProcess("vm-1", "h")
            env = network.make_environment(process, 1)
            view = _make_view()
            scheduler = schedulers.Scheduler(
                env, configs.EntryConfig("vm-1", "h", _ADDRESS), view
            )
            scheduler._placer._policy = policies.Policy(
                choose, choose_helpers=choose_helpers
            )
            running = asyncio.ensure_future(scheduler.run())
            scheduler.post(schedulers.ViewChanged())
            request = _make_request(view)
            route = dataclasses.replace(
                request.routing_job, waited_ms=env.now_ms()
            )
            request = dataclasses.replace(request, routing_job=route)
            await scheduler.place(request)
            running.cancel()

        virtual_process.run(run)
        self.assertEqual(len(waited_ms_seen), 2)
        self.assertEqual(waited_ms_seen[0], waited_ms_seen[1])
        self.assertLess(waited_ms_seen[1], 100.0)


class HelperEstimateTest(unittest.TestCase):
    """A helper that prefills part of a prompt decodes no answer."""

    def test_prefill_of_a_helper_counts_as_prefill_only(self) -> None:
        pool = _make_view().index.find_pool("engines")
        estimate = estimates.Estimate(_TARGET, pool)
        work = own_work.OwnWork(
            1_000, 0, 0.0, 0, prefill_ms=300.0, is_long=True, is_decoding=False
        )
        estimate.begin_attempt("a", work)
        self.assertEqual(estimate.recent_streams(1.0), 0.0)
        self.assertEqual(sum(estimate.streams_by_gap_class(1.0)), 0)
        self.assertEqual(estimate.summarize(1.0).streams, 0)
        self.assertGreater(estimate.remaining_prefill_ms(1.0), 200.0)
        estimate.note_first_token("a", 300.0)
        self.assertEqual(estimate.remaining_prefill_ms(301.0), 0.0)
