"""Server side of the feed from an agent to its entry."""

import asyncio
from collections.abc import Iterable

from ruddergate import environment
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import settings_sync as settings_syncs
from ruddergate.agent import share_task
from ruddergate.decisions import subset
from ruddergate.fleet import cache_event
from ruddergate.fleet import listing as listings
from ruddergate.fleet import load_report
from ruddergate.messages import entry_hello
from ruddergate.messages import entry_load
from ruddergate.messages import fleet_view
from ruddergate.messages import loads
from ruddergate.messages import tree_parts
from ruddergate.telemetry import logs
from ruddergate.wire import frames

# Longest time between two updates of the entry.
_MAX_WAIT_MS = 250.0
# Without a change, the list and its age are sent at this interval.
_VIEW_INTERVAL_MS = 500.0


class FeedServer:
    """Feeds the connected entry, which may disconnect and reconnect."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        settings_sync: settings_syncs.SettingsSync,
        shares: share_task.ShareTask,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._settings_sync = settings_sync
        self._share_task = shares
        self._log = logs.make_logger("feed")
        self._streams: set[frames.FrameStream] = set()
        self._lock = asyncio.Lock()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one entry until its connection closes."""
        stream = frames.FrameStream(reader, writer, self._config.peer_key)
        if await stream.greet() is not None:
            stream.close()
            return
        feed_task: asyncio.Future | None = None
        try:
            hello = await stream.receive()
            if not isinstance(hello, entry_hello.EntryHello):
                return
            self._streams.add(stream)
            feed_task = asyncio.ensure_future(self._feed(stream, hello))
            await self._receive(stream)
        finally:
            self._streams.discard(stream)
            if feed_task is not None:
                feed_task.cancel()
            stream.close()

    async def push_loads(
        self,
        reports: Iterable[load_report.LoadReport],
        events: Iterable[cache_event.CacheEvent],
    ) -> None:
        """Sends new load reports and cache events of targets to the entry."""
        message = loads.Loads(tuple(reports), (), tuple(events))
        for stream in list(self._streams):
            await stream.send(message)

    async def _receive(self, stream: frames.FrameStream) -> None:
        while True:
            message = await stream.receive()
            match message:
                case frames.Closed():
                    return
                case entry_load.EntryLoad():
                    self._state.own_dispatched = message.dispatched
                    self._state.is_stopping = message.stopping
                    self._share_task.update_demand(message.demand)
                case tree_parts.TreeParts():
                    self._settings_sync.consider_parts(message)
                case _:
                    self._log.warning(
                        "Ignoring an unexpected message from the entry."
                    )

    async def _feed(
        self, stream: frames.FrameStream, hello: entry_hello.EntryHello
    ) -> None:
        sent_revision = hello.revision
        sent_digests: frozenset[str] = frozenset()
        sent_listing = listings.EMPTY
        view_sent_ms = float("-inf")
        while True:
            in_force = self._state.in_force
            if in_force.manifest.revision > sent_revision:
                parts = make_tree_parts(self._state, sent_digests)
                if await stream.send(parts) is not None:
                    return
                sent_revision = in_force.manifest.revision
                sent_digests = frozenset(in_force.shards)
            listing = self._state.listing
            is_due = self._env.now_ms() - view_sent_ms >= _VIEW_INTERVAL_MS
            if listing.vms and (is_due or listing != sent_listing):
                await stream.send(self._make_view())
                sent_listing = listing
                view_sent_ms = self._env.now_ms()
            await stream.send(self._share_task.make_message())
            peers = self._state.peer_loads()
            if peers:
                await stream.send(loads.Loads((), peers, ()))
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_MAX_WAIT_MS / 1000.0):
                await self._state.changed.wait()
        except TimeoutError:
            return
        # Only the gossip task clears the event; the delay avoids a busy loop
        # until it does.
        await asyncio.sleep(_MAX_WAIT_MS / 10_000.0)

    def _make_view(self) -> fleet_view.FleetView:
        listing = self._state.listing
        chosen = subset.choose_all(self._config.vm_id, listing)
        return fleet_view.FleetView(
            listing=listings.Listing(listing.version, listing.vms, chosen),
            age_ms=min(self._state.listing_age_ms(), 1e12),
            settled_ms=self._state.settled_ms(),
        )


def make_tree_parts(
    state: agent_state.AgentState, known_digests: Iterable[str]
) -> tree_parts.TreeParts:
    """Returns the settings in force, without the shards that are known.

    Args:
        state: The agent's state.
        known_digests: Digests of the shards that the recipient has.
    """
    in_force = state.in_force
    known = set(known_digests)
    shards = {
        digest: data
        for digest, data in in_force.shards.items()
        if digest not in known
    }
    return tree_parts.TreeParts(in_force.manifest, shards)
