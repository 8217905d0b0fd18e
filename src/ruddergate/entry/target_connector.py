"""Connects to targets: directly, or through a peer if that fails.

The two ways are raced, as in Happy Eyeballs (RFC 8305): the second one begins
when the first one fails or takes longer than usual, and the first connection
that is up is used. Nothing has been sent by then, so a request is sent once.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
from typing import TypeAlias

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import carriers
from ruddergate.decisions import links
from ruddergate.decisions import rendezvous
from ruddergate.entry import detour_client
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# A direct connection takes a few milliseconds. After this time the way through
# a peer is tried as well.
DETOUR_DELAY_MS = 50.0
# A lost packet is retransmitted only after a second, which is too long to wait.
# With this timeout a short prompt due in 300 ms can still be in time elsewhere.
DIRECT_TIMEOUT_MS = 150.0
# For both ways together.
TOTAL_TIMEOUT_MS = 170.0
# Peers tried in turn for one connection, and how long each may take.
MAX_CARRIERS_TRIED = 3
CARRIER_TIMEOUT_MS = 60.0
# A peer that could not carry a connection is not chosen again for this time.
CARRIER_PAUSE_MS = 500.0
# Interval of probes of the direct way while connections go through peers.
# Jitter spreads the return of many VMs.
PROBE_INTERVAL_MS = (300.0, 600.0)
# Range of the retry-after of a VM that reaches no target. Another VM may serve
# at once; if none does, callers should not return together.
_ISOLATED_RETRY_MS = (400.0, 1_200.0)
# Targets connected to at once in order to verify a link, most of which must
# accept. One that does shows little: a cut may leave out a few targets.
VERIFIED_TARGETS = 3

Connection: TypeAlias = environment.StreamPair | detour_client.Failure
Connect: TypeAlias = Callable[[], Awaitable[Connection]]


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """What the connector has to know about peers.

    Attributes:
        own: Address at which this VM receives datagrams.
        list_carriers: Returns the peers that carry connections.
    """

    own: str
    list_carriers: Callable[[], Sequence[carriers.Carrier]]


class TargetConnector:
    """Connects to targets; one per process.

    Args:
        env: Clock, random numbers and streams.
        hall: Data hall of this VM.
        peers: What is known about peers.
        list_targets: Returns the listed targets.
        on_state_change: Called when `links.state` has changed.
        metrics: Metrics of the process.

    Attributes:
        links: State of this VM's links to targets.
    """

    def __init__(
        self,
        env: environment.Environment,
        hall: str,
        peers: Peers,
        list_targets: Callable[[], Sequence[targets.Target]],
        on_state_change: Callable[[], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self.links = links.Links()
        self._env = env
        self._hall = hall
        self._peers = peers
        self._list_targets = list_targets
        self._on_state_change = on_state_change
        self._metrics = metrics
        self._index: tuple[Sequence[targets.Target], dict] = ((), {})
        self._paused_until_ms: dict[str, float] = {}
        # Set while the direct way to some target does not work.
        self._needs_probes = asyncio.Event()
        # The event loop keeps only weak references to tasks.
        self._abandoned: set[asyncio.Future] = set()
        self._log = logs.make_logger("links")

    def make_environment(self, is_order: bool) -> environment.Environment:
        """Returns an environment whose `connect` is that of this connector.

        Args:
            is_order: Whether it is for orders and health probes.
        """

        async def connect(
            address: environment.Address,
        ) -> environment.StreamPair:
            return await self.connect(address, is_order)

        return dataclasses.replace(self._env, connect=connect)

    def find_target(self, address: str) -> targets.Target | None:
        """Returns the target listed at an address."""
        listed = self._list_targets()
        if listed is not self._index[0]:
            self._index = (listed, {str(each.address): each for each in listed})
        return self._index[1].get(address)

    async def connect(
        self, address: environment.Address, is_order: bool
    ) -> environment.StreamPair:
        """Connects to a target.

        Raises:
            ConnectionRefusedError: Nothing listens there, as seen over a link
                that works.
            environment.UnreachableError: No way led to the target.
        """
        name = str(address)
        if self.links.state is links.State.ISOLATED:
            raise environment.UnreachableError("no way leads to any target")
        race = _Race(
            lambda: self.connect_directly(address),
            lambda: self._connect_through_peers(address, is_order),
        )
        try:
            connection = await self._run_race(name, race)
            if not _is_final(connection) and not self._peers.list_carriers():
                connection = await self._verify_refusal(address, connection)
            self._note_race(name, race, connection)
        finally:
            self._keep(race.abandon())
        if not isinstance(connection, detour_client.Failure):
            return connection
        if connection.has_ended:
            raise ConnectionRefusedError(connection.detail)
        raise environment.UnreachableError(connection.detail)

    def check_links(self) -> outcomes.NotServed | None:
        """Returns a refusal if no way leads to any target."""
        if self.links.state is not links.State.ISOLATED:
            return None
        return outcomes.refuse(
            outcomes.Reason.NO_TARGET,
            "this VM reaches no target",
            self._env.random.uniform(*_ISOLATED_RETRY_MS),
        )

    async def run(self) -> None:
        """Probes the direct way while connections go through peers."""
        while True:
            await self._needs_probes.wait()
            pause_ms = self._env.random.uniform(*PROBE_INTERVAL_MS)
            await asyncio.sleep(pause_ms / 1000.0)
            address = self._choose_probed()
            if address is not None:
                await self._probe(address)
            elif self.links.state is links.State.DIRECT:
                self._needs_probes.clear()

    def _choose_probed(self) -> environment.Address | None:
        """Returns a target to probe; None if the direct way works."""
        for name in self.links.list_broken():
            if self.find_target(name) is None:
                self.links.forget(name)
        broken = self.links.list_broken()
        if self.links.state is links.State.DIRECT and broken:
            return environment.parse_address(self._env.random.choice(broken))
        listed = self._list_targets()
        if self.links.state is links.State.DIRECT or not listed:
            return None
        return self._env.random.choice(listed).address

    async def _probe(self, address: environment.Address) -> None:
        connection = await self.connect_directly(address)
        is_isolated = self.links.state is links.State.ISOLATED
        if is_isolated and not _is_up(connection):
            connection = await self._connect_through_peers(address, True)
            if _is_up(connection):
                self._note(
                    lambda: self.links.note_detour_reached(self._env.now_ms())
                )
        if _is_up(connection):
            _, writer = connection
            writer.close()

    async def _run_race(self, name: str, race: "_Race") -> Connection:
        now_ms = self._env.now_ms()
        try:
            async with asyncio.timeout(TOTAL_TIMEOUT_MS / 1000.0):
                if self.links.prefers_detour(name, now_ms):
                    return await race.run_detour_first()
                return await race.run_direct_first()
        except TimeoutError:
            return detour_client.Failure(False, "timed out, also through peers")

    def _keep(self, tasks: Iterable[asyncio.Future]) -> None:
        """Keeps tasks until they end."""
        for each in tasks:
            self._abandoned.add(each)
            each.add_done_callback(self._abandoned.discard)

    async def connect_directly(
        self, address: environment.Address
    ) -> Connection:
        """Connects over this VM's own link."""
        name = str(address)
        try:
            pair = await self._try_direct(address)
        except OSError as error:
            self.links.note_failed()
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = str(error) or "timed out"
            return detour_client.Failure(False, detail, is_refused)
        self._note(lambda: self.links.note_reached(name, self._env.now_ms()))
        return pair

    async def connect_and_verify(
        self, address: environment.Address
    ) -> Connection:
        """Connects over this VM's own link, and verifies it if refused."""
        connection = await self.connect_directly(address)
        return await self._verify_refusal(address, connection)

    async def _verify_refusal(
        self, address: environment.Address, connection: Connection
    ) -> Connection:
        """Returns whether a target has ended if a connection was refused."""
        if _is_up(connection) or not connection.is_refused:
            return connection
        has_ended = await self._verify_link(address)
        return dataclasses.replace(connection, has_ended=has_ended)

    async def _try_direct(
        self, address: environment.Address
    ) -> environment.StreamPair:
        async with asyncio.timeout(DIRECT_TIMEOUT_MS / 1000.0):
            return await self._env.connect(address)

    async def _verify_link(self, address: environment.Address) -> bool:
        """Returns whether most targets like this one can be reached directly.

        A cut network may refuse connections, too. A refused connection shows
        that nothing listens only if the link to such targets works.
        """
        chosen = self._choose_similar(address)
        results = await asyncio.gather(
            *(self._is_reachable(each.address) for each in chosen)
        )
        return 2 * sum(results) > len(chosen)

    def _choose_similar(
        self, address: environment.Address
    ) -> list[targets.Target]:
        """Returns targets that are likely to be cut off together with another.

        A cut may separate a VM from one pool, or from one hall, alone. In a
        small pool the others may have ended, so other pools fill up the number.
        """
        target = self.find_target(str(address))

        def rank(other: targets.Target) -> tuple[bool, bool, int]:
            is_other_pool = target is not None and other.pool != target.pool
            is_other_hall = target is not None and other.hall != target.hall
            score = rendezvous.score(str(address), str(other.address))
            return is_other_pool, is_other_hall, score

        others = [
            each for each in self._list_targets() if each.address != address
        ]
        return heapq.nsmallest(VERIFIED_TARGETS, others, key=rank)

    async def _is_reachable(self, address: environment.Address) -> bool:
        try:
            _, writer = await self._try_direct(address)
        except OSError:
            return False
        writer.close()
        now_ms = self._env.now_ms()
        self._note(lambda: self.links.note_reached(str(address), now_ms))
        return True

    async def _connect_through_peers(
        self, address: environment.Address, is_order: bool
    ) -> Connection:
        tried: list[carriers.Carrier] = []
        failure = detour_client.Failure(False, "no peer carries connections")
        for _ in range(MAX_CARRIERS_TRIED):
            carrier = self._choose_carrier(address, tried)
            if carrier is None:
                return failure
            tried.append(carrier)
            connection = await self._connect_through(carrier, address, is_order)
            if _is_up(connection):
                self._metrics.detours.inc({"result": "connected"})
                self._log_detour(carrier, address, is_order)
                return connection
            failure = connection
            if failure.has_ended:
                self._metrics.detours.inc({"result": "refused"})
                return failure
            self._metrics.detours.inc({"result": "failed"})
        return failure

    async def _connect_through(
        self,
        carrier: carriers.Carrier,
        address: environment.Address,
        is_order: bool,
    ) -> Connection:
        try:
            async with asyncio.timeout(CARRIER_TIMEOUT_MS / 1000.0):
                connection = await detour_client.connect(
                    self._env, self._peers.own, carrier.name, address, is_order
                )
        except TimeoutError:
            detail = f"peer {carrier.name}: timed out"
            connection = detour_client.Failure(False, detail)
        if not _is_final(connection):
            until_ms = self._env.now_ms() + CARRIER_PAUSE_MS
            self._paused_until_ms[carrier.name] = until_ms
        return connection

    def _log_detour(
        self,
        carrier: carriers.Carrier,
        address: environment.Address,
        is_order: bool,
    ) -> None:
        if is_order:
            return
        self._log.info(
            "Connected to {} through peer {}.",
            address,
            carrier.name,
            request_id=logs.find_request_id(),
            state=self.links.state.value,
            carrier_hall=carrier.hall,
            carrier_carried=carrier.carried,
        )

    def _choose_carrier(
        self,
        address: environment.Address,
        tried: Sequence[carriers.Carrier],
    ) -> carriers.Carrier | None:
        """Returns a peer that has not been tried.

        A cut often takes most VMs of a hall, so peers of other halls come
        before those of a hall in which one has just failed.
        """
        now_ms = self._env.now_ms()
        for name, until_ms in list(self._paused_until_ms.items()):
            if now_ms >= until_ms:
                del self._paused_until_ms[name]
        names = {each.name for each in tried}
        usable = [
            each
            for each in self._peers.list_carriers()
            if each.name not in names
        ]
        failed_halls = {each.hall for each in tried}
        rested = [
            each for each in usable if each.name not in self._paused_until_ms
        ]
        elsewhere = [each for each in rested if each.hall not in failed_halls]
        target = self.find_target(str(address))
        halls = {self._hall} | ({target.hall} if target else set())
        # A peer that just failed is still better than none.
        return carriers.choose(
            elsewhere or rested or usable, frozenset(halls), self._env.random
        )

    def _note_race(
        self, name: str, race: "_Race", connection: Connection
    ) -> None:
        """Notes what a race shows about this VM's link to a target."""
        if race.is_detour:
            self._note(
                lambda: self.links.note_detour_reached(self._env.now_ms())
            )
            race.on_direct_failure(lambda: self._note_bypassed(name, race))
        elif not _is_final(connection):
            now_ms = self._env.now_ms()
            self._note(lambda: self.links.note_unreached(name, now_ms))

    def _note_bypassed(self, name: str, race: "_Race") -> None:
        is_new = not self.links.is_broken(name)
        now_ms = self._env.now_ms()
        self._note(lambda: self.links.note_bypassed(name, now_ms))
        if is_new:
            self._log.info(
                "Target at {} is reached through peers.",
                name,
                direct=race.direct_detail,
                hall=self._hall,
            )

    def _note(self, note: Callable[[], None]) -> None:
        """Applies an observation; logs a change of state."""
        before = self.links.state
        note()
        state = self.links.state
        if state is not links.State.DIRECT or self.links.count_broken():
            self._needs_probes.set()
        if state is before:
            return
        self._log.warning(
            "Way to targets: {}, was {}.",
            state.value,
            before.value,
            broken=self.links.count_broken(),
            carriers=len(self._peers.list_carriers()),
        )
        self._on_state_change()


