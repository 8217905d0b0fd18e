"""Gossip: exchanges digests with a few peers in each round."""

import asyncio

from ruddergate import environment
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import list_sync as list_syncs
from ruddergate.agent import peer_connections
from ruddergate.agent import settings_sync as settings_syncs
from ruddergate.decisions import adoption
from ruddergate.decisions import membership
from ruddergate.fleet import vm as vms
from ruddergate.messages import gossip

# Maximum number of rows of dispatched work in a digest, largest first. In a
# large hall few VMs use each target, and load reports come with the targets'
# responses instead.
MAX_DISPATCHED_ROWS = 24
MAX_DISPATCHED_ROWS_LARGE_HALL = 8
# Peers of other halls to gossip with in a round.
_REMOTE_FAN_OUT = 1
_MIN_ROUND_MS = 50.0


class GossipTask:
    """Gossips with peers at intervals, and at once after a change."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        connections: peer_connections.PeerConnections,
        settings_sync: settings_syncs.SettingsSync,
        list_sync: list_syncs.ListSync,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._peer_connections = connections
        self._settings_sync = settings_sync
        self._list_sync = list_sync
        self._exchanges: dict[str, asyncio.Task] = {}
        self._catch_up_tasks: set[asyncio.Task] = set()
        self._catching_up_from: set[str] = set()

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        while True:
            self._state.changed.clear()
            for peer in self._pick_peers():
                self._start_exchange(peer)
            await self._wait_for_round()

    def _start_exchange(self, peer: vms.Vm) -> None:
        """Starts an exchange with a peer unless one is in progress.

        It runs in the background, since a peer that does not respond must not
        delay the exchanges with others.
        """
        if peer.vm_id in self._exchanges:
            return
        task = asyncio.ensure_future(self._exchange_digests(peer))
        self._exchanges[peer.vm_id] = task
        task.add_done_callback(lambda _: self._exchanges.pop(peer.vm_id, None))

    def make_digest(self) -> gossip.Gossip:
        """Returns this agent's digest."""
        now_ms = self._env.now_ms()
        rows = self._state.members.pick_rows(
            self._state.make_own_row(), now_ms, self._env.random
        )
        largest = sorted(
            self._state.own_dispatched,
            key=lambda row: -row.all_pending_tokens - row.held_tokens,
        )
        return gossip.Gossip(
            sender=self._config.vm_id,
            hall=self._config.hall,
            revision=self._state.in_force.manifest.revision,
            listing_version=self._state.listing.version,
            listing_age_ms=min(self._state.listing_age_ms(), 1e12),
            members=rows,
            dispatched=tuple(largest[: self._max_dispatched_rows()]),
        )

    def _max_dispatched_rows(self) -> int:
        known = len(self._state.members.list_known())
        if known > membership.ROWS_PER_DIGEST:
            return MAX_DISPATCHED_ROWS_LARGE_HALL
        return MAX_DISPATCHED_ROWS

    def receive_digest(self, digest: gossip.Gossip) -> None:
        """Merges a peer's digest; fetches what the peer has newer."""
        self._state.merge_digest(digest)
        peer = self._state.find_vm(digest.sender)
        if peer is None or peer.vm_id in self._catching_up_from:
            return
        has_newer_tree = adoption.is_wanted(
            self._state.in_force, digest.revision
        )
        has_newer_list = digest.listing_version > self._state.listing.version
        if not has_newer_tree and not has_newer_list:
            return
        self._catching_up_from.add(peer.vm_id)
        task = asyncio.ensure_future(
            self._catch_up(peer, has_newer_tree, has_newer_list)
        )
        self._catch_up_tasks.add(task)
        task.add_done_callback(self._catch_up_tasks.discard)

    async def _catch_up(
        self, peer: vms.Vm, has_newer_tree: bool, has_newer_list: bool
    ) -> None:
        try:
            if has_newer_tree:
                await self._settings_sync.fetch_from_peer(peer)
            if has_newer_list:
                await self._list_sync.fetch_from_peer(peer)
        finally:
            self._catching_up_from.discard(peer.vm_id)

    async def _exchange_digests(self, peer: vms.Vm) -> None:
        reply = await self._peer_connections.request(peer, self.make_digest())
        if isinstance(reply, gossip.Gossip):
            self._state.answered_peers.add(reply.sender)
            self.receive_digest(reply)

    def _pick_peers(self) -> list[vms.Vm]:
        local = self._state.peers(own_hall=True)
        remote = self._state.peers(own_hall=False)
        unanswered = [
            peer
            for peer in local
            if peer.vm_id not in self._state.answered_peers
        ]
        rng = self._env.random
        # Peers that have not answered yet come first: this VM's share of the
        # limits is zero until all of its hall have answered.
        first = rng.sample(
            unanswered, min(len(unanswered), self._config.fan_out)
        )
        rest = [peer for peer in local if peer not in first]
        count = min(len(rest), self._config.fan_out - len(first))
        chosen = first + rng.sample(rest, max(0, count))
        remote_count = min(len(remote), _REMOTE_FAN_OUT)
        return chosen + rng.sample(remote, remote_count)

    async def _wait_for_round(self) -> None:
        """Waits until the next round is due or something has changed."""
        await asyncio.sleep(_MIN_ROUND_MS / 1000.0)
        jitter = self._env.random.uniform(0.8, 1.2)
        wait_ms = self._config.gossip_ms * jitter - _MIN_ROUND_MS
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._state.changed.wait()
        except TimeoutError:
            pass
