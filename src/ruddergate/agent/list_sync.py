"""Fetches the list of VMs and targets, from the platform or from peers."""

import asyncio

from ruddergate import environment
from ruddergate.adapters.vm_list import client as vm_list
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import peer_connections
from ruddergate.fleet import vm as vms
from ruddergate.messages import fleet_view
from ruddergate.messages import listing_request
from ruddergate.telemetry import metrics as metric_types


class ListSync:
    """Polls the platform's list if this agent is a watcher of its hall.

    Other agents get the list by gossip. They poll only if they have none or if
    it is too old.
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

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            if self._is_fetch_due():
                await self.fetch()
            jitter = self._env.random.uniform(0.8, 1.2)
            await asyncio.sleep(self._config.list_poll_ms * jitter / 1000.0)

    async def fetch(self) -> None:
        """Fetches the platform's list once."""
        self._metrics.platform_calls.inc({"service": "list"})
        began_ms = self._env.now_ms()
        response = await vm_list.fetch_listing(
            self._env,
            self._config.vm_list,
            self._config.platform_timeout_ms,
        )
        if not isinstance(response, vm_list.Unavailable):
            age_ms = self._env.now_ms() - began_ms
            self._state.merge_listing(response, age_ms)

    async def fetch_from_peer(self, peer: vms.Vm) -> None:
        """Fetches a peer's list and adopts it if it is newer."""
        request = listing_request.ListingRequest(self._state.listing.version)
        response = await self._peer_connections.request(peer, request)
        if isinstance(response, fleet_view.FleetView):
            self._state.merge_listing(response.listing, response.age_ms)

    def _is_fetch_due(self) -> bool:
        if not self._state.listing.vms:
            return True
        if self._state.is_watcher("list"):
            return True
        return self._state.listing_age_ms() > self._config.watcher_timeout_ms
