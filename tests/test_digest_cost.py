"""What hearing the other VMs costs, as a figure that no machine changes.

At 195 VMs 0.41 of a VM's processor time went to taking digests in (a sample of
ten VMs early in a day), 0.18 to making types of what was decoded, so that size
was paid for by hearing and not by serving. A digest took 159 calls of
functions.
"""

import unittest

import msgpack
import msgspec

from ruddergate.fleet import bad_news
from ruddergate.fleet import dispatched
from ruddergate.fleet import rate_limit
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.wire import codec
from standins import digest_cost

# A VM may spend 1.8 % of a core on control, half of that on hearing: 9 ms a
# second. Of 195 VMs come 470 digests a second, which leaves 19 us for each; a
# call of a function takes about a third of one.
_CALLS_MOST = 60


class DigestCostTest(unittest.TestCase):
    def test_hearing_a_digest_takes_few_calls(self) -> None:
        datagrams = digest_cost.make_datagrams(rounds=4)
        news = digest_cost.merge_datagrams(datagrams)
        calls = digest_cost.count_calls(
            lambda: digest_cost.merge_datagrams(datagrams)
        )
        self.assertLessEqual(calls / news, _CALLS_MOST)


class EarlierReleasesTest(unittest.TestCase):
    """VMs of two releases hear each other while a fleet is replaced."""

    def setUp(self) -> None:
        self.row = dispatched.Dispatched("e", (100, 0), 500, 2, (1, 1), 20.0)
        self.digest = load_digest.LoadDigest(
            "vm:1",
            "h",
            20,
            "run",
            7,
            (self.row,),
            bad_news.BadNews(("g",), ("s",), ("h2",)),
            ("i-1@5",),
            (rate_limit.RateLimitUpdate("e", 0.5, 120.0),),
            13,
        )
        self.fields = [
            "vm:1",
            "h",
            20,
            "run",
            7,
            [["e", [100, 0], 500, 2, [1, 1], 20.0]],
            [["g"], ["s"], ["h2"]],
            ["i-1@5"],
            [["e", 0.5, 120.0]],
            13,
        ]

    def test_bytes_are_those_of_earlier_releases(self) -> None:
        self.assertEqual(
            codec.encode(self.digest), msgpack.packb((16, self.fields))
        )
        bundle = load_bundle.LoadBundle("vm:2", True, (self.digest,))
        self.assertEqual(
            codec.encode(bundle),
            msgpack.packb((17, ["vm:2", True, [self.fields]])),
        )

    def test_fewer_and_more_fields_are_borne(self) -> None:
        early = load_digest.LoadDigest("vm:1", "h", 20, "run", 7, (self.row,))
        data = msgpack.packb((16, self.fields[:6]))
        self.assertEqual(codec.decode(data), early)
        without_settings = msgspec.structs.replace(
            self.digest, settings_revision=0
        )
        data = msgpack.packb((16, self.fields[:9]))
        self.assertEqual(codec.decode(data), without_settings)
        without_limits = msgspec.structs.replace(
            without_settings, rate_limits=()
        )
        data = msgpack.packb((16, self.fields[:8]))
        self.assertEqual(codec.decode(data), without_limits)
        data = msgpack.packb((16, [*self.fields, {"new": 1}]))
        self.assertEqual(codec.decode(data), self.digest)

    def test_whole_numbers_stand_for_fractions_and_nothing_else(self) -> None:
        self.fields[5][0][5] = 20
        data = msgpack.packb((16, self.fields))
        self.assertEqual(codec.decode(data), self.digest)
        for wrong in ("20", None, [20.0]):
            self.fields[5][0][5] = wrong
            data = msgpack.packb((16, self.fields))
            self.assertIsInstance(codec.decode(data), codec.Malformed, wrong)
