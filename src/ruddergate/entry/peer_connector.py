"""Connects to targets through peers that carry the connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate import environment
from ruddergate.decisions import carriers
from ruddergate.decisions import links
from ruddergate.entry import connection_race
from ruddergate.entry import detour_client
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# Peers tried in turn for one connection, and how long each may take.
MAX_CARRIERS_TRIED = 3
CARRIER_TIMEOUT_MS = 60.0
# A peer that could not carry a connection is not chosen again for this time.
CARRIER_PAUSE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """What has to be known about peers.

    Attributes:
        own: Address at which this VM receives datagrams.
        list_carriers: Returns the peers that carry connections.
    """

    own: str
    list_carriers: Callable[[], Sequence[carriers.Carrier]]


class PeerConnector:
    """Connects through peers; one per process.

    Args:
        env: Clock, random numbers and streams.
        hall: Data hall of this VM.
        peers: What is known about peers.
        find_target: Returns the target listed at an address, if any.
        own_links: State of this VM's links to targets, for logs.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        env: environment.Environment,
        hall: str,
        peers: Peers,
        find_target: Callable[[str], targets.Target | None],
        own_links: links.Links,
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._hall = hall
        self._peers = peers
        self._find_target = find_target
        self._links = own_links
        self._metrics = metrics
        self._paused_until_ms: dict[str, float] = {}
        self._log = logs.make_logger("links")

    def count_carriers(self) -> int:
        """Returns how many peers carry connections."""
        return len(self._peers.list_carriers())

    async def connect(
        self,
        address: environment.Address,
        is_order: bool,
        was_refused: bool,
    ) -> connection_race.Connection:
        """Connects to a target through one of a few peers.

        They are tried in turn. If this VM or one of them was refused, the rest
        are asked at once: if any of them is not, the target lives.

        Args:
            address: Address of the target.
            is_order: Whether it is for an order or a health probe.
            was_refused: Whether this VM's own connection was refused.
        """
        tried: list[carriers.Carrier] = []
        failure = detour_client.Failure(False, "no peer carries connections")
        while len(tried) < MAX_CARRIERS_TRIED:
            count = MAX_CARRIERS_TRIED - len(tried) if was_refused else 1
            chosen = self._choose_carriers(address, tried, count)
            if not chosen:
                break
            tried += chosen
            connection = await self._connect_through_any(
                chosen, address, is_order
            )
            if connection_race.is_up(connection):
                return connection
            failure = connection
            was_refused = was_refused or failure.has_ended
        return failure

    async def _connect_through_any(
        self,
        chosen: Sequence[carriers.Carrier],
        address: environment.Address,
        is_order: bool,
    ) -> connection_race.Connection:
        """Asks several peers at once; the first connection that is up is used.

        The target has ended if it refuses one of them and none reaches it.
        """
        tasks = [
            asyncio.ensure_future(
                self._connect_through(each, address, is_order)
            )
            for each in chosen
        ]
        used: asyncio.Future | None = None
        try:
            for next_done in asyncio.as_completed(tasks):
                connection = await next_done
                if connection_race.is_up(connection):
                    used = next(
                        each
                        for each in tasks
                        if each.done() and each.result() is connection
                    )
                    return connection
        finally:
            for each in tasks:
                if each is not used:
                    each.cancel()
                    each.add_done_callback(connection_race.close_unused)
        # A peer that is cut off itself, or does not answer, shows nothing.
        has_ended = any(each.result().has_ended for each in tasks)
        return dataclasses.replace(tasks[0].result(), has_ended=has_ended)

    async def _connect_through(
        self,
        carrier: carriers.Carrier,
        address: environment.Address,
        is_order: bool,
    ) -> connection_race.Connection:
        try:
            async with asyncio.timeout(CARRIER_TIMEOUT_MS / 1000.0):
                connection = await detour_client.connect(
                    self._env, self._peers.own, carrier.name, address, is_order
                )
        except TimeoutError:
            detail = f"peer {carrier.name}: timed out"
            connection = detour_client.Failure(False, detail)
        if not connection_race.is_final(connection):
            until_ms = self._env.now_ms() + CARRIER_PAUSE_MS
            self._paused_until_ms[carrier.name] = until_ms
        self._note_result(carrier, connection, address, is_order)
        return connection

    def _note_result(
        self,
        carrier: carriers.Carrier,
        connection: connection_race.Connection,
        address: environment.Address,
        is_order: bool,
    ) -> None:
        """Counts a try through a peer, and logs one that succeeded."""
        if not connection_race.is_up(connection):
            result = "refused" if connection.has_ended else "failed"
            self._metrics.detours.inc({"result": result})
            return
        self._metrics.detours.inc({"result": "connected"})
        if is_order:
            return
        self._log.info(
            "Connected to {} through peer {}.",
            address,
            carrier.name,
            request_id=logs.find_request_id(),
            state=self._links.state.value,
            carrier_hall=carrier.hall,
            carrier_carried=carrier.carried,
        )

    def _choose_carriers(
        self,
        address: environment.Address,
        tried: Sequence[carriers.Carrier],
        count: int,
    ) -> list[carriers.Carrier]:
        """Returns up to `count` peers that have not been tried."""
        chosen: list[carriers.Carrier] = []
        for _ in range(count):
            carrier = self._choose_carrier(address, [*tried, *chosen])
            if carrier is None:
                break
            chosen.append(carrier)
        return chosen

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
        target = self._find_target(str(address))
        halls = {self._hall} | ({target.hall} if target else set())
        # A peer that just failed is still better than none.
        return carriers.choose(
            elsewhere or rested or usable, frozenset(halls), self._env.random
        )
