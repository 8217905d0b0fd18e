"""Questions to peers of a VM that has just started.

They decide whether keys may be accepted already, so callers wait for them: only
while a peer that was there may still reply, and not for readiness.
"""

import asyncio
from collections.abc import Sequence
import unittest

import loguru

from ruddergate.entry import start_check
from ruddergate.messages import store_changes
from standins import virtual_process
from tests import gateway_fixture

# The calls run for about 90 ms.
_UNDELAYED_MS = 130.0
_LONGEST_WAIT_MS = start_check.ROUNDS * start_check.ROUND_MS
# From the start of a process until it has read the store.
_START_S = 0.02


class DelayTest(unittest.TestCase):
    """Calls that come right after the start, in calm times."""

    @classmethod
    def setUpClass(cls) -> None:
        loguru.logger.remove()

    def _check(
        self,
        vms: int,
        restarted: Sequence[str],
        dead: Sequence[str] = (),
        max_ms: float = _UNDELAYED_MS,
        **layout: object,
    ) -> None:
        async def scenario(fixture: gateway_fixture.Fixture) -> None:
            cluster = fixture.cluster
            for name in (*restarted, *dead):
                cluster.kill(cluster.vms[name])
            for name in restarted:
                cluster.start_vm(cluster.vms[name])
            await asyncio.sleep(_START_S)
            for name in restarted:
                ready = await fixture.caller.check_ready(name)
                self.assertEqual(ready, 200, name)
            calls = [fixture.call("unsafe", name) for name in restarted]
            for result in await asyncio.gather(*calls):
                self.assertEqual(result.status, 200)
                self.assertLessEqual(result.took_ms, max_ms)

        gateway_fixture.run_scenario(scenario, vms=vms, **layout)

    def test_vm_without_peers_does_not_wait(self) -> None:
        self._check(1, ["vm-0"])

    def test_vm_that_joins_waits_for_one_reply(self) -> None:
        self._check(3, ["vm-2"])
        self._check(9, ["vm-1"], halls=3)

    def test_vm_with_one_dead_seed_waits_for_one_reply(self) -> None:
        self._check(3, ["vm-2"], dead=["vm-0"])

    def test_fleet_that_starts_does_not_wait(self) -> None:
        for vms, halls in ((2, 1), (3, 1), (9, 1), (9, 3)):
            names = [f"vm-{number}" for number in range(vms)]
            self._check(vms, names, halls=halls)

    def test_wait_for_dead_peers_is_bounded(self) -> None:
        self._check(
            3,
            ["vm-2"],
            dead=["vm-0", "vm-1"],
            max_ms=_UNDELAYED_MS + _LONGEST_WAIT_MS,
        )

    def test_wait_is_skipped_where_removed_keys_may_be_used(self) -> None:
        self._check(3, ["vm-2"], dead=["vm-0", "vm-1"], is_strict=False)


class AskTest(unittest.TestCase):
    """The questions alone, in virtual time."""

    def _ask(
        self, replies: dict[str, Sequence[float | None]]
    ) -> tuple[float, list[str]]:
        """Asks peers; returns the time taken and the peers that replied.

        Args:
            replies: The ages in each peer's replies, or None for no reply. An
                age of 10 s is not sufficient.
        """
        received: list[str] = []
        left = {peer: list(ages) for peer, ages in replies.items()}

        async def request(
            peer: str,
        ) -> store_changes.StoreChangesReply | None:
            age_ms = left[peer].pop(0) if left[peer] else None
            if age_ms is None:
                await asyncio.sleep(0.12)
                return None
            await asyncio.sleep(0.002)
            return store_changes.StoreChangesReply("q", 1, age_ms, True)

        def is_sufficient(
            peer: str, reply: store_changes.StoreChangesReply
        ) -> bool:
            received.append(peer)
            return 0.0 <= reply.age_ms < 10_000.0

        async def ask() -> float:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await start_check.ask(
                list(replies), lambda: list(replies), request, is_sufficient
            )
            return (loop.time() - began_s) * 1000.0

        return virtual_process.run(ask), received

    def test_first_sufficient_reply_ends_the_questions(self) -> None:
        took_ms, received = self._ask({"a": [None], "b": [5.0]})
        self.assertAlmostEqual(took_ms, 2.0)
        self.assertEqual(received, ["b"])

    def test_lost_datagrams_are_sent_again(self) -> None:
        took_ms, received = self._ask({"a": [None, None, 5.0]})
        self.assertAlmostEqual(took_ms, 2.0 * start_check.ROUND_MS + 2.0)
        self.assertEqual(received, ["a"])

    def test_peer_that_starts_does_not_stand_for_others(self) -> None:
        unknown = store_changes.AGE_UNKNOWN
        took_ms, received = self._ask({"a": [unknown], "b": [None, 5.0]})
        self.assertAlmostEqual(took_ms, start_check.ROUND_MS + 2.0)
        self.assertEqual(received, ["a", "b"])

    def test_nothing_is_awaited_where_all_seeds_start(self) -> None:
        unknown = store_changes.AGE_UNKNOWN
        took_ms, _ = self._ask({"a": [unknown], "b": [unknown]})
        self.assertAlmostEqual(took_ms, 2.0)

    def test_peer_that_is_behind_does_not_stand_for_others(self) -> None:
        took_ms, _ = self._ask({"a": [10_000.0], "b": [None]})
        self.assertAlmostEqual(took_ms, _LONGEST_WAIT_MS)

    def test_silent_peers_are_awaited_for_a_bounded_time(self) -> None:
        took_ms, _ = self._ask({"a": []})
        self.assertAlmostEqual(took_ms, _LONGEST_WAIT_MS)


if __name__ == "__main__":
    unittest.main()