class _Race:
    """One race of the direct way and that through peers.

    Args:
        direct: Connects directly.
        detour: Connects through peers.

    Attributes:
        is_detour: Whether the connection through a peer is used.
        direct_detail: Why the direct way failed, for logs.
    """

    def __init__(self, direct: Connect, detour: Connect) -> None:
        self.is_detour = False
        self.direct_detail = ""
        self._make_direct = direct
        self._make_detour = detour
        self._direct: asyncio.Future | None = None
        self._detour: asyncio.Future | None = None
        self._used: asyncio.Future | None = None

    async def run_direct_first(self) -> Connection:
        """Tries the direct way, and soon that through peers as well."""
        self._direct = asyncio.ensure_future(self._make_direct())
        delay_s = DETOUR_DELAY_MS / 1000.0
        await asyncio.wait((self._direct,), timeout=delay_s)
        if self._direct.done() and _is_final(self._direct.result()):
            return self._use(self._direct)
        self._detour = asyncio.ensure_future(self._make_detour())
        return await self._wait()

    async def run_detour_first(self) -> Connection:
        """Tries peers, and the direct way only if they fail."""
        self._detour = asyncio.ensure_future(self._make_detour())
        await asyncio.wait((self._detour,))
        if _is_final(self._detour.result()):
            return self._use(self._detour)
        self._direct = asyncio.ensure_future(self._make_direct())
        return await self._wait()

    async def _wait(self) -> Connection:
        """Returns the first connection that is up, or a failure."""
        pending = {self._direct, self._detour}
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for each in (self._direct, self._detour):
                if each in done and _is_final(each.result()):
                    return self._use(each)
        direct, detour = self._direct.result(), self._detour.result()
        detail = f"direct: {direct.detail}; {detour.detail}"
        return detour_client.Failure(False, detail, direct.is_refused)

    def _use(self, task: asyncio.Future) -> Connection:
        self._used = task
        self.is_detour = task is self._detour and _is_up(task.result())
        return task.result()

    def on_direct_failure(self, call: Callable[[], None]) -> None:
        """Calls a function once the direct way has failed, if it was tried."""
        if self._direct is None:
            return

        def check(direct: asyncio.Future) -> None:
            if direct.cancelled() or _is_up(direct.result()):
                return
            self.direct_detail = direct.result().detail
            call()

        if self._direct.done():
            check(self._direct)
        else:
            self._direct.add_done_callback(check)

    def abandon(self) -> Iterable[asyncio.Future]:
        """Closes what is not used; returns tasks that have not ended.

        The direct way is tried to its end, as that shows whether it works.
        """
        unused = [
            each
            for each in (self._direct, self._detour)
            if each is not None and each is not self._used
        ]
        if self._detour in unused:
            self._detour.cancel()
        for each in unused:
            each.add_done_callback(_close_unused)
        return [each for each in unused if not each.done()]


def _is_up(connection: Connection) -> bool:
    return not isinstance(connection, detour_client.Failure)


def _is_final(connection: Connection) -> bool:
    """Returns whether the other way can add nothing to this result."""
    return _is_up(connection) or connection.has_ended


def _close_unused(task: asyncio.Future) -> None:
    if task.cancelled() or not _is_up(task.result()):
        return
    _, writer = task.result()
    writer.close()
