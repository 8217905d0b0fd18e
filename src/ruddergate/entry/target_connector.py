"""Connects to targets: directly, or through a peer if that fails.

The two ways are raced. Nothing has been sent before one of them is used, so a
request is sent once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import heapq

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import links
from ruddergate.decisions import rendezvous
from ruddergate.entry import connection_race
from ruddergate.entry import detour_client
from ruddergate.entry import peer_connector
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# A lost packet is retransmitted only after a second, which is too long to wait.
# With this timeout a short prompt due in 300 ms can still be in time elsewhere.
DIRECT_TIMEOUT_MS = 150.0
# For both ways together.
TOTAL_TIMEOUT_MS = 170.0
# Interval of probes of the direct way while connections go through peers.
# Jitter spreads the return of many VMs.
PROBE_INTERVAL_MS = (300.0, 600.0)
# The same while no way leads to any target, and all callers are refused.
ISOLATED_PROBE_INTERVAL_MS = (20.0, 60.0)
# Range of the retry-after of a VM that reaches no target. Another VM may serve
# at once; if none does, callers should not return together.
_ISOLATED_RETRY_MS = (400.0, 1_200.0)
# Targets connected to at once in order to verify a link, one of which must
# accept.
VERIFIED_TARGETS = 2


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
        peers: peer_connector.Peers,
        list_targets: Callable[[], Sequence[targets.Target]],
        on_state_change: Callable[[], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self.links = links.Links()
        self._env = env
        self._hall = hall
        self._list_targets = list_targets
        self._on_state_change = on_state_change
        self._index: tuple[Sequence[targets.Target], dict] = ((), {})
        self._through_peers = peer_connector.PeerConnector(
            env, hall, peers, self.find_target, self.links, metrics
        )
        # Set while the direct way to some target does not work.
        self._needs_probes = asyncio.Event()
        # Set unless this VM is isolated.
        self._has_way = asyncio.Event()
        self._has_way.set()
        # Set when a peer carries connections again while this VM is isolated.
        self._has_carrier = asyncio.Event()
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

    def make_direct_environment(self) -> environment.Environment:
        """Returns an environment that connects over this VM's own links."""

        async def connect(
            address: environment.Address,
        ) -> environment.StreamPair:
            connection = await self.connect_directly(address)
            if not isinstance(connection, detour_client.Failure):
                return connection
            if connection.is_refused:
                raise ConnectionRefusedError(connection.detail)
            raise environment.UnreachableError(connection.detail)

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
        if self._is_isolated():
            raise environment.UnreachableError("no way leads to any target")
        race = connection_race.Race(
            lambda: self.connect_directly(address),
            lambda was_refused: self._through_peers.connect(
                address, is_order, was_refused
            ),
        )
        try:
            connection = await self._run_race(name, race)
            if (
                not connection_race.is_final(connection)
                and not self._through_peers.count_carriers()
            ):
                connection = await self._verify_refusal(address, connection)
            self._note_race(name, race, connection)
        finally:
            self._keep(race.abandon())
        if not isinstance(connection, detour_client.Failure):
            return connection
        if connection.has_ended:
            raise ConnectionRefusedError(connection.detail)
        raise environment.UnreachableError(connection.detail)

    async def wait_for_way(self, wait_ms: float) -> outcomes.NotServed | None:
        """Returns a refusal if no way leads to any target.

        This waits for one as long as given.
        """
        if self._is_isolated():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wait_ms) / 1000.0):
                    await self._has_way.wait()
        if not self._is_isolated():
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
            await self._pause_between_probes()
            address = self._choose_probed()
            if address is not None and self._is_isolated():
                # Links that come back just after a probe began would else be
                # found only after its timeout.
                self._keep((asyncio.ensure_future(self._probe(address)),))
            elif address is not None:
                await self._probe(address)
            elif self.links.state is links.State.DIRECT:
                self._needs_probes.clear()

    def _is_isolated(self) -> bool:
        return self.links.state is links.State.ISOLATED

    def on_carrier(self, peer: str) -> None:
        """Probes soon if a peer carries connections again."""
        if not self._is_isolated():
            return
        self._has_carrier.set()
        self._log.info("Peer {} carries connections again.", peer)

    async def _pause_between_probes(self) -> None:
        """Waits for the interval, or for a carrier if this VM is isolated."""
        if not self._is_isolated():
            pause_ms = self._env.random.uniform(*PROBE_INTERVAL_MS)
            await asyncio.sleep(pause_ms / 1000.0)
            return
        pause_ms = self._env.random.uniform(*ISOLATED_PROBE_INTERVAL_MS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / 1000.0):
                await self._has_carrier.wait()
        self._has_carrier.clear()

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
        if self._is_isolated():
            connection = await self._probe_all_ways(address)
        else:
            connection = await self.connect_directly(address)
        if connection_race.is_up(connection):
            _, writer = connection
            writer.close()

    async def _probe_all_ways(
        self, address: environment.Address
    ) -> connection_race.Connection:
        """Connects directly and through peers at once; the first one wins."""
        race = connection_race.Race(
            lambda: self.connect_directly(address),
            lambda was_refused: self._through_peers.connect(
                address, is_order=True, was_refused=was_refused
            ),
        )
        try:
            connection = await race.run_both()
        finally:
            self._keep(race.abandon())
        if race.is_detour:
            self._note(
                lambda: self.links.note_detour_reached(self._env.now_ms())
            )
        return connection

    async def _run_race(
        self, name: str, race: connection_race.Race
    ) -> connection_race.Connection:
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
    ) -> connection_race.Connection:
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
    ) -> connection_race.Connection:
        """Connects over this VM's own link, and verifies it if refused."""
        connection = await self.connect_directly(address)
        return await self._verify_refusal(address, connection)

    async def _verify_refusal(
        self,
        address: environment.Address,
        connection: connection_race.Connection,
    ) -> connection_race.Connection:
        """Returns whether a target has ended if a connection was refused."""
        if connection_race.is_up(connection) or not connection.is_refused:
            return connection
        has_ended = await self._verify_link(address)
        return dataclasses.replace(connection, has_ended=has_ended)

    async def _try_direct(
        self, address: environment.Address
    ) -> environment.StreamPair:
        async with asyncio.timeout(DIRECT_TIMEOUT_MS / 1000.0):
            return await self._env.connect(address)

    async def _verify_link(self, address: environment.Address) -> bool:
        """Returns whether the link to the hall of a target works.

        A cut network may refuse connections, too. A refused connection shows
        that nothing listens only if other targets accept connections.
        """
        chosen = self._choose_verified(address)
        results = await asyncio.gather(
            *(self.is_reachable(each.address) for each in chosen)
        )
        return any(results)

    def _choose_verified(
        self, address: environment.Address
    ) -> list[targets.Target]:
        """Returns targets that show whether the link to another one works.

        They are of the same hall if possible, and rather of another pool: a
        request may crash all targets of its own.
        """
        target = self.find_target(str(address))

        def rank(other: targets.Target) -> tuple[bool, bool, int]:
            is_other_hall = target is not None and other.hall != target.hall
            is_same_pool = target is not None and other.pool == target.pool
            score = rendezvous.score(str(address), str(other.address))
            return is_other_hall, is_same_pool, score

        others = [
            each for each in self._list_targets() if each.address != address
        ]
        return heapq.nsmallest(VERIFIED_TARGETS, others, key=rank)

    async def is_reachable(self, address: environment.Address) -> bool:
        """Returns whether a connection over this VM's own link is accepted."""
        try:
            _, writer = await self._try_direct(address)
        except OSError:
            return False
        writer.close()
        now_ms = self._env.now_ms()
        self._note(lambda: self.links.note_reached(str(address), now_ms))
        return True

    def _note_race(
        self,
        name: str,
        race: connection_race.Race,
        connection: connection_race.Connection,
    ) -> None:
        """Notes what a race shows about this VM's link to a target."""
        if race.is_detour:
            self._note(
                lambda: self.links.note_detour_reached(self._env.now_ms())
            )
            race.on_direct_failure(lambda: self._note_bypassed(name, race))
        elif not connection_race.is_final(connection):
            now_ms = self._env.now_ms()
            self._note(lambda: self.links.note_unreached(name, now_ms))

    def _note_bypassed(self, name: str, race: connection_race.Race) -> None:
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
        if self._is_isolated():
            self._has_way.clear()
        else:
            self._has_way.set()
        self._log.warning(
            "Way to targets: {}, was {}.",
            state.value,
            before.value,
            broken=self.links.count_broken(),
            carriers=self._through_peers.count_carriers(),
        )
        self._on_state_change()
