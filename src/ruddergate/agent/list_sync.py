"""Brings the list of VMs and targets in, from the platform or from peers."""

import asyncio

from ruddergate import environment
from ruddergate.adapters.vm_list import client as vm_list
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import peer_connections
from ruddergate.fleet import vm as vms
from ruddergate.messages import fleet_view
from ruddergate.messages import listing_wanted
from ruddergate.telemetry import metrics as metric_types


class ListSync:
    """The task that looks at the list for its hall."""

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
        """Looks again and again until cancelled."""
        while True:
            if self._is_fetch_due():
                await self.fetch()
            jitter = self._env.random.uniform(0.8, 1.2)
            await asyncio.sleep(self._config.list_poll_ms * jitter / 1000.0)

    async def fetch(self) -> None:
        """Looks at the platform's list once."""
        self._metrics.platform_calls.inc({"service": "list"})
        began_ms = self._env.now_ms()
        answer = await vm_list.fetch_listing(
            self._env,
            self._config.vm_list,
            self._config.platform_timeout_ms,
        )
        if not isinstance(answer, vm_list.Unavailable):
            age_ms = self._env.now_ms() - began_ms
            self._state.merge_listing(answer, age_ms)

    async def fetch_from_peer(self, peer: vms.Vm) -> None:
        """Takes a peer's list if it is newer."""
        request = listing_wanted.ListingWanted(self._state.listing.version)
        answer = await self._peer_connections.request(peer, request)
        if isinstance(answer, fleet_view.FleetView):
            self._state.merge_listing(answer.listing, answer.age_ms)

    def _is_fetch_due(self) -> bool:
        if not self._state.listing.vms:
            return True
        if self._state.is_watcher("list"):
            return True
        return self._state.listing_age_ms() > self._config.watcher_timeout_ms
