"""Digests between gateways: sums, order, growth of their cost."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from ruddergate.decisions import peer_loads
from ruddergate.fleet import dispatched
from ruddergate.messages import load_digest
from ruddergate.wire import codec


def _digest(
    sender: str,
    number: int = 1,
    streams: int = 1,
    peers: tuple[str, ...] = (),
    incarnation: str = "a",
) -> load_digest.LoadDigest:
    row = dispatched.Dispatched(
        "e", (100, 0, 0, 0, 0), 500, streams, (streams, 0, 0), 20.0
    )
    return load_digest.LoadDigest(sender, incarnation, number, peers, (row,))


class PeerLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = peer_loads.PeerLoads("1.1.1.1:1")
        self.chance = random.Random(1)

    def test_sums_over_peers(self) -> None:
        self.loads.take(_digest("1.1.1.2:1"), 0.0)
        self.loads.take(_digest("1.1.1.3:1", streams=2), 0.0)
        (row,) = self.loads.sum_up(100.0)
        self.assertEqual(row.streams, 3)
        self.assertEqual(row.streams_by_pause, (3, 0, 0))
        self.assertEqual(row.held_tokens, 1_000)
        self.assertEqual(row.prefill_ms, 40.0)

    def test_older_digest_changes_nothing(self) -> None:
        self.loads.take(_digest("1.1.1.2:1", number=5, streams=1), 0.0)
        self.loads.take(_digest("1.1.1.2:1", number=4, streams=9), 1.0)
        self.assertEqual(self.loads.sum_up(2.0)[0].streams, 1)

    def test_restarted_peer_is_heard(self) -> None:
        self.loads.take(_digest("1.1.1.2:1", number=5), 0.0)
        restarted = _digest("1.1.1.2:1", number=0, streams=7, incarnation="b")
        self.loads.take(restarted, 1.0)
        self.assertEqual(self.loads.sum_up(2.0)[0].streams, 7)

    def test_silent_peers_work_ends(self) -> None:
        self.loads.take(_digest("1.1.1.2:1"), 0.0)
        self.loads.sum_up(0.0)
        (row,) = self.loads.sum_up(peer_loads.NEWS_MS + 1.0)
        self.assertEqual((row.target_id, row.streams), ("e", 0))
        self.loads.forget_silent(peer_loads.FORGET_MS + 1.0)
        self.assertEqual(len(self.loads), 0)

    def test_named_peers_are_written_to_but_not_passed_on(self) -> None:
        self.loads.take(_digest("1.1.1.2:1", peers=("1.1.1.9:1",)), 0.0)
        receivers = self.loads.choose_receivers(9, self.chance)
        self.assertEqual(sorted(receivers), ["1.1.1.2:1", "1.1.1.9:1"])
        named = self.loads.name_some(1.0, self.chance)
        self.assertEqual(named, ["1.1.1.2:1"])

    def test_receivers_do_not_grow_with_the_fleet(self) -> None:
        for number in range(300):
            self.loads.take(_digest(f"1.1.{number // 250}.{number % 250}:1"), 0)
        receivers = self.loads.choose_receivers(peer_loads.FAN_OUT, self.chance)
        self.assertEqual(len(receivers), peer_loads.FAN_OUT)

    def test_part_of_a_large_fleet_stands_for_all(self) -> None:
        for number in range(100):
            heard_ms = 5_000.0 if number % 2 else 0.0
            self.loads.take(_digest(f"1.1.1.{number}:2"), heard_ms)
        (row,) = self.loads.sum_up(5_000.0)
        self.assertEqual(row.streams, 100)

    def test_own_digest_is_no_peers(self) -> None:
        self.loads.take(_digest("1.1.1.1:1"), 0.0)
        self.assertEqual(len(self.loads), 0)


class DigestCodecTest(unittest.TestCase):
    def test_round_trip_and_size(self) -> None:
        row = _digest("1.1.1.1:1").rows[0]
        digest = load_digest.LoadDigest(
            "10.100.200.30:7341",
            "0123456789ab",
            100_000,
            ("10.100.200.31:7341",) * peer_loads.NAMED_MAX,
            (row,) * 30,
        )
        data = codec.encode(digest)
        self.assertEqual(codec.decode(data), digest)
        # One datagram in one packet.
        self.assertLess(len(data), 1_400)

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes_are_borne(self, data: bytes) -> None:
        codec.decode(data)
