"""The task that tells peers this VM's work on targets, and hears theirs.

Digests are small datagrams: a lost one is made good by the next, and nothing
waits for a peer. They carry load only; whatever a promise rests on each VM
finds out for itself.
"""

import asyncio
from collections.abc import Sequence
import dataclasses

from ruddergate import environment
from ruddergate.decisions import peer_loads
from ruddergate.entry import scheduler as schedulers
from ruddergate.messages import load_digest
from ruddergate.messages import loads
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# Changes are told at once, but for those that follow within this time: several
# requests often begin together.
CHANGE_GAP_MS = 25.0
# Without a change, a VM with work tells it again in this time, in case that a
# datagram was lost, and one without work keeps itself known.
ROUND_MS = 500.0
# Peers are named, and seeds written to, once in this time.
_NAMING_MS = 1_000.0
# A port that another process holds is tried again after this time.
_BIND_AGAIN_MS = 2_000.0
# Digests that come this close together are added up at once.
_GATHER_MS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConfig:
    """Where peers are found.

    Attributes:
        listen: Where this VM takes datagrams.
        seeds: Where some peers may take them; they may be gone.
    """

    listen: environment.Address
    seeds: tuple[environment.Address, ...]


class PeerExchange:
    """Sends and takes digests; owns the port for datagrams."""

    def __init__(
        self,
        outside: environment.Environment,
        config: PeerConfig,
        incarnation: str,
        scheduler: schedulers.Scheduler,
    ) -> None:
        self._outside = outside
        self._config = config
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._own = str(config.listen)
        self._loads = peer_loads.PeerLoads(self._own)
        self._number = 0
        self._named_ms = float("-inf")
        self._changed = asyncio.Event()
        self._is_posting = False
        self._known = 0
        self._log = logs.make_logger("peers")

    async def run(self) -> None:
        """Sends a digest after each change and in each round."""
        port = await self._bind()
        try:
            while True:
                is_change = await self._wait()
                self._send(port, is_change)
                await asyncio.sleep(CHANGE_GAP_MS / 1000.0)
        finally:
            port.close()

    def note_change(self) -> None:
        """Has peers told soon that this VM's work has changed."""
        self._changed.set()

    async def _bind(self) -> environment.DatagramPort:
        """Takes the port, whenever it is free; callers are served meanwhile."""
        while True:
            try:
                return await self._outside.bind(self._take, self._config.listen)
            except OSError as error:
                self._log.error("No port for peers' datagrams. {}", error)
            await asyncio.sleep(_BIND_AGAIN_MS / 1000.0)

    async def _wait(self) -> bool:
        """Returns after a change, or else after a round; tells which."""
        try:
            async with asyncio.timeout(ROUND_MS / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    def _take(self, data: bytes) -> None:
        message = codec.decode(data)
        if isinstance(message, load_digest.LoadDigest) and _is_sound(message):
            if self._loads.take(message, self._outside.now_ms()):
                self._post_soon()
            return
        self._log.warning("Datagram dropped, it is no digest.")

    def _send(self, port: environment.DatagramPort, is_change: bool) -> None:
        now_ms = self._outside.now_ms()
        self._loads.forget_silent(now_ms)
        self._note_peers()
        self._post_sums()
        is_naming = now_ms - self._named_ms >= _NAMING_MS
        if is_naming:
            self._named_ms = now_ms
        digest = self._make_digest(now_ms, is_naming)
        has_news = is_change or bool(digest.rows)
        data = codec.encode(digest)
        for receiver in self._choose_receivers(has_news, is_naming):
            port.send(data, receiver)
        self._number += 1

    def _post_soon(self) -> None:
        if not self._is_posting:
            self._is_posting = True
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_MS / 1000.0, self._post_sums)

    def _post_sums(self) -> None:
        self._is_posting = False
        rows = self._loads.sum_up(self._outside.now_ms())
        if rows:
            self._scheduler.post(loads.Loads((), rows, ()))

    def _make_digest(
        self, now_ms: float, is_naming: bool
    ) -> load_digest.LoadDigest:
        named: list[str] = []
        if is_naming:
            named = self._loads.name_some(now_ms, self._outside.random)
        return load_digest.LoadDigest(
            sender=self._own,
            incarnation=self._incarnation,
            number=self._number,
            peers=tuple(named),
            rows=self._scheduler.summarize(),
        )

    def _choose_receivers(
        self, has_news: bool, is_naming: bool
    ) -> Sequence[environment.Address]:
        most = peer_loads.FAN_OUT if has_news else peer_loads.FAN_OUT_IDLE
        names = self._loads.choose_receivers(most, self._outside.random)
        chosen = set(map(environment.parse_address, names))
        if is_naming:
            chosen.update(self._config.seeds)
        chosen.discard(self._config.listen)
        return sorted(chosen, key=str)

    def _note_peers(self) -> None:
        if len(self._loads) != self._known:
            self._known = len(self._loads)
            self._log.info("Peers known: {}.", self._known)


def _is_sound(digest: load_digest.LoadDigest) -> bool:
    """Returns whether every address in a digest can be read."""
    try:
        for name in (digest.sender, *digest.peers):
            environment.parse_address(name)
    except ValueError:
        return False
    return True
