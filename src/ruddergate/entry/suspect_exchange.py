"""The task that tells peers of contents under which targets have ended.

What is new goes out at once, and everything that matters most again in each
round, to some peers drawn at random: a datagram that got lost, a VM that starts
and a hall that was cut off are made good by the next rounds.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib

from ruddergate import environment
from ruddergate.decisions import suspicion
from ruddergate.entry import suspects as suspect_tables
from ruddergate.messages import poison_reports as messages

# What is new within this time goes into one datagram: calls that shared a
# target are lost together.
GATHER_MS = 5.0
# Peers written to with what is new, and again by each that had not heard of it.
# In a fleet of up to so many VMs that is everybody. With one datagram in a
# hundred lost the last VM knew after 12 ms of 9 VMs, 24 ms of 195 and, by the
# rounds below, 2.0 s of 940, for 0.9 KB/s a VM (standins.suspect_spread, worst
# of five seeds).
DIRECT_MOST = 16
FANOUT = 6
# Time between two rounds, and peers written to in each: a VM is missed by all
# for 3 s with a chance of 6 in a million (e to the -12).
ROUND_MS = 1_000.0
ROUND_PEERS = 4


class SuspectExchange:
    """Passes on what VMs know of contents; owns what is to be told.

    Args:
        outside: Clock and chance.
        own: Where this VM takes datagrams.
        list_peers: Returns the peers that are known.
        send: Sends a message to peers.
    """

    def __init__(
        self,
        outside: environment.Environment,
        own: environment.Address,
        list_peers: Callable[[], list[str]],
        send: Callable[[messages.PoisonReports, Iterable[str]], None],
    ) -> None:
        self._outside = outside
        self._own = str(own)
        self._list_peers = list_peers
        self._send = send
        self._news: dict[str, None] = {}
        self._changed = asyncio.Event()
        self._round_due_ms = outside.now_ms()
        self.table = suspect_tables.Suspects(outside, self._note_news)

    async def run(self) -> None:
        """Tells peers until cancelled; sleeps while nothing is suspect."""
        while True:
            await self._wait()
            await asyncio.sleep(GATHER_MS / 1000.0)
            self._changed.clear()
            self._tell_news()
            if self._outside.now_ms() >= self._round_due_ms:
                self._round_due_ms = self._outside.now_ms() + ROUND_MS
                self._tell_all(self._draw_peers(ROUND_PEERS))

    def take(self, told: messages.PoisonReports) -> None:
        """Takes in what a peer told, and passes on what was news."""
        news = self.table.take(told)
        self._changed.set()
        if len(self._list_peers()) <= DIRECT_MOST:
            return
        for content in news:
            self._note_news(content)

    def greet(self, peer: str) -> None:
        """Tells a VM that has just started what it should know."""
        chance = FANOUT / max(1, len(self._list_peers()))
        if len(self.table) and self._outside.random.random() < chance:
            self._tell_all([peer])

    def _note_news(self, content: str) -> None:
        self._news[content] = None
        self._changed.set()

    async def _wait(self) -> None:
        """Returns when there is news or a round is due."""
        if not len(self.table):
            await self._changed.wait()
            return
        wait_ms = max(0.0, self._round_due_ms - self._outside.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._changed.wait()

    def _tell_news(self) -> None:
        contents = list(self._news)
        self._news.clear()
        peers = self._list_peers()
        if len(peers) > DIRECT_MOST:
            peers = self._draw_peers(FANOUT)
        for begin in range(0, len(contents), suspicion.TOLD_MOST):
            part = contents[begin : begin + suspicion.TOLD_MOST]
            self._tell(part, peers)

    def _tell_all(self, peers: list[str]) -> None:
        """Tells those contents under which most targets ended."""
        if len(self.table):
            self._tell(self.table.rank()[: suspicion.TOLD_MOST], peers)

    def _tell(self, contents: list[str], peers: list[str]) -> None:
        rows = self.table.describe(contents)
        if rows and peers:
            self._send(messages.PoisonReports(self._own, rows), peers)

    def _draw_peers(self, count: int) -> list[str]:
        peers = self._list_peers()
        return self._outside.random.sample(peers, min(count, len(peers)))
