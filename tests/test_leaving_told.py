"""Targets that say in their answers that they leave."""

import asyncio
import unittest

import loguru
import msgpack

from ruddergate import environment
from ruddergate.decisions import draining
from ruddergate.entry import target_availability
from ruddergate.fleet import life as lives
from ruddergate.messages import load_digest
from ruddergate.telemetry import metrics
from ruddergate.wire import codec
from standins import gateway_caller
from standins import gateway_cluster
from tests import gateway_scene

# A VM that has passed on an answer that says so sends no more after this time.
_LEAVE_S = 2.0
_PLAY_S = 7.0
_GAP_S = 0.1


class StoreAwayTest(unittest.TestCase):
    """A target that leaves while the store is away.

    Nothing but the store's list was asked whether a target leaves. One that
    left while the store was away said so in each of its answers; 21 calls had
    begun at it in the 8.5 s before that, and 21 in the 7.5 s after it, from the
    same three VMs, each a first try that was placed within 1 ms of its arrival.
    Two other targets served meanwhile. What a VM believed of it was
    `streams=0.0 own=0`, and no line said that it leaves.
    """

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_plain_service_gets_no_calls_of_vms_that_passed_it_on(self) -> None:
        self._play("service-0", "open")

    def test_engine_gets_no_calls_of_vms_that_passed_it_on(self) -> None:
        self._play("engine-3", "short")

    def _play(self, leaving: str, route: str) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            await asyncio.sleep(0.5)
            replica = cluster.targets[leaving].replica
            replica.draining_hint = "1"
            calls = []
            for number in range(round(_PLAY_S / _GAP_S)):
                vm = f"vm-{number % len(cluster.vms)}"
                calls.append(asyncio.ensure_future(scene.call(route, vm)))
                await asyncio.sleep(_GAP_S)
            got = await asyncio.gather(*calls)
            self.assertEqual({each.status for each in got}, {200})
            told = [each for each in got if "server-leaving" in each.headers]
            self.assertGreater(len(told), 0)
            arrived = {each.request_id for each in replica.arrivals}
            for vm in cluster.vms:
                self.assertEqual(_find_late(got, vm, arrived), [])

        gateway_scene.play(scene, is_strict=False)


def _find_late(
    got: list[gateway_caller.CallResult], vm: str, arrived: set[str]
) -> list[str]:
    """Returns calls that a VM sent there too long after it was told."""
    own = [each for each in got if each.call.vm == vm]
    told_s = [
        each.sent_s + (each.first_ms or each.took_ms) / 1000.0
        for each in own
        if "server-leaving" in each.headers
    ]
    bound_s = min(told_s, default=float("inf")) + _LEAVE_S
    return [
        each.call.request_id
        for each in own
        if each.sent_s > bound_s and each.call.request_id in arrived
    ]


