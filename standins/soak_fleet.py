"""Checks of the soak for gateways that are peers of each other.

Guarantees that rest on the store hold for a gateway only if neither it nor the
store was disturbed for 3 s. Calls to which a guarantee can apply are counted,
so that runs without any such call can be recognized.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set

from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica
from standins import soak_draining
from standins import soak_store

_UNDISTURBED_S = 3.0
_DRAIN_DEADLINE_S = 2.0
DRAIN_CHECKS = "calls that must avoid a drained target"
KEY_REMOVAL_CHECKS = "calls with a removed key"


def find_violations(
    store: soak_store.SoakStore,
    replicas: Iterable[platform_replica.PlatformReplica],
    drain_periods: Sequence[soak_draining.DrainPeriod],
    interruptions: Sequence[soak_draining.Interruption],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns calls to drained replicas and calls run with a removed key.

    Args:
        store: What was published, and when.
        replicas: All replicas.
        drain_periods: Times in which replicas drained.
        interruptions: Interruptions of gateways.
        all_responses: Responses to callers, with the gateway that sent them.
        counts: Counters by name, to which calls that a guarantee can apply to
            are added.
    """
    by_id = {
        response.call.request_id: (vm, response)
        for vm, response in all_responses
    }
    ran = {run.request_id for each in replicas for run in each.runs}
    violations = _find_late_key_uses(store, ran, all_responses, counts)
    for period in drain_periods:
        due_s = (
            store.drain_published_s.get(period.name, float("inf"))
            + _DRAIN_DEADLINE_S
        )
        counts[DRAIN_CHECKS] += sum(
            due_s < response.sent_s < period.to_s
            for _, response in all_responses
        )
        for arrival in period.replica.arrivals:
            is_its_own = period.from_s < arrival.at_s < period.to_s
            if not is_its_own or arrival.request_id not in by_id:
                continue
            gateway, _ = by_id[arrival.request_id]
            was_undisturbed = _was_undisturbed(
                store, interruptions, gateway, arrival.at_s
            )
            is_late = arrival.at_s > due_s
            if (
                is_late
                and was_undisturbed
                and not period.was_held_up(arrival.at_s)
            ):
                late_s = arrival.at_s - due_s + _DRAIN_DEADLINE_S
                violations.append(
                    f"{arrival.request_id} reached {period.name} "
                    f"{late_s:.2f} s after its drain was published, by gateway "
                    f"{gateway}"
                )
    return violations


def _find_late_key_uses(
    store: soak_store.SoakStore,
    ran: Set[str],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns calls that ran with a revoked key."""
    until_s = store.key_removed_s + gateway_cluster.REVOKE_MS / 1_000.0
    late = [
        (gateway, response)
        for gateway, response in all_responses
        if response.call.key == soak_store.REMOVED_KEY
        and response.sent_s > until_s
    ]
    counts[KEY_REMOVAL_CHECKS] += len(late)
    return [
        f"{response.call.request_id} ran with a removed key, from {gateway}"
        for gateway, response in late
        if response.call.request_id in ran
    ]


def _was_undisturbed(
    store: soak_store.SoakStore,
    interruptions: Sequence[soak_draining.Interruption],
    gateway: int,
    at_s: float,
) -> bool:
    """Returns whether neither the store nor the gateway was disturbed."""
    from_s = at_s - _UNDISTURBED_S
    if any(from_s < each < at_s for each in store.disrupted_s):
        return False
    return not any(
        each.gateway == gateway and from_s < each.at_s < at_s
        for each in interruptions
    )
