"""Looks at targets: load for the entry, lapsed memory, due orders."""

import asyncio

from ruddergate import environment
from ruddergate.adapters.engines import control
from ruddergate.adapters.engines import load as loads
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.agent import feed_server
from ruddergate.agent import order_task
from ruddergate.decisions import rendezvous
from ruddergate.decisions import subset
from ruddergate.decisions import sweeping
from ruddergate.fleet import target as targets
from ruddergate.telemetry import metrics as metric_types

_TIMEOUT_MS = 1_500.0
_SWEEPERS = 2


class TargetPoller:
    """One small task for each target that this VM deals with."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        feed: feed_server.FeedServer,
        orders: order_task.OrderTask,
        metrics: metric_types.AgentMetrics,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._feed = feed
        self._orders = orders
        self._metrics = metrics
        self._tasks: dict[targets.Target, asyncio.Future] = {}

    async def run(self) -> None:
        """Starts and ends the small tasks as the list changes."""
        try:
            while True:
                self._match_list()
                await asyncio.sleep(self._config.load_poll_ms / 1000.0)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _match_list(self) -> None:
        for task in self._tasks.values():
            if task.done():
                # Ended by a fault, since they go on until cancelled.
                task.result()
        wanted = set(subset.choose_all(self._config.vm_id, self._state.listing))
        for target in set(self._tasks) - wanted:
            self._tasks.pop(target).cancel()
        for target in sorted(
            wanted - set(self._tasks), key=lambda each: each.target_id
        ):
            self._tasks[target] = asyncio.ensure_future(self._look_at(target))

    async def _look_at(self, target: targets.Target) -> None:
        after_event = -1
        swept_ms = self._env.now_ms()
        await self._rest()
        while True:
            now_ms = self._env.now_ms()
            sweeps = now_ms - swept_ms >= self._config.sweep_ms and (
                self._is_sweeper(target)
            )
            result = await loads.poll_target(
                self._env, target, after_event, sweeps, _TIMEOUT_MS
            )
            if isinstance(result, loads.PollResult):
                if result.events:
                    after_event = result.events[-1].number
                await self._feed.push_loads([result.report], result.events)
                await self._orders.consider(target, result.loaded)
                if sweeps:
                    swept_ms = now_ms
                    await self._sweep(target, result)
            await self._rest()

    def _is_sweeper(self, target: targets.Target) -> bool:
        live = set(self._state.live_in_hall()) | {self._config.vm_id}
        key = f"sweep {target.target_id}"
        return self._config.vm_id in rendezvous.choose(key, live, _SWEEPERS)

    async def _sweep(
        self, target: targets.Target, result: loads.PollResult
    ) -> None:
        lapsed = sweeping.find_expired(result.held)
        if lapsed:
            await control.cancel(self._env, target, lapsed, _TIMEOUT_MS)
            self._metrics.swept_items.add({}, len(lapsed))

    async def _rest(self) -> None:
        jitter = self._env.random.uniform(0.8, 1.2)
        await asyncio.sleep(self._config.load_poll_ms * jitter / 1000.0)
