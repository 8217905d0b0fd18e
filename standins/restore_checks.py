"""What must hold while the store is restored from older copies."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses

from ruddergate.fleet import condition
from ruddergate.fleet import life as lives
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_schedules
from standins import platform_replica

# A target that leaves gets no calls later than this.
DRAIN_GRACE_S = 2.0
# VMs that nothing has disturbed for so long are bound by what the store tells.
CONTACT_S = 3.0
# Without a fault for so long, all VMs go by what is so.
SETTLE_S = 8.0
_SAMPLE_S = 0.05
# The call that passes a VM as it learns of a leaving is borne.
_IN_FLIGHT_S = 0.05

_LEAVINGS = "leavings"
_RESTORES = "restores"
_KNOWN = "leavings known by a VM"
_LOST = "leavings lost by a restore"
_KEYS = "removed keys"


@dataclasses.dataclass(slots=True)
class _Leaving:
    """A target that leaves.

    Attributes:
        replica: Its life.
        published_s: When the store was last told of it, after the last restore
            that may have lost it; infinity until it is told again.
        known_s: When each run of a VM first went by it.
    """

    replica: platform_replica.PlatformReplica
    published_s: float
    known_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )


class Record:
    """What happened in a run, and what its VMs went by.

    Args:
        cluster: What is played on.
    """

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self._cluster = cluster
        self._leavings: dict[lives.Life, _Leaving] = {}
        self._restored_s: list[float] = []
        self._key_removed_s = float("inf")
        self._revisions: dict[tuple[str, int], int] = {}
        self._broken: list[str] = []
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self) -> dict[str, int]:
        """Returns what the run has brought about."""
        known = sum(len(each.known_s) for each in self._leavings.values())
        return {**self._counts, _KNOWN: known}

    def note_leaving(self, replica: platform_replica.PlatformReplica) -> None:
        """Notes that the store was told that a target leaves."""
        self._counts[_LEAVINGS] += 1
        life = lives.Life(replica.name, replica.started_ms)
        self._leavings[life] = _Leaving(replica, self._now_s())

    def note_restored(self) -> None:
        """Notes that the store has gone back."""
        self._counts[_RESTORES] += 1
        now_s = self._now_s()
        self._restored_s.append(now_s)
        for each in self._leavings.values():
            self._counts[_LOST] += 1
            each.published_s = float("inf")

    def note_rewritten(self) -> None:
        """Notes that what the store lost was written again.

        Replicas write again with their next heartbeat.
        """
        again_s = self._now_s() + gateway_cluster.HEARTBEAT_S
        for each in self._leavings.values():
            each.published_s = min(each.published_s, again_s)

    def note_removed_key(self) -> None:
        """Notes that the settings without the key that goes are published."""
        self._counts[_KEYS] += 1
        self._key_removed_s = self._now_s()

    async def sample(self) -> None:
        """Looks again and again at what VMs go by, until cancelled."""
        while True:
            for node in self._cluster.vms.values():
                if not (node.process.is_dead or node.process.is_frozen):
                    self._look(node)
            await asyncio.sleep(_SAMPLE_S)

    def _look(self, node: gateway_cluster.Node) -> None:
        view = node.gateway.context.view
        run = (node.name, node.starts)
        before = self._revisions.get(run, 0)
        if view.catalog.revision < before:
            self._broken.append(f"{node.name}: settings went back")
        self._revisions[run] = max(before, view.catalog.revision)
        for each in view.listing.targets:
            leaving = self._leavings.get(each.life)
            is_known = each.condition is condition.Condition.LEAVING
            if leaving is not None and is_known:
                leaving.known_s.setdefault(run, self._now_s())

    def find_broken(
        self, got: Iterable[gateway_caller.CallResult]
    ) -> list[str]:
        """Returns a sentence for each promise that was broken."""
        by_id = {each.call.request_id: each for each in got}
        broken = list(self._broken)
        for leaving in self._leavings.values():
            for arrival in leaving.replica.arrivals:
                call = by_id[arrival.request_id]
                broken += self._check_arrival(leaving, arrival, call)
        broken += self._check_keys(by_id)
        return broken

    def _check_arrival(
        self,
        leaving: _Leaving,
        arrival: platform_replica.Arrival,
        call: gateway_caller.CallResult,
    ) -> Iterable[str]:
        vm, at_s = call.call.vm, arrival.at_s
        name = leaving.replica.name
        starts = sum(each <= at_s for each in self._cluster.vm_starts[vm])
        known_s = leaving.known_s.get((vm, starts), float("inf"))
        is_awake = self._ran(vm, call.sent_s, at_s)
        if at_s > known_s + _IN_FLIGHT_S and is_awake:
            late_ms = round((at_s - known_s) * 1_000.0)
            yield (
                f"{arrival.request_id} reached {name} {late_ms} ms after {vm} "
                "went by its leaving"
            )
        late_s = at_s - leaving.published_s
        if late_s > DRAIN_GRACE_S and self._is_in_touch(vm, at_s):
            yield (
                f"{arrival.request_id} reached {name} "
                f"{round(late_s * 1_000.0)} ms after the store told that it "
                f"leaves, by {vm}"
            )

    def _check_keys(
        self, by_id: dict[str, gateway_caller.CallResult]
    ) -> Iterable[str]:
        until_s = self._key_removed_s + gateway_cluster.REVOKE_MS / 1_000.0
        for replica in self._cluster.all_replicas:
            for run in replica.runs:
                call = by_id[run.request_id]
                is_late = call.sent_s > until_s
                if is_late and run.workspace == "w2":
                    late_ms = round((call.sent_s - until_s) * 1_000.0)
                    yield (
                        f"{run.request_id} ran with a removed key, sent "
                        f"{late_ms} ms too late to {call.call.vm}"
                    )

    def _is_in_touch(self, vm: str, at_s: float) -> bool:
        """Returns whether a VM is bound by what the store tells."""
        from_s = at_s - CONTACT_S
        if any(from_s < each < at_s for each in self._restored_s):
            return False
        return self._ran(vm, from_s, at_s) and not any(
            each.name == gateway_cluster.STORE_NAME
            and each.from_s < at_s
            and from_s < each.to_s
            for each in self._cluster.disturbances
        )

    def _ran(self, vm: str, from_s: float, to_s: float) -> bool:
        return gateway_schedules.ran_undisturbed(
            self._cluster, vm, from_s, to_s
        )

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def find_unlisted(cluster: gateway_cluster.GatewayCluster) -> list[str]:
    """Returns live targets that a VM does not use.

    It is to be asked after REST_S without a fault.
    """
    sound = [
        lives.Life(node.replica.name, node.replica.started_ms)
        for node in cluster.targets.values()
        if node.state == "ready" and not node.process.is_dead
    ]
    broken = []
    for vm in cluster.vms.values():
        if vm.process.is_dead or vm.task.done():
            continue
        live = {
            each.life
            for each in vm.gateway.context.view.listing.targets
            if each.condition is condition.Condition.LIVE
        }
        broken += [
            f"{vm.name} does not use {life.target_id}, which lives"
            for life in sound
            if life not in live
        ]
    return broken
