"""Small clusters of gateways for tests of promises."""

from collections.abc import Awaitable
from collections.abc import Callable

from ruddergate.fleet import condition
from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica
from standins import virtual_process

_SHORT = {"prompt_tokens": 5_000, "output_tokens": 460}
# Calls after which an answer of each target must have been passed on.
_TELL_MOST = 40
# Calls that would reach any target that takes them.
_CALLS = 8


class Scene:
    """A cluster that has started, and a caller outside of it."""

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self.cluster = cluster
        self.caller = gateway_caller.Caller(cluster)
        self._count = 0

    async def call(
        self, route: str, vm: str = "vm-0", **fields: object
    ) -> gateway_caller.CallResult:
        """Sends one call."""
        self._count += 1
        if route in ("short", "once"):
            fields = {**_SHORT, **fields}
        call = gateway_caller.Call(f"r{self._count}", route, vm, **fields)
        return await self.caller.send(call)

    def runs(
        self, got: gateway_caller.CallResult
    ) -> list[platform_replica.Run]:
        """Returns what ran of a call."""
        return [
            run
            for replica in self.cluster.all_replicas
            for run in replica.runs
            if run.request_id == got.call.request_id
        ]

    async def call_until_told(
        self, replica: platform_replica.PlatformReplica, route: str
    ) -> None:
        """Has vm-0 pass on an answer of a replica that says that it leaves."""
        for _ in range(_TELL_MOST):
            got = await self.call(route, "vm-0")
            if got.headers.get("server-leaving") == "1":
                return
        raise AssertionError(f"no answer of {replica.name} was passed on")

    async def count_arrivals(
        self,
        replica: platform_replica.PlatformReplica,
        route: str,
        vm: str = "vm-0",
    ) -> int:
        """Returns how many of some calls of a VM come to a replica."""
        before = len(replica.arrivals)
        for _ in range(_CALLS):
            await self.call(route, vm)
        return len(replica.arrivals) - before

    def find_condition(
        self, vm: str, node: gateway_cluster.Node
    ) -> condition.Condition | None:
        """Returns what a VM believes of a target; None if it is not listed."""
        listed = self.cluster.vms[vm].gateway.context.view.listing.targets
        return next(
            (
                each.condition
                for each in listed
                if each.target_id == node.replica.name
            ),
            None,
        )

    def spoil(self, prefix: str, count: int | None = None, **wrong) -> None:
        """Has the replicas of a name misbehave."""
        names = sorted(self.cluster.targets)
        chosen = [name for name in names if name.startswith(prefix)][:count]
        for name in chosen:
            for field, value in wrong.items():
                setattr(self.cluster.targets[name].replica.faults, field, value)


def play(
    scene: Callable[[Scene], Awaitable[None]], **sizes: int
) -> gateway_cluster.GatewayCluster:
    """Plays a scene in virtual time."""

    async def run() -> gateway_cluster.GatewayCluster:
        cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(**sizes)
        )
        await cluster.start()
        await scene(Scene(cluster))
        return cluster

    return virtual_process.run(run)
