"""Assembles one agent and runs it."""

import asyncio

from ruddergate import _private
from ruddergate import environment
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import feed_server
from ruddergate.agent import gossip_task
from ruddergate.agent import list_sync
from ruddergate.agent import order_sender
from ruddergate.agent import peer_connections
from ruddergate.agent import peer_server
from ruddergate.agent import settings_sync
from ruddergate.agent import share_task
from ruddergate.agent import status
from ruddergate.agent import target_task
from ruddergate.http import server as http_server
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

_LIST_RETRY_MS = 300.0


class Agent:
    """One agent process.

    Attributes:
        state: State that its tasks share.
        metrics: Its metrics.
    """

    def __init__(
        self, env: environment.Environment, config: configs.AgentConfig
    ) -> None:
        self._env = env
        self._config = config
        self._log = logs.make_logger("agent")
        self.metrics = metric_types.AgentMetrics()
        self.state = agent_state.AgentState(env, config)
        self._peer_connections = peer_connections.PeerConnections(
            env, config.peer_key
        )
        common = (env, config, self.state)
        self._settings_sync = settings_sync.SettingsSync(
            *common, self._peer_connections, self.metrics
        )
        self._list_sync = list_sync.ListSync(
            *common, self._peer_connections, self.metrics
        )
        self._gossip_task = gossip_task.GossipTask(
            *common,
            self._peer_connections,
            self._settings_sync,
            self._list_sync,
        )
        self._share_task = share_task.ShareTask(*common, self._peer_connections)
        self._feed_server = feed_server.FeedServer(
            *common, self._settings_sync, self._share_task
        )
        self._order_sender = order_sender.OrderSender(*common, self.metrics)
        self._target_poller = target_task.TargetPoller(
            *common, self._feed_server, self._order_sender, self.metrics
        )
        self._peer_server = peer_server.PeerServer(
            config, self.state, self._gossip_task, self._share_task
        )

    def peer_bytes(self) -> int:
        """Returns the total bytes exchanged with other agents."""
        return (
            self._peer_connections.total_bytes() + self._peer_server.total_bytes
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set."""
        feed_listener = await self._env.serve(
            self._feed_server.handle, self._config.feed_listen
        )
        peer_listener = await self._env.serve(
            self._peer_server.handle, self._config.peer_listen
        )
        status_listeners = await self._serve_status()
        self._log.info(
            "Serving the entry's feed at {}.", self._config.feed_listen
        )
        tasks = [asyncio.ensure_future(self._run_tasks())]
        try:
            await _private.wait_while_running(stop.wait(), tasks)
        finally:
            for task in tasks:
                task.cancel()
            self._peer_connections.close()
            for status_listener in status_listeners:
                status_listener.close()
            peer_listener.close()
            feed_listener.close()
        self._log.info("Agent stopped.")

    async def _serve_status(self) -> list[asyncio.Server]:
        """Serves the status and metrics pages if an address is configured."""
        if self._config.status_listen is None:
            return []
        handle = status.make_status_handler(self.state, self.metrics)
        handler = http_server.make_stream_handler(handle, http_server.Limits())
        return [await self._env.serve(handler, self._config.status_listen)]

    async def _run_tasks(self) -> None:
        """Fetches the list, which names the peers, and then runs all tasks."""
        await self._list_sync.fetch()
        while not self.state.listing.vms:
            await asyncio.sleep(_LIST_RETRY_MS / 1000.0)
            await self._list_sync.fetch()
        await asyncio.gather(
            self._list_sync.run(),
            self._gossip_task.run(),
            self._settings_sync.run(),
            self._share_task.run(),
            self._target_poller.run(),
        )
