"""Parts of prompts that crash engines, combined with random other faults."""

import unittest
from unittest import mock

from ruddergate.decisions import poison_requests
from ruddergate.entry import quarantine
from standins import poison_part_schedules

_SEEDS = range(40, 42)
# Requests with the part are frequent there, and few streams last.
_ABLATED_SEED = 43
_MANY_REFUSALS = 50


class PoisonPartSchedulesTest(unittest.TestCase):
    """A poison part is sent only until all reachable VMs can know of it.

    Guards against evidence that is kept for whole requests, of which no two are
    alike, and against verdicts on the parts that harmless requests share.
    """

    def test_poison_parts_stop_once_reachable_vms_can_know(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = poison_part_schedules.run_schedule(seed)
                self.assertEqual(result.broken, [])
                self.assertGreater(result.statuses.get(200, 0), 50)

    def test_schedules_detect_evidence_on_whole_contents_only(self) -> None:
        with mock.patch.object(
            quarantine,
            "find_fingerprints",
            lambda request: (quarantine.find_fingerprint(request),),
        ):
            result = poison_part_schedules.run_schedule(_SEEDS[0])
        self.assertIn("too late", " ".join(result.broken))

    def test_verdicts_without_proof_refuse_harmless_requests(self) -> None:
        with mock.patch.object(
            poison_requests.PoisonRequests,
            "note_lasting",
            lambda *args: False,
        ):
            result = poison_part_schedules.run_schedule(_ABLATED_SEED)
        self.assertGreater(result.statuses.get(503, 0), _MANY_REFUSALS)
        result = poison_part_schedules.run_schedule(_ABLATED_SEED)
        self.assertLess(result.statuses.get(503, 0), _MANY_REFUSALS)
