"""Load digests between gateways: sums, order, relays and growth of cost."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import hypothesis
from hypothesis import strategies
import loguru
import msgpack

from ruddergate.decisions import peer_groups
from ruddergate.decisions import peer_loads
from ruddergate.entry import digest_relay
from ruddergate.entry import peer_gossip
from ruddergate.fleet import dispatched
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.wire import codec
from standins import peer_fleet
from standins import virtual_network
from standins import virtual_process

# A change passes at most two relays, each of which sends at intervals.
_MAX_DELAY_MS = (
    2.0 * (digest_relay.BATCH_DELAY_MS + digest_relay.FORWARD_INTERVAL_MS)
    + 30.0
)


def _make_row(streams: int = 1, target: str = "e") -> dispatched.Dispatched:
    return dispatched.Dispatched(
        target, (100, 0, 0, 0, 0), 500, streams, (streams, 0, 0), 20.0
    )


def _make_digest(
    sender: str,
    number: int = 1,
    streams: int = 1,
    incarnation: str = "a",
    hall: str = "h",
) -> load_digest.LoadDigest:
    return load_digest.LoadDigest(
        sender, hall, 20, incarnation, number, (_make_row(streams),)
    )


class PeerLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = peer_loads.PeerLoads(
            "1.1.1.1:1", peer_groups.VmAttributes("h", 20)
        )

    def test_sums_over_peers(self) -> None:
        self.loads.merge(_make_digest("1.1.1.2:1"), 0.0)
        self.loads.merge(_make_digest("1.1.1.3:1", streams=2), 0.0)
        (row,) = self.loads.collect_sums()
        self.assertEqual(row.streams, 3)
        self.assertEqual(row.streams_by_gap_class, (3, 0, 0))
        self.assertEqual(row.pending_tokens, (200, 0, 0, 0, 0))
        self.assertEqual(row.held_tokens, 1_000)
        self.assertEqual(row.prefill_ms, 40.0)

    def test_only_changed_sums_are_returned(self) -> None:
        self.loads.merge(_make_digest("1.1.1.2:1"), 0.0)
        self.loads.collect_sums()
        self.loads.merge(_make_digest("1.1.1.2:1", number=2), 1.0)
        self.assertEqual(self.loads.collect_sums(), ())
        self.loads.mark_all_changed()
        self.assertEqual(len(self.loads.collect_sums()), 1)

    def test_older_digest_is_ignored(self) -> None:
        self.loads.merge(_make_digest("1.1.1.2:1", number=5, streams=1), 0.0)
        older = _make_digest("1.1.1.2:1", number=4, streams=9)
        self.assertFalse(self.loads.merge(older, 1.0))
        self.assertEqual(self.loads.collect_sums()[0].streams, 1)

    def test_digest_of_a_restarted_peer_is_merged(self) -> None:
        self.loads.merge(_make_digest("1.1.1.2:1", number=5), 0.0)
        restarted = _make_digest(
            "1.1.1.2:1", number=0, streams=7, incarnation="b"
        )
        self.assertTrue(self.loads.merge(restarted, 1.0))
        self.assertEqual(self.loads.collect_sums()[0].streams, 7)

    def test_load_of_a_silent_peer_expires(self) -> None:
        self.loads.merge(_make_digest("1.1.1.2:1"), 0.0)
        self.loads.collect_sums()
        self.loads.forget_silent(peer_loads.DIGEST_TTL_MS + 1.0)
        (row,) = self.loads.collect_sums()
        self.assertEqual((row.target_id, row.streams), ("e", 0))
        self.loads.forget_silent(peer_loads.FORGET_AFTER_MS + 1.0)
        self.assertEqual(len(self.loads), 0)

    def test_own_digest_is_ignored(self) -> None:
        self.assertFalse(self.loads.merge(_make_digest("1.1.1.1:1"), 0.0))
        self.assertEqual(len(self.loads), 0)

    def test_silent_relay_is_replaced_until_it_responds(self) -> None:
        for number in range(2, 20):
            self.loads.merge(_make_digest(f"1.1.1.{number}:1"), 0.0)
        first = self.loads.find_relay(0.0)
        self.assertNotEqual(first, "1.1.1.1:1")
        self.loads.note_sent_to(first, 0.0)
        late_ms = peer_loads.RELAY_TIMEOUT_MS + 1.0
        self.assertNotEqual(self.loads.find_relay(late_ms), first)
        self.loads.note_received_from(first)
        self.assertEqual(self.loads.find_relay(late_ms), first)


class PeerGroupsTest(unittest.TestCase):
    @hypothesis.given(strategies.integers(1, 400), strategies.integers(1, 12))
    @hypothesis.settings(max_examples=30, deadline=None)
    def test_every_vm_is_in_one_group_of_its_hall(
        self, size: int, halls: int
    ) -> None:
        fleet = {
            f"1.1.1.{n}:1": peer_groups.VmAttributes(f"h{n % halls}", n % 3)
            for n in range(size)
        }
        groups = peer_groups.divide(fleet)
        members = [name for group in groups for name in group.members]
        self.assertEqual(sorted(members), sorted(fleet))
        for group in groups:
            self.assertLessEqual(len(group.members), peer_groups.MAX_GROUP_SIZE)
            halls_in = {fleet[name].hall for name in group.members}
            self.assertEqual(halls_in, {group.hall})

    def test_receivers_of_a_relay_at_940_vms(self) -> None:
        fleet = {
            f"vm-{n}:1": peer_groups.VmAttributes(f"h{n % 12}", 20)
            for n in range(940)
        }
        groups = peer_groups.divide(fleet)
        self.assertLessEqual(len(groups) + peer_groups.MAX_GROUP_SIZE, 80)

    def test_vms_with_fast_links_are_relays(self) -> None:
        fleet = {
            f"vm-{n}:1": peer_groups.VmAttributes(
                "h", 200 if n in (33, 61) else 20
            )
            for n in range(64)
        }
        relays = {group.members[0] for group in peer_groups.divide(fleet)}
        self.assertEqual(relays, {"vm-33:1", "vm-61:1"})


class PeerFleetTest(unittest.TestCase):
    """Fleets of gossiping VMs in virtual time."""

    def _run_scenario(
        self,
        scenario: Callable[[peer_fleet.PeerFleet], Awaitable[None]],
        size: int,
        seeds: tuple[str, ...] = ("vm-0", "vm-1"),
    ) -> None:
        async def run() -> None:
            fleet = peer_fleet.PeerFleet(size, seeds)
            await asyncio.sleep(4.0)
            await scenario(fleet)

        virtual_process.run(run)

    async def _check_change(self, fleet: peer_fleet.PeerFleet) -> None:
        fleet.set_own_streams("vm-5", fleet.members["vm-5"].own_streams + 3)
        await asyncio.sleep(_MAX_DELAY_MS / 1000.0)
        self.assertEqual(fleet.find_inconsistent(), [])

    def test_change_reaches_all_vms_in_time(self) -> None:
        for size in (9, 17, 50):
            with self.subTest(size=size):
                self._run_scenario(self._check_change, size)

    def test_failed_relays_are_replaced(self) -> None:
        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            relays = fleet.find_relays() - {"vm-5"}
            self.assertGreaterEqual(len(relays), 2)
            for name in relays:
                fleet.kill(name)
            await asyncio.sleep(
                (peer_loads.DIGEST_TTL_MS + 4.0 * peer_gossip.ROUND_INTERVAL_MS)
                / 1000.0
            )
            await self._check_change(fleet)

        self._run_scenario(scenario, 40, ("vm-0",))

    def test_hall_is_known_again_after_a_long_partition(self) -> None:
        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            cut = virtual_network.Cut("hall-1", "")
            fleet.network.cuts.append(cut)
            fleet.set_own_streams("vm-1", 4)
            await asyncio.sleep(12.0)
            # VMs of the same hall still receive each other's digests.
            self.assertEqual(fleet.members["vm-4"].count_peer_streams(), 4)
            self.assertEqual(fleet.members["vm-3"].count_peer_streams(), 0)
            fleet.network.cuts.remove(cut)
            await asyncio.sleep(4.0 * peer_gossip.ROUND_INTERVAL_MS / 1000.0)
            self.assertEqual(fleet.find_inconsistent(), [])

        self._run_scenario(scenario, 40, ("vm-0",))

    def test_simultaneous_restart_of_all_vms(self) -> None:
        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            for name in list(fleet.members):
                fleet.kill(name)
                fleet.start(name, fleet.members[name].process.hall)
            await asyncio.sleep(4.0)
            await self._check_change(fleet)

        self._run_scenario(scenario, 30)

    def test_change_of_the_relay_is_logged(self) -> None:
        lines: list[str] = []
        sink = loguru.logger.add(
            lambda line: lines.append(line.record["message"]), level="INFO"
        )
        self.addCleanup(loguru.logger.remove, sink)

        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            relay = sorted(fleet.find_relays())[0]
            lines.clear()
            fleet.kill(relay)
            await asyncio.sleep(2.0 * peer_loads.RELAY_TIMEOUT_MS / 1000.0)
            logged = [
                line
                for line in lines
                if line.startswith("Digests are relayed by")
            ]
            # Once by each of the other VMs of the group.
            self.assertEqual(len(logged), 40 // 3 - 1)

        self._run_scenario(scenario, 40)

    def test_frozen_relay(self) -> None:
        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            relay = sorted(fleet.find_relays() - {"vm-5"})[0]
            fleet.members[relay].process.freeze()
            await asyncio.sleep(4.0)
            fleet.members[relay].process.resume()
            await asyncio.sleep(4.0 * peer_gossip.ROUND_INTERVAL_MS / 1000.0)
            await self._check_change(fleet)

        self._run_scenario(scenario, 40)

    def test_datagrams_sent_by_a_vm_are_bounded(self) -> None:
        sent_max = {}
        for size in (40, 120):

            async def scenario(fleet: peer_fleet.PeerFleet) -> None:
                sent_before = {n: m.sent for n, m in fleet.members.items()}
                await asyncio.sleep(2.0)
                sent = [
                    m.sent - sent_before[n] for n, m in fleet.members.items()
                ]
                sent.sort()
                # VMs that are not relays send one in each round.
                self.assertLessEqual(sent[len(sent) // 2], 3)
                sent_max[len(sent)] = sent[-1]

            self._run_scenario(scenario, size)
        # Most of them go to the members of the relay's group, which are 13 and
        # 20, and not to all other VMs.
        self.assertLess(sent_max[120], 3.0 * sent_max[40])

    def test_datagrams_received_by_a_vm_do_not_grow_with_the_fleet(
        self,
    ) -> None:
        # When relays forwarded every 20 ms at any fleet size, receiving digests
        # took most of a VM's processor time at 195 VMs. Every datagram that is
        # sent is received, so the sent ones are counted.
        datagrams_per_vm = {}
        for size in (80, 195):

            async def scenario(fleet: peer_fleet.PeerFleet) -> None:
                changing = asyncio.ensure_future(peer_fleet.vary_load(fleet))
                sent_before = sum(m.sent for m in fleet.members.values())
                await asyncio.sleep(1.0)
                sent = sum(m.sent for m in fleet.members.values()) - sent_before
                datagrams_per_vm[len(fleet.members)] = sent / len(fleet.members)
                changing.cancel()

            self._run_scenario(scenario, size)
        self.assertLessEqual(datagrams_per_vm[195], 1.1 * datagrams_per_vm[80])

    def test_urgent_digest_is_not_batched(self) -> None:
        async def scenario(fleet: peer_fleet.PeerFleet) -> None:
            changing = asyncio.ensure_future(peer_fleet.vary_load(fleet))
            await asyncio.sleep(1.0)
            started_s = asyncio.get_running_loop().time()
            fleet.announce_draining("vm-5", "i-1")
            await asyncio.sleep(_MAX_DELAY_MS / 1000.0)
            delays_s = [
                member.received_at_s.get("i-1", float("inf")) - started_s
                for name, member in fleet.members.items()
                if name != "vm-5"
            ]
            changing.cancel()
            self.assertLessEqual(max(delays_s), _MAX_DELAY_MS / 1000.0)

        self._run_scenario(scenario, 120)


class CodecTest(unittest.TestCase):
    def test_round_trip_and_size(self) -> None:
        digest = load_digest.LoadDigest(
            "10.100.200.30:7341",
            "hall-bezigrad",
            1_000,
            "0123456789ab",
            100_000,
            (_make_row(), _make_row(2, "i-7f3a91c2")),
        )
        bundle = load_bundle.LoadBundle(
            "10.100.200.30:7341",
            True,
            (digest,) * digest_relay.MAX_BUNDLE_DIGESTS,
        )
        data = codec.encode(bundle)
        self.assertEqual(codec.decode(data), bundle)
        # Well below the size limit of a datagram.
        self.assertLess(len(data), 8_000)

    def test_scalars_are_not_converted(self) -> None:
        for wrong in (
            ["1.1.1.1:1", "h", 20, "a", "5", []],
            ["1.1.1.1:1", "h", 20, "a", 5.0, []],
            ["1.1.1.1:1", "h", 20, "a", True, []],
            [1, "h", 20, "a", 5, []],
        ):
            data = msgpack.packb((16, wrong))
            self.assertIsInstance(codec.decode(data), codec.Malformed, wrong)

    @hypothesis.given(strategies.binary(max_size=80))
    def test_arbitrary_bytes_raise_nothing(self, data: bytes) -> None:
        codec.decode(data)
