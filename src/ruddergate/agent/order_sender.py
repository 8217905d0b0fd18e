"""Sends engines the orders that follow from the settings."""

from ruddergate import environment
from ruddergate.adapters.engines import control
from ruddergate.agent import agent_state
from ruddergate.agent import config as configs
from ruddergate.decisions import orders
from ruddergate.fleet import target as targets
from ruddergate.settings import effective
from ruddergate.settings import index as indexes
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types


class OrderSender:
    """Decides after each poll of an engine whether to send it an order."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.AgentConfig,
        state: agent_state.AgentState,
        metrics: metric_types.AgentMetrics,
    ) -> None:
        self._env = env
        self._config = config
        self._state = state
        self._metrics = metrics
        self._log = logs.make_logger("orders")
        self._owner_since_ms: dict[str, float] = {}
        self._budgets: dict[str, orders.WeightReadBudget] = {}
        self._index = indexes.Index(state.in_force.tree)

    async def order_if_due(
        self, target: targets.Target, loaded: orders.LoadedState
    ) -> None:
        """Sends an engine its order if one is needed and this VM may send it.

        Args:
            target: The engine.
            loaded: What the engine reports to have loaded.
        """
        pool = self._find_pool(target)
        if pool is None or pool.pool_kind != "engine" or not pool.model_version:
            return
        if not self._may_order(target, pool):
            return
        revision = self._state.in_force.manifest.revision
        order = orders.make_order(pool, revision, loaded.generation)
        if not orders.is_needed(order, loaded):
            return
        if self._reads_weights(order, loaded) and not self._consume_weight_read(
            pool
        ):
            return
        response = await control.order(
            self._env, target, order, orders.ORDER_TIMEOUT_MS
        )
        result = type(response).__name__.lower()
        self._metrics.orders.inc({"result": result})
        self._log.info(
            "Order of revision {} to {}: {}.",
            revision,
            target.target_id,
            result,
        )

    def _find_pool(self, target: targets.Target) -> effective.Pool | None:
        tree = self._state.in_force.tree
        if self._index.tree is not tree:
            self._index = indexes.Index(tree)
        return self._index.find_pool(target.pool)

    def _may_order(self, target: targets.Target, pool: effective.Pool) -> bool:
        now_ms = self._env.now_ms()
        live = set(self._state.live_in_hall()) | {self._config.vm_id}
        owners = orders.find_owners(target, live, pool.checks_fence)
        is_owner = self._config.vm_id in owners
        if not is_owner:
            self._owner_since_ms.pop(target.target_id, None)
        since_ms = self._owner_since_ms.get(target.target_id, now_ms)
        if is_owner:
            self._owner_since_ms[target.target_id] = since_ms
        return orders.may_order(
            is_owner,
            pool.checks_fence,
            now_ms - since_ms,
            now_ms - self._state.tree_since_ms,
            self._state.listing_age_ms(),
        )

    def _reads_weights(
        self, order: orders.Order, loaded: orders.LoadedState
    ) -> bool:
        current = (loaded.model, loaded.version, loaded.adapters)
        return current != (order.model, order.version, order.adapters)

    def _consume_weight_read(self, pool: effective.Pool) -> bool:
        """Consumes a read from this VM's share of the weight store's limit.

        Returns whether one was available.
        """
        now_ms = self._env.now_ms()
        vm_count = max(1, len(self._state.listing.vms))
        rate = pool.weight_reads_per_s_max / vm_count
        budget = self._budgets.get(pool.name)
        if budget is None:
            budget = orders.WeightReadBudget(rate, 0.0, now_ms)
            self._budgets[pool.name] = budget
        budget.rate_per_s = rate
        return budget.try_take(now_ms)
