"""The cost of receiving load digests, counted independently of the machine.

Guards against gossip that takes the processor time of serving as the fleet
grows: at 195 VMs, 0.41 of a VM's processor time went to receiving digests, 0.18
of it to building typed objects. A digest then took 159 function calls.
"""

import unittest

import msgpack
import msgspec

from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.fleet import rate_limit
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.wire import codec
from standins import digest_cost

# A VM may spend 1.8 % of a core on control, half of that on receiving digests:
# 9 ms per second. 195 VMs send 470 digests per second, which leaves 19 us for
# each; a function call takes about a third of a microsecond.
_MAX_CALLS = 60


class DigestCostTest(unittest.TestCase):
    def test_receiving_a_digest_takes_few_function_calls(self) -> None:
        datagrams = digest_cost.make_datagrams(rounds=4)
        changes = digest_cost.merge_datagrams(datagrams)
        calls = digest_cost.count_calls(
            lambda: digest_cost.merge_datagrams(datagrams)
        )
        self.assertLessEqual(calls / changes, _MAX_CALLS)


class ReleaseCompatibilityTest(unittest.TestCase):
    """VMs of two releases exchange digests during a rolling upgrade."""

    def setUp(self) -> None:
        self.row = dispatched.Dispatched("e", (100, 0), 500, 2, (1, 1), 20.0)
        self.digest = load_digest.LoadDigest(
            "vm:1",
            "h",
            20,
            "run",
            7,
            (self.row,),
            loss_report.LossReport(("g",), ("s",), ("h2",)),
            ("i-1@5",),
            (rate_limit.RateLimitUpdate("e", 0.5, 120.0),),
            13,
            3,
            ("e",),
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
            3,
            ["e"],
        ]

    def test_encoding_is_that_of_earlier_releases(self) -> None:
        self.assertEqual(
            codec.encode(self.digest), msgpack.packb((16, self.fields))
        )
        bundle = load_bundle.LoadBundle("vm:2", True, (self.digest,))
        self.assertEqual(
            codec.encode(bundle),
            msgpack.packb((17, ["vm:2", True, [self.fields]])),
        )

    def test_missing_and_additional_fields_are_accepted(self) -> None:
        without_optional_fields = load_digest.LoadDigest(
            "vm:1", "h", 20, "run", 7, (self.row,)
        )
        data = msgpack.packb((16, self.fields[:6]))
        self.assertEqual(codec.decode(data), without_optional_fields)
        without_refuted = msgspec.structs.replace(self.digest, refuted_ends=())
        data = msgpack.packb((16, self.fields[:11]))
        self.assertEqual(codec.decode(data), without_refuted)
        without_carried = msgspec.structs.replace(without_refuted, carried=-1)
        data = msgpack.packb((16, self.fields[:10]))
        self.assertEqual(codec.decode(data), without_carried)
        without_settings = msgspec.structs.replace(
            without_carried, settings_revision=0
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

    def test_only_integers_are_accepted_for_floats(self) -> None:
        self.fields[5][0][5] = 20
        data = msgpack.packb((16, self.fields))
        self.assertEqual(codec.decode(data), self.digest)
        for wrong in ("20", None, [20.0]):
            self.fields[5][0][5] = wrong
            data = msgpack.packb((16, self.fields))
            self.assertIsInstance(codec.decode(data), codec.Malformed, wrong)
