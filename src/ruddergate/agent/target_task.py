"""Polls targets: load for the entry, expired items to free, due orders."""

import asyncio

from ruddergate import environment
from ruddergate.adapters.engines import control
from ruddergate.adapters.engines import load as loads
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import feed_server
from ruddergate.agent import order_sender
from ruddergate.decisions import rendezvous
from ruddergate.decisions import subset
from ruddergate.decisions import sweeping
from ruddergate.fleet import target as targets
from ruddergate.telemetry import metrics as metric_types

_TIMEOUT_MS = 1_500.0
# VMs of a hall that free the expired items of a target.
_SWEEPERS_PER_TARGET = 2


class TargetPoller:
    """Runs one polling task for each target that this VM handles."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        feed: feed_server.FeedServer,
        orders: order_sender.OrderSender,
        metrics: metric_types.AgentMetrics,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._feed_server = feed
        self._order_sender = orders
        self._metrics = metrics
        self._tasks: dict[targets.Target, asyncio.Future] = {}

    async def run(self) -> None:
        """Starts and cancels polling tasks as the list changes."""
        try:
            while True:
                self._sync_tasks()
                await asyncio.sleep(self._config.load_poll_ms / 1000.0)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _sync_tasks(self) -> None:
        for task in self._tasks.values():
            if task.done():
                # The tasks run until cancelled, so this one has failed;
                # result() raises its exception.
                task.result()
        assigned = set(
            subset.choose_all(self._config.vm_id, self._state.listing)
        )
        for target in set(self._tasks) - assigned:
            self._tasks.pop(target).cancel()
        for target in sorted(
            assigned - set(self._tasks), key=lambda each: each.target_id
        ):
            self._tasks[target] = asyncio.ensure_future(self._poll(target))

    async def _poll(self, target: targets.Target) -> None:
        after_event = -1
        swept_ms = self._env.now_ms()
        await self._wait()
        while True:
            now_ms = self._env.now_ms()
            is_sweeping = now_ms - swept_ms >= self._config.sweep_ms and (
                self._is_sweeper(target)
            )
            result = await loads.poll_target(
                self._env, target, after_event, is_sweeping, _TIMEOUT_MS
            )
            if isinstance(result, loads.PollResult):
                if result.events:
                    after_event = result.events[-1].sequence
                await self._feed_server.push_loads(
                    [result.report], result.events
                )
                await self._order_sender.order_if_due(target, result.loaded)
                if is_sweeping:
                    swept_ms = now_ms
                    await self._sweep(target, result)
            await self._wait()

    def _is_sweeper(self, target: targets.Target) -> bool:
        live = set(self._state.live_in_hall()) | {self._config.vm_id}
        key = f"sweep {target.target_id}"
        return self._config.vm_id in rendezvous.choose(
            key, live, _SWEEPERS_PER_TARGET
        )

    async def _sweep(
        self, target: targets.Target, result: loads.PollResult
    ) -> None:
        expired = sweeping.find_expired(result.held)
        if expired:
            await control.cancel(self._env, target, expired, _TIMEOUT_MS)
            self._metrics.swept_items.add({}, len(expired))

    async def _wait(self) -> None:
        jitter = self._env.random.uniform(0.8, 1.2)
        await asyncio.sleep(self._config.load_poll_ms * jitter / 1000.0)
