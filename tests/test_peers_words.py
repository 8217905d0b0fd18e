"""What peers say of targets that leave: words, and no proofs.

A peer's word that a target leaves was held for good, of any name, listed or
not. A single wrong one kept a sound target from all calls for as long as it
lived (0 of 8 calls in the emulated fleet; with all three targets of a service
named, 503 for every caller). And a VM that started more than 10 s after the
word was told by nobody, and found it out with a call.
"""

import asyncio
import unittest

import loguru

from standins import faulty_peer
from standins import gateway_cluster
from tests import gateway_scene

# A target that a peer wrongly says to leave is used again within this time.
_WRONG_WORD_S = 10.0
# A VM that has passed on that a target leaves sends it none after this time.
_LEAVE_S = 2.0
# VMs tell each other what they have heard for so long.
_TOLD_S = 10.0
# For a VM that starts to read the list, and to hear its peers.
_SETTLE_S = 1.5
# Lives that a VM remembers to have left.
_REMEMBERED = 24_000
_IN_ONE_WORD = 1_000
_VMS = 6


class PeersWordsTest(unittest.TestCase):
    """What a peer says of a target is a word, and no proof."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def test_wrong_word_costs_a_target_a_few_seconds_only(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            replica = scene.cluster.targets["service-0"].replica
            telling = asyncio.ensure_future(
                _tell_wrongly(scene.cluster, (replica.name,))
            )
            await asyncio.sleep(_WRONG_WORD_S)
            self.assertGreater(await scene.count_arrivals(replica, "open"), 0)
            telling.cancel()

        gateway_scene.play(scene, vms=_VMS)

    def test_all_targets_of_a_pool_are_not_lost_to_a_wrong_word(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            names = [f"service-{number}" for number in range(3)]
            replicas = [scene.cluster.targets[name].replica for name in names]
            words = tuple(each.name for each in replicas)
            telling = asyncio.ensure_future(_tell_wrongly(scene.cluster, words))
            await asyncio.sleep(_WRONG_WORD_S)
            for number in range(_VMS):
                got = await scene.call("open", f"vm-{number}")
                self.assertEqual(got.status, 200)
            telling.cancel()

        gateway_scene.play(scene, vms=_VMS)

    def test_words_of_a_peer_do_not_push_out_what_was_heard(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            cluster.store.failure = "busy"
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await scene.call_until_told(replica, "open")
            for begin in range(0, _REMEMBERED + _IN_ONE_WORD, _IN_ONE_WORD):
                words = (f"none-{begin + each}" for each in range(_IN_ONE_WORD))
                await faulty_peer.announce_draining(
                    cluster, begin + 1, tuple(words)
                )
                await asyncio.sleep(0.1)
            await asyncio.sleep(_LEAVE_S)
            self.assertEqual(await scene.count_arrivals(replica, "open"), 0)

        gateway_scene.play(scene, vms=_VMS, is_strict=False)

    def test_vm_that_starts_later_is_told_of_it(self) -> None:
        async def scene(scene: gateway_scene.Scene) -> None:
            cluster = scene.cluster
            replica = cluster.targets["service-0"].replica
            replica.draining_hint = "1"
            await scene.call_until_told(replica, "open")
            await asyncio.sleep(_TOLD_S + 1.0)
            node = cluster.vms["vm-3"]
            cluster.kill(node)
            cluster.start_vm(node)
            await asyncio.sleep(_SETTLE_S)
            arrived = await scene.count_arrivals(replica, "open", "vm-3")
            self.assertEqual(arrived, 0)

        gateway_scene.play(scene, vms=_VMS)


async def _tell_wrongly(
    cluster: gateway_cluster.GatewayCluster, words: tuple[str, ...]
) -> None:
    """Tells all VMs again and again that targets leave."""
    number = 0
    while True:
        number += 1
        await faulty_peer.announce_draining(cluster, number, words)
        await asyncio.sleep(0.5)