class WaysTest(unittest.TestCase):
    """Whoever hears it, and on whatever way a call is."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_peers_hear_of_it(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await scene.call("open", "vm-0")
            self.assertEqual(len(replica.arrivals), 1)
            await asyncio.sleep(0.2)
            for _ in range(8):
                # Of the same hall, so that this target was nearest.
                got = await scene.call("open", "vm-3")
                self.assertEqual(got.status, 200)
            self.assertEqual(len(replica.arrivals), 1)

        gateway_scene.play(scene, vms=6, is_strict=False)

    def test_vm_that_a_cut_kept_from_its_peers_hears_of_it_after(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            cut = gateway_cluster.virtual_network.Cut("vm-3", "")
            cluster.network.cuts.append(cut)
            replica.draining_hint = "1"
            await scene.call("open", "vm-0")
            await asyncio.sleep(5.0)
            cluster.network.cuts.remove(cut)
            await asyncio.sleep(1.5)
            arrivals = len(replica.arrivals)
            for _ in range(8):
                await scene.call("open", "vm-3")
            self.assertEqual(len(replica.arrivals), arrivals)

        gateway_scene.play(scene, vms=6, is_strict=False)

    def test_helper_that_says_it_to_an_order_is_not_named(self) -> None:
        # Memory is set aside at helpers first. One that answered the order and
        # said that it leaves was named to the writer all the same.
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            leaving = ("engine-0", "engine-1", "engine-2")
            for name in leaving:
                cluster.targets[name].replica.draining_hint = "1"
            got = await scene.call(
                "long", prompt_tokens=600_000, output_tokens=460
            )
            self.assertEqual((got.status, got.is_complete), (200, True))
            for name in leaving:
                replica = cluster.targets[name].replica
                self.assertEqual((replica.helped, replica.runs), (0, []))

        gateway_scene.play(scene, engines=6, is_strict=False)

    def test_broken_stream_goes_on_elsewhere(self) -> None:
        # Both engines break off and say that they leave; where none is left,
        # one that has failed the call was taken again.
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            scene.spoil("engine", break_off=1.0)
            first, other = (
                cluster.targets[f"engine-{number}"].replica for number in (0, 1)
            )
            first.draining_hint = other.draining_hint = "1"
            got = await scene.call("short")
            self.assertFalse(got.is_complete)
            arrivals = len(first.arrivals) + len(other.arrivals)
            self.assertLessEqual(arrivals, 2)
            for _ in range(4):
                again = await scene.call("short")
                self.assertEqual(again.status, 503)
            arrived = len(first.arrivals) + len(other.arrivals)
            self.assertEqual(arrived, arrivals)

        gateway_scene.play(scene, engines=2, halls=1, is_strict=False)

    def test_younger_life_is_not_bound_by_it(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            node = cluster.targets["service-0"]
            node.replica.draining_hint = "1"
            await scene.call("open")
            cluster.kill(node)
            cluster.start_target(node)
            await asyncio.sleep(1.5)
            for _ in range(4):
                await scene.call("open")
            self.assertGreater(len(node.replica.arrivals), 0)

        gateway_scene.play(scene, reuses_names=True)

    def test_when_all_leave_calls_are_refused_at_once(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            for number in range(3):
                replica = cluster.targets[f"service-{number}"].replica
                replica.draining_hint = "1"
            for vm in cluster.vms:
                await scene.call("open", vm)
            await asyncio.sleep(0.2)
            for vm in cluster.vms:
                got = await scene.call("open", vm)
                self.assertEqual((got.status, scene.runs(got)), (503, []))
                self.assertGreater(float(got.headers["retry-after"]), 0.0)
                self.assertLess(got.took_ms, 50.0)

        gateway_scene.play(scene, is_strict=False)

    def test_words_without_a_meaning_do_no_harm(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            for word in ("0", "2", "true", "-1"):
                replica = scene.cluster.targets["service-0"].replica
                replica.draining_hint = word
                arrivals = len(replica.arrivals)
                for _ in range(3):
                    got = await scene.call("open")
                    self.assertEqual(got.status, 200)
                self.assertEqual(len(replica.arrivals), arrivals + 3)

        gateway_scene.play(scene)


class PeersWordTest(unittest.TestCase):
    """What a peer's digest says of leavings."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_word_that_is_no_life_is_dropped(self) -> None:
        withdrawn = draining.DrainState()
        notices = target_availability.TargetAvailability(
            environment.make_system_environment(),
            withdrawn,
            metrics.EntryMetrics(),
        )
        withdrawn.note_listed(lives.Life("i" * 1_000), 0.0)
        withdrawn.note_listed(lives.Life("i-1", 5), 0.0)
        notices.merge_gossip(["i" * 1_000, "i-1@5"], "peer")
        self.assertFalse(withdrawn.may_be_draining(lives.Life("i" * 1_000)))
        self.assertTrue(withdrawn.may_be_draining(lives.Life("i-1", 5)))

    def test_digest_of_an_earlier_release_says_nothing_of_it(self) -> None:
        digest = load_digest.LoadDigest("vm:1", "h", 0, "run", 1, ())
        tag, fields = msgpack.unpackb(codec.encode(digest))
        self.assertEqual(codec.decode(msgpack.packb((tag, fields))), digest)
        self.assertEqual(
            codec.decode(msgpack.packb((tag, fields[:-1]))), digest
        )
