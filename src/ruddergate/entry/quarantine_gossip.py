"""The task that gossips evidence against poison requests to peers.

New evidence is sent at once. In each round the most important evidence is sent
again to some random peers, which makes up for lost datagrams, for VMs that have
just started and for halls that were cut off.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib

from ruddergate import environment
from ruddergate.decisions import poison_requests
from ruddergate.entry import quarantine as quarantines
from ruddergate.messages import poison_reports as messages

# New evidence within this time goes into one datagram: requests that shared a
# target are lost together.
BATCH_DELAY_MS = 5.0
# In a fleet with up to MAX_DIRECT_PEERS peers new evidence is sent to all of
# them. In a larger one it is sent to FANOUT peers, and each peer to which it is
# new does the same. With 1% of datagrams lost, the last VM knew after 12 ms of
# 9 VMs, 24 ms of 195 and, through the rounds below, 2.0 s of 940, at 0.9 KB/s
# per VM (standins.suspect_spread, worst of five seeds).
MAX_DIRECT_PEERS = 16
FANOUT = 6
# Time between two rounds, and peers sent to in each: the probability that no VM
# picks a given VM for 3 s is 6 in a million (e to the -12).
ROUND_INTERVAL_MS = 1_000.0
ROUND_PEERS = 4


class QuarantineGossip:
    """Sends and merges evidence against poison requests.

    Args:
        env: Clock and random numbers.
        own: Where this VM receives datagrams.
        list_peers: Returns the known peers.
        send: Sends a message to peers.

    Attributes:
        table: Evidence and quarantine of this VM.
    """

    def __init__(
        self,
        env: environment.Environment,
        own: environment.Address,
        list_peers: Callable[[], list[str]],
        send: Callable[[messages.PoisonReports, Iterable[str]], None],
    ) -> None:
        self._env = env
        self._own = str(own)
        self._list_peers = list_peers
        self._send = send
        self._pending: dict[str, None] = {}
        self._changed = asyncio.Event()
        self._next_round_ms = env.now_ms()
        self.table = quarantines.Quarantine(env, self._queue_change)

    async def run(self) -> None:
        """Gossips until cancelled; sleeps while there is no evidence."""
        while True:
            await self._wait()
            await asyncio.sleep(BATCH_DELAY_MS / 1000.0)
            self._changed.clear()
            self._send_pending()
            if self._env.now_ms() >= self._next_round_ms:
                self._next_round_ms = self._env.now_ms() + ROUND_INTERVAL_MS
                self._send_ranked(self._draw_peers(ROUND_PEERS))

    def merge_gossip(self, message: messages.PoisonReports) -> None:
        """Merges a peer's evidence, and forwards what is new."""
        changed = self.table.merge_gossip(message)
        self._changed.set()
        if len(self._list_peers()) <= MAX_DIRECT_PEERS:
            return
        for fingerprint in changed:
            self._queue_change(fingerprint)

    def on_peer_started(self, peer: str) -> None:
        """Sends evidence to a VM that has just started.

        Each VM does so at random; on average FANOUT of them do.
        """
        probability = FANOUT / max(1, len(self._list_peers()))
        if len(self.table) and self._env.random.random() < probability:
            self._send_ranked([peer])

    def _queue_change(self, fingerprint: str) -> None:
        self._pending[fingerprint] = None
        self._changed.set()

    async def _wait(self) -> None:
        """Waits until there is new evidence or a round is due."""
        if not len(self.table):
            await self._changed.wait()
            return
        wait_ms = max(0.0, self._next_round_ms - self._env.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._changed.wait()

    def _send_pending(self) -> None:
        fingerprints = list(self._pending)
        self._pending.clear()
        peers = self._list_peers()
        if len(peers) > MAX_DIRECT_PEERS:
            peers = self._draw_peers(FANOUT)
        for begin in range(
            0, len(fingerprints), poison_requests.MAX_ROWS_PER_DATAGRAM
        ):
            batch = fingerprints[
                begin : begin + poison_requests.MAX_ROWS_PER_DATAGRAM
            ]
            self._send_evidence(batch, peers)

    def _send_ranked(self, peers: list[str]) -> None:
        """Sends the evidence on the requests that ended most targets."""
        if len(self.table):
            self._send_evidence(
                self.table.rank_fingerprints()[
                    : poison_requests.MAX_ROWS_PER_DATAGRAM
                ],
                peers,
            )

    def _send_evidence(self, fingerprints: list[str], peers: list[str]) -> None:
        rows = self.table.list_evidence(fingerprints)
        if rows and peers:
            self._send(messages.PoisonReports(self._own, rows), peers)

    def _draw_peers(self, count: int) -> list[str]:
        peers = self._list_peers()
        return self._env.random.sample(peers, min(count, len(peers)))
