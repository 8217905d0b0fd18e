"""What connections show about a VM's links, and which peer carries one."""

import random
import unittest

from ruddergate.decisions import carriers
from ruddergate.decisions import links


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links = links.Links()

    def test_one_bypassed_target_does_not_condemn_the_others(self) -> None:
        self.links.note_bypassed("a", 0.0)
        self.assertIs(self.links.state, links.State.DIRECT)
        self.assertTrue(self.links.prefers_detour("a", 1.0))
        self.assertFalse(self.links.prefers_detour("b", 1.0))

    def test_several_bypassed_targets_mean_lost_links(self) -> None:
        self.links.note_bypassed("a", 0.0)
        self.links.note_bypassed("b", 1.0)
        self.assertIs(self.links.state, links.State.DETOUR)
        self.assertTrue(self.links.prefers_detour("c", 1.0))

    def test_target_reached_in_between_keeps_the_direct_way(self) -> None:
        self.links.note_bypassed("a", 0.0)
        self.links.note_reached("c", 0.5)
        self.links.note_bypassed("b", 1.0)
        self.assertIs(self.links.state, links.State.DIRECT)

    def test_single_success_does_not_restore_flapping_links(self) -> None:
        self.links.note_bypassed("a", 0.0)
        self.links.note_bypassed("b", 1.0)
        self.links.note_reached("a", 2.0)
        self.links.note_failed()
        self.links.note_reached("a", 3.0)
        self.assertIs(self.links.state, links.State.DETOUR)
        self.links.note_reached("b", 4.0)
        self.assertIs(self.links.state, links.State.DIRECT)

    def test_broken_link_is_forgotten(self) -> None:
        self.links.note_bypassed("a", 0.0)
        later_ms = links.BROKEN_TTL_MS + 1.0
        self.assertFalse(self.links.prefers_detour("a", later_ms))
        self.assertEqual(self.links.count_broken(), 0)

    def test_short_silence_of_all_targets_is_no_isolation(self) -> None:
        self.links.note_reached("a", 0.0)
        for name in "abcd":
            self.links.note_unreached(name, 1_000.0)
        self.assertIs(self.links.state, links.State.DIRECT)
        self.links.note_unreached("a", 1_300.0)
        self.assertIs(self.links.state, links.State.ISOLATED)

    def test_dead_targets_beside_a_live_one_are_no_isolation(self) -> None:
        for step in range(20):
            now_ms = step * 500.0
            self.links.note_reached("live", now_ms)
            for name in "abcd":
                self.links.note_unreached(name, now_ms + 400.0)
        self.assertIs(self.links.state, links.State.DIRECT)

    def test_any_way_ends_isolation(self) -> None:
        for name in "abc":
            self.links.note_unreached(name, 2_000.0)
        self.assertIs(self.links.state, links.State.ISOLATED)
        self.links.note_detour_reached(2_100.0)
        self.assertIs(self.links.state, links.State.DETOUR)


class CarrierChoiceTest(unittest.TestCase):
    def _spread(
        self, peers: int, local: int, requests: int, seed: int
    ) -> list[int]:
        """Returns what each peer carries if loads are known at once."""
        rng = random.Random(seed)
        carried = [0] * peers
        for _ in range(requests):
            offered = [
                carriers.Carrier(str(n), "near" if n < local else "far", load)
                for n, load in enumerate(carried)
            ]
            chosen = carriers.choose(offered, frozenset(["near"]), rng)
            carried[int(chosen.name)] += 1
        return carried

    def test_no_peer_carries_more_than_twice_the_mean(self) -> None:
        for peers, local in ((3, 1), (9, 3), (80, 4), (195, 1)):
            for seed in range(5):
                with self.subTest(peers=peers, local=local, seed=seed):
                    requests = 20 * peers
                    carried = self._spread(peers, local, requests, seed)
                    self.assertLessEqual(max(carried), 2.0 * requests / peers)

    def test_nobody_is_chosen_without_peers(self) -> None:
        chosen = carriers.choose([], frozenset(), random.Random(1))
        self.assertIsNone(chosen)


if __name__ == "__main__":
    unittest.main()
