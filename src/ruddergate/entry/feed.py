"""The entry's side of the connection to its agent."""

import asyncio

from ruddergate import environment
from ruddergate.entry import config as configs
from ruddergate.entry import limits as limit_types
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import view as views
from ruddergate.messages import entry_hello
from ruddergate.messages import entry_load
from ruddergate.messages import fleet_view
from ruddergate.messages import loads
from ruddergate.messages import shares
from ruddergate.messages import tree_parts
from ruddergate.telemetry import logs
from ruddergate.wire import codec
from ruddergate.wire import frames

_RECONNECT_MS = 200.0
_REPORT_INTERVAL_MS = 250.0
_HANDSHAKE_TIMEOUT_MS = 1_000.0


class Feed:
    """Updates the view with messages from the agent while it is connected.

    Attributes:
        is_connected: Whether the agent has sent a message on this connection.
        is_stopping: Set by the process during a planned stop.
    """

    def __init__(
        self,
        env: environment.Environment,
        config: configs.EntryConfig,
        incarnation: str,
        view: views.View,
        scheduler: schedulers.Scheduler,
        limits: limit_types.Limits,
    ) -> None:
        self.is_connected = False
        self.is_stopping = False
        self._env = env
        self._config = config
        self._incarnation = incarnation
        self._view = view
        self._scheduler = scheduler
        self._limits = limits
        self._log = logs.make_logger("feed")

    async def run(self) -> None:
        """Connects, and reconnects, until cancelled."""
        while True:
            await self._run_once()
            if self.is_connected:
                self.is_connected = False
                self._log.warning(
                    "Agent connection lost; serving with the last view."
                )
            await asyncio.sleep(_RECONNECT_MS / 1000.0)

    async def _run_once(self) -> None:
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_MS / 1000.0):
                pair = await self._env.connect(self._config.agent)
                stream = frames.FrameStream(*pair, self._config.peer_key)
                if await stream.greet() is not None:
                    return
        except (OSError, TimeoutError):
            return
        report_task = asyncio.ensure_future(self._report(stream))
        try:
            await self._receive(stream)
        finally:
            report_task.cancel()
            stream.close()

    async def _receive(self, stream: frames.FrameStream) -> None:
        while True:
            message = await stream.receive()
            if isinstance(message, frames.Closed):
                if message.detail:
                    self._log.warning(
                        "Connection to agent rejected: {}.", message.detail
                    )
                return
            self.is_connected = True
            self._apply(message)

    def _apply(self, message: codec.Message) -> None:
        now_ms = self._env.now_ms()
        match message:
            case tree_parts.TreeParts():
                if self._view.apply_tree(message):
                    revision = message.manifest.revision
                    self._log.info("Settings {} in force.", revision)
                    self._scheduler.post(schedulers.ViewChanged())
            case fleet_view.FleetView():
                self._view.apply_fleet(message, now_ms)
                self._scheduler.post(schedulers.ViewChanged())
            case shares.Shares():
                self._view.apply_shares(message, now_ms)
            case loads.Loads():
                self._scheduler.post(message)
            case _:
                self._log.warning("Ignoring unexpected message from the agent.")

    async def _report(self, stream: frames.FrameStream) -> None:
        in_force = self._view.in_force
        revision = in_force.manifest.revision
        await stream.send(entry_hello.EntryHello(self._incarnation, revision))
        if revision > 0:
            # An agent that has just started must not go back to settings that
            # are older than those in force here.
            shards = dict(in_force.shards)
            await stream.send(tree_parts.TreeParts(in_force.manifest, shards))
        while True:
            report = entry_load.EntryLoad(
                self._scheduler.list_own_loads(),
                self._limits.demand(),
                self.is_stopping,
            )
            if await stream.send(report) is not None:
                return
            await asyncio.sleep(_REPORT_INTERVAL_MS / 1000.0)
