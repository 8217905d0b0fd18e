"""Invariants that must hold while the store is restored from snapshots."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses

from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_schedules
from standins import platform_replica

# A draining target gets no calls later than this after the store published it.
DRAIN_GRACE_S = 2.0
# Settings are in force this long after the store published them.
_APPLY_S = 2.0
# VMs that ran undisturbed for this time must act on the store's content.
CONTACT_S = 3.0
# After this time without a fault, all VMs know the current state.
SETTLE_S = 8.0
_SAMPLE_S = 0.05
# A call that a VM dispatches just as it learns of draining is tolerated.
_IN_FLIGHT_S = 0.05

_DRAINS = "leavings"
_RESTORES = "restores"
_KNOWN = "leavings known by a VM"
_LOST = "leavings lost by a restore"
_KEYS = "removed keys"


@dataclasses.dataclass(slots=True)
class _Drain:
    """A draining target.

    Attributes:
        replica: Its incarnation.
        published_s: When it was last written to the store, after the last
            restore that may have lost it; infinity until it is written again.
        known_s: When each incarnation of a VM first considered it draining.
    """

    replica: platform_replica.PlatformReplica
    published_s: float
    known_s: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )


class Record:
    """Events of a run, and the state that its VMs acted on.

    Args:
        cluster: The cluster of the run.
    """

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self._cluster = cluster
        self._drains: dict[incarnations.Incarnation, _Drain] = {}
        self._restore_times_s: list[float] = []
        self._key_removed_s = float("inf")
        self._revisions: dict[tuple[str, int], int] = {}
        # When each revision of the settings was first seen in the store.
        self._published_s: dict[int, float] = {}
        self._late_settings: list[tuple[str, float, str]] = []
        self._broken: list[str] = []
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self) -> dict[str, int]:
        """Returns how often each kind of event occurred in the run."""
        known = sum(len(each.known_s) for each in self._drains.values())
        return {**self._counts, _KNOWN: known}

    def record_drain(self, replica: platform_replica.PlatformReplica) -> None:
        """Records that the store shows a target as draining or removed."""
        self._counts[_DRAINS] += 1
        incarnation = incarnations.Incarnation(replica.name, replica.started_ms)
        self._drains[incarnation] = _Drain(replica, self._now_s())

    def record_restore(self) -> None:
        """Records that the store was restored."""
        self._counts[_RESTORES] += 1
        now_s = self._now_s()
        self._restore_times_s.append(now_s)
        for each in self._drains.values():
            self._counts[_LOST] += 1
            each.published_s = float("inf")

    def record_rewrite(self) -> None:
        """Records that what the store lost was written again.

        Replicas write their entries again with their next heartbeat.
        """
        rewritten_s = self._now_s() + gateway_cluster.HEARTBEAT_S
        for each in self._drains.values():
            each.published_s = min(each.published_s, rewritten_s)

    def record_key_removal(self) -> None:
        """Records that settings without the removed key are published."""
        self._counts[_KEYS] += 1
        self._key_removed_s = self._now_s()

    async def sample(self) -> None:
        """Samples the state of all VMs until cancelled."""
        while True:
            self._published_s.setdefault(self._cluster.revision, self._now_s())
            for node in self._cluster.vms.values():
                if not (node.process.is_dead or node.process.is_frozen):
                    self._sample_node(node)
            await asyncio.sleep(_SAMPLE_S)

    def _sample_node(self, node: gateway_cluster.Node) -> None:
        view = node.gateway.context.view
        run = (node.name, node.starts)
        before = self._revisions.get(run, 0)
        if view.catalog.revision < before:
            self._broken.append(f"{node.name}: settings revision went back")
        self._revisions[run] = max(before, view.catalog.revision)
        if not node.stop.is_set():
            self._sample_settings(node.name, view.catalog.revision)
        for each in view.listing.targets:
            drain = self._drains.get(each.incarnation)
            is_known = each.condition is condition.Condition.DRAINING
            if drain is not None and is_known:
                drain.known_s.setdefault(run, self._now_s())

    def _sample_settings(self, vm: str, revision: int) -> None:
        """Notes if settings that were published some time ago are missing."""
        now_s = self._now_s()
        due = max(
            each
            for each, at_s in self._published_s.items()
            if at_s <= now_s - _APPLY_S or each == 1
        )
        if revision < due:
            late_ms = round((now_s - self._published_s[due]) * 1_000.0)
            self._late_settings.append(
                (
                    vm,
                    now_s,
                    f"{vm} uses settings {revision} {late_ms} ms after {due}",
                )
            )

    def find_broken(
        self, results: Iterable[gateway_caller.CallResult]
    ) -> list[str]:
        """Returns a message for each invariant that was violated."""
        by_id = {each.call.request_id: each for each in results}
        broken = list(self._broken)
        broken += [
            message
            for vm, at_s, message in self._late_settings
            if self._must_follow_store(vm, at_s)
        ]
        for drain in self._drains.values():
            for arrival in drain.replica.arrivals:
                call = by_id[arrival.request_id]
                broken += self._check_arrival(drain, arrival, call)
        broken += self._check_keys(by_id)
        return broken

    def _check_arrival(
        self,
        drain: _Drain,
        arrival: platform_replica.Arrival,
        call: gateway_caller.CallResult,
    ) -> Iterable[str]:
        vm, at_s = call.call.vm, arrival.at_s
        name = drain.replica.name
        starts = sum(each <= at_s for each in self._cluster.vm_starts[vm])
        known_s = drain.known_s.get((vm, starts), float("inf"))
        is_awake = self._ran(vm, call.sent_s, at_s)
        if at_s > known_s + _IN_FLIGHT_S and is_awake:
            late_ms = round((at_s - known_s) * 1_000.0)
            yield (
                f"{arrival.request_id} reached {name} {late_ms} ms after {vm} "
                "considered it draining"
            )
        late_s = at_s - drain.published_s
        if late_s > DRAIN_GRACE_S and self._must_follow_store(vm, at_s):
            yield (
                f"{arrival.request_id} reached {name} "
                f"{round(late_s * 1_000.0)} ms after the store published "
                f"that it is draining, from {vm}"
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

    def _must_follow_store(self, vm: str, at_s: float) -> bool:
        """Returns whether a VM must act on the store's content."""
        from_s = at_s - CONTACT_S
        if any(from_s < each < at_s for each in self._restore_times_s):
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

    Call it after SETTLE_S without a fault.
    """
    ready = [
        incarnations.Incarnation(node.replica.name, node.replica.started_ms)
        for node in cluster.targets.values()
        if node.state == "ready" and not node.process.is_dead
    ]
    broken = []
    for vm in cluster.vms.values():
        if vm.process.is_dead or vm.task.done():
            continue
        live = {
            each.incarnation
            for each in vm.gateway.context.view.listing.targets
            if each.condition is condition.Condition.LIVE
        }
        broken += [
            f"{vm.name} does not use {incarnation.target_id}, which is live"
            for incarnation in ready
            if incarnation not in live
        ]
    return broken
