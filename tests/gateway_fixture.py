"""A small cluster of gateways in virtual time, and a caller of it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from ruddergate.fleet import condition
from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica
from standins import virtual_process

_SHORT_PROMPT = {"prompt_tokens": 5_000, "output_tokens": 460}
# Within this many requests, every target has responded to one.
_MAX_HINT_REQUESTS = 40
# Enough requests to reach every target that accepts them.
_SAMPLE_REQUESTS = 8


class Fixture:
    """A started cluster and a caller outside of it."""

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self.cluster = cluster
        self.caller = gateway_caller.Caller(cluster)
        self._count = 0

    async def call(
        self, route: str, vm: str = "vm-0", **fields: object
    ) -> gateway_caller.CallResult:
        """Sends one request and returns its response."""
        self._count += 1
        if route in ("short", "once"):
            fields = {**_SHORT_PROMPT, **fields}
        call = gateway_caller.Call(f"r{self._count}", route, vm, **fields)
        return await self.caller.send(call)

    def reset_busy_targets(self) -> None:
        """Resets the connections of the targets that have run a request."""
        for node in self.cluster.targets.values():
            if node.replica.runs:
                node.replica.broken_off.update(
                    run.request_id for run in node.replica.runs
                )
                self.cluster.network.reset_node(node.process)

    def find_runs(
        self, result: gateway_caller.CallResult
    ) -> list[platform_replica.Run]:
        """Returns the runs of a request on all replicas."""
        return [
            run
            for replica in self.cluster.all_replicas
            for run in replica.runs
            if run.request_id == result.call.request_id
        ]

    async def call_until_draining_hint(
        self, replica: platform_replica.PlatformReplica, route: str
    ) -> None:
        """Sends requests until vm-0 forwards a drain hint of a replica."""
        for _ in range(_MAX_HINT_REQUESTS):
            result = await self.call(route, "vm-0")
            if result.headers.get("server-leaving") == "1":
                return
        raise AssertionError(f"no response of {replica.name} was forwarded")

    async def count_arrivals(
        self,
        replica: platform_replica.PlatformReplica,
        route: str,
        vm: str = "vm-0",
    ) -> int:
        """Returns how many of a few requests through a VM reach a replica."""
        before = len(replica.arrivals)
        for _ in range(_SAMPLE_REQUESTS):
            await self.call(route, vm)
        return len(replica.arrivals) - before

    def find_listed_condition(
        self, vm: str, node: gateway_cluster.Node
    ) -> condition.Condition | None:
        """Returns a target's condition in a VM's list; None if not listed."""
        listed = self.cluster.vms[vm].gateway.context.view.listing.targets
        return next(
            (
                each.condition
                for each in listed
                if each.target_id == node.replica.name
            ),
            None,
        )

    def inject_faults(
        self, prefix: str, count: int | None = None, **faults
    ) -> None:
        """Sets fault switches of replicas.

        Args:
            prefix: Applies to targets whose name starts with this.
            count: Number of these targets, in name order; all if None.
            **faults: Values of the fault switches, by name.
        """
        names = sorted(self.cluster.targets)
        chosen = [name for name in names if name.startswith(prefix)][:count]
        for name in chosen:
            for field, value in faults.items():
                setattr(self.cluster.targets[name].replica.faults, field, value)


def run_scenario(
    scenario: Callable[[Fixture], Awaitable[None]], **sizes: int
) -> gateway_cluster.GatewayCluster:
    """Starts a cluster of the given layout and runs a scenario on it."""

    async def run() -> gateway_cluster.GatewayCluster:
        cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(**sizes)
        )
        await cluster.start()
        await scenario(Fixture(cluster))
        return cluster

    return virtual_process.run(run)


def list_engines(
    cluster: gateway_cluster.GatewayCluster,
) -> list[gateway_cluster.Node]:
    """Returns the nodes of the engines."""
    return [
        node
        for name, node in cluster.targets.items()
        if name.startswith("engine")
    ]


def count_held(nodes: Iterable[gateway_cluster.Node]) -> int:
    """Returns the tokens of memory that are reserved on targets."""
    return sum(node.replica.held_tokens() for node in nodes)


def list_believed_ends(cluster: gateway_cluster.GatewayCluster) -> list[str]:
    """Returns which targets VMs believe to have ended, with the VMs."""
    return [
        f"{vm}: {each.target_id}"
        for vm, node in cluster.vms.items()
        for each in node.gateway.context.scheduler.incarnation_ends.list_recent(
            node.gateway.context.env.now_ms()
        )
    ]
