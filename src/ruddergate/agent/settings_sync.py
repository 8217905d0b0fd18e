"""Fetches newer settings, from peers or from the configuration service."""

import asyncio

from ruddergate import environment
from ruddergate.adapters.configuration import client as configuration
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import peer_connections
from ruddergate.decisions import adoption
from ruddergate.fleet import vm as vms
from ruddergate.messages import tree_parts
from ruddergate.messages import tree_request
from ruddergate.settings import manifest as manifests
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

_RETRY_DELAY_MS = 500.0
_CHECK_INTERVAL_MS = 1_000.0
# Peers to fetch from at the start, and how often to try.
_START_PEERS = 8
_START_TRIES = 4


class SettingsSync:
    """Watches the configuration service if this agent is a watcher of its hall.

    Other agents get new settings from peers. They watch only if the hall's
    watchers have been silent for too long.
    """

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        connections: peer_connections.PeerConnections,
        metrics: metric_types.AgentMetrics,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._peer_connections = connections
        self._metrics = metrics
        self._log = logs.make_logger("settings")
        self._is_fetching = False

    async def run(self) -> None:
        """Fetches from peers once, then watches until cancelled."""
        await self._fetch_from_peers()
        while True:
            if self._is_watch_due():
                await self._watch_once()
            else:
                await asyncio.sleep(_CHECK_INTERVAL_MS / 1000.0)

    def _is_watch_due(self) -> bool:
        if self._state.is_watcher("settings"):
            return True
        age_ms = self._state.hall_service_age_ms()
        if age_ms <= self._config.watcher_timeout_ms + self._config.watch_ms:
            return False
        # The watchers are late. On average one of the live agents takes over,
        # so that they don't all query the service at once.
        live = max(1, len(self._state.live_in_hall()))
        return self._env.random.random() < 1.0 / live

    async def _fetch_from_peers(self) -> None:
        """Fetches from a few peers at the start.

        The service may be stale, so a fresh process asks its peers first.
        """
        for _ in range(_START_TRIES):
            peers = [
                *self._state.peers(own_hall=True),
                *self._state.peers(own_hall=False),
            ]
            count = min(len(peers), _START_PEERS)
            chosen = self._env.random.sample(peers, count)
            replied = await asyncio.gather(
                *(self.fetch_from_peer(peer) for peer in chosen)
            )
            if any(replied):
                return
            await asyncio.sleep(_RETRY_DELAY_MS / 1000.0)

    async def fetch_from_peer(self, peer: vms.Vm) -> bool:
        """Adopts a peer's settings if newer; returns whether it replied."""
        in_force = self._state.in_force
        request = tree_request.TreeRequest(
            in_force.manifest.revision, tuple(sorted(in_force.shards))
        )
        response = await self._peer_connections.request(peer, request)
        if not isinstance(response, tree_parts.TreeParts):
            return False
        self.consider_parts(response)
        return True

    def consider_parts(self, parts: tree_parts.TreeParts) -> None:
        """Adopts settings sent by a peer or the entry if they are newer."""
        found = adoption.evaluate_offer(
            self._state.in_force, parts.manifest, parts.shards
        )
        if isinstance(found, adoption.InForce):
            self._adopt(found)

    async def _watch_once(self) -> None:
        self._metrics.platform_calls.inc({"service": "manifest"})
        response = await configuration.watch_manifest(
            self._env,
            self._config.configuration,
            self._state.in_force.manifest.revision,
            self._config.watch_ms,
            self._config.platform_timeout_ms,
        )
        if isinstance(response, configuration.Unavailable):
            self._log.debug(
                "Configuration service unavailable: {}.", response.detail
            )
            await self._wait_before_retry()
            return
        self._state.note_service_answer()
        if isinstance(response, manifests.Manifest):
            await self._fetch_from_service(response)

    async def _fetch_from_service(self, offered: manifests.Manifest) -> None:
        in_force = self._state.in_force
        if not adoption.is_wanted(in_force, offered.revision):
            # The revision is stale or was refused; wait before asking again.
            await self._wait_before_retry()
            return
        shards: dict[str, bytes] = {}
        found = adoption.evaluate_offer(in_force, offered, shards)
        if isinstance(found, adoption.MissingShards):
            for digest in found.digests:
                data = await self._fetch_shard(digest)
                if data is None:
                    await self._wait_before_retry()
                    return
                shards[digest] = data
        # The settings in force may have changed while the shards were fetched.
        found = adoption.evaluate_offer(self._state.in_force, offered, shards)
        if isinstance(found, adoption.InForce):
            self._adopt(found)
        else:
            await self._wait_before_retry()

    async def _fetch_shard(self, digest: str) -> bytes | None:
        self._metrics.platform_calls.inc({"service": "shard"})
        data = await configuration.fetch_shard(
            self._env,
            self._config.configuration,
            digest,
            self._config.platform_timeout_ms,
        )
        return None if isinstance(data, configuration.Unavailable) else data

    def _adopt(self, found: adoption.InForce) -> None:
        before = self._state.in_force
        if self._state.adopt(found):
            self._log.info(
                "Settings revision {} is in force.", found.manifest.revision
            )
        elif found.refused_revision > before.refused_revision:
            self._log.error(
                "Settings revision {} refused: {}.",
                found.refused_revision,
                "; ".join(str(each) for each in found.problems[:3]),
            )

    async def _wait_before_retry(self) -> None:
        jitter = self._env.random.uniform(0.5, 1.5)
        await asyncio.sleep(_RETRY_DELAY_MS * jitter / 1000.0)
