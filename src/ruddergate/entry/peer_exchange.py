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

# A short prompt's first token takes about 100 ms: digests as often show where
# others have just sent theirs.
ROUND_MS = 100.0
# A VM without work on targets says so only in every so many rounds, well within
# the time for which a digest counts.
_IDLE_ROUNDS = 5
# A port that another process holds is tried again after this time.
_BIND_AGAIN_MS = 2_000.0
# Digests that come this close together are added up at once.
_GATHER_MS = 3.0
# Seeds that are not known as peers are written to in every so many rounds.
_SEED_ROUNDS = 10


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
        self._round = 0
        self._soon = asyncio.Event()
        self._is_posting = False
        self._had_rows = False
        self._known = 0
        self._log = logs.make_logger("peers")

    async def run(self) -> None:
        """Sends a digest in each round until cancelled."""
        port = await self._bind()
        try:
            while True:
                self._soon.clear()
                self._play_round(port)
                await self._wait()
        finally:
            port.close()

    async def _bind(self) -> environment.DatagramPort:
        """Takes the port, whenever it is free; callers are served meanwhile."""
        while True:
            try:
                return await self._outside.bind(self._take, self._config.listen)
            except OSError as error:
                self._log.error("No port for peers' datagrams. {}", error)
            await asyncio.sleep(_BIND_AGAIN_MS / 1000.0)

    def hurry(self) -> None:
        """Has the next digest sent at once."""
        self._soon.set()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(ROUND_MS / 1000.0):
                await self._soon.wait()
        except TimeoutError:
            pass

    def _take(self, data: bytes) -> None:
        message = codec.decode(data)
        if isinstance(message, load_digest.LoadDigest) and _is_sound(message):
            if self._loads.take(message, self._outside.now_ms()):
                self._post_soon()
            return
        self._log.warning("Datagram dropped, it is no digest.")

    def _play_round(self, port: environment.DatagramPort) -> None:
        now_ms = self._outside.now_ms()
        self._loads.forget_silent(now_ms)
        self._note_peers()
        self._post_sums()
        self._round += 1
        digest = self._make_digest(now_ms)
        is_idle = not (digest.rows or self._had_rows)
        self._had_rows = bool(digest.rows)
        if is_idle and self._round % _IDLE_ROUNDS:
            return
        data = codec.encode(digest)
        for receiver in self._choose_receivers():
            port.send(data, receiver)

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

    def _make_digest(self, now_ms: float) -> load_digest.LoadDigest:
        chance = self._outside.random
        return load_digest.LoadDigest(
            sender=self._own,
            incarnation=self._incarnation,
            number=self._round,
            peers=tuple(self._loads.name_some(now_ms, chance)),
            rows=self._scheduler.summarize(),
        )

    def _choose_receivers(self) -> Sequence[environment.Address]:
        names = self._loads.choose_receivers(self._outside.random)
        chosen = set(map(environment.parse_address, names))
        if self._round % _SEED_ROUNDS == 0:
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
