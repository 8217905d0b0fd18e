"""What the soak checks of gateways that know each other.

Promises that rest on the store bind a gateway that nothing has disturbed for a
while; each such excuse is narrow, and what was checked is counted.
"""

import collections
from collections.abc import Sequence

from standins import gateway_caller
from standins import gateway_cluster
from standins import soak_store
from standins import soak_withdrawals

_CONTACT_S = 3.0
_LEAVE_S = 2.0
DUE = "calls due to keep off a target that left"
KEYS_DUE = "calls with a removed key"


def find_broken(
    store: soak_store.SoakStore,
    leavings: Sequence[soak_withdrawals.Leaving],
    upsets: Sequence[soak_withdrawals.Upset],
    all_got: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns calls that reached what they were not to reach.

    Args:
        store: What was published, and when.
        leavings: Replicas that left.
        upsets: What befell gateways.
        all_got: What callers got, with the gateway that they asked.
        counts: Is told how often each promise was put to the test.
    """
    by_id = {got.call.request_id: (vm, got) for vm, got in all_got}
    broken = _find_late_keys(store, all_got, counts)
    for leaving in leavings:
        due_s = store.published_s.get(leaving.name, float("inf")) + _LEAVE_S
        counts[DUE] += sum(
            due_s < got.sent_s < leaving.to_s for _, got in all_got
        )
        for arrival in leaving.replica.arrivals:
            is_its_own = leaving.from_s < arrival.at_s < leaving.to_s
            if not is_its_own or arrival.request_id not in by_id:
                continue
            gateway, got = by_id[arrival.request_id]
            is_bound = _is_in_touch(store, upsets, gateway, got.sent_s)
            if got.sent_s > due_s and is_bound:
                late_s = got.sent_s - due_s + _LEAVE_S
                broken.append(
                    f"{arrival.request_id} reached {leaving.name} "
                    f"{late_s:.2f} s after the store told that it leaves, by "
                    f"gateway {gateway}"
                )
    return broken


def _find_late_keys(
    store: soak_store.SoakStore,
    all_got: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns calls that were served with a key that was to be refused."""
    until_s = store.key_removed_s + gateway_cluster.REVOKE_MS / 1_000.0
    late = [
        (gateway, got)
        for gateway, got in all_got
        if got.call.key == soak_store.REMOVED_KEY and got.sent_s > until_s
    ]
    counts[KEYS_DUE] += len(late)
    return [
        f"{got.call.request_id} was served with a removed key by {gateway}"
        for gateway, got in late
        if got.status == 200
    ]


def _is_in_touch(
    store: soak_store.SoakStore,
    upsets: Sequence[soak_withdrawals.Upset],
    gateway: int,
    at_s: float,
) -> bool:
    """Returns whether a gateway is bound by what the store tells."""
    from_s = at_s - _CONTACT_S
    if any(from_s < each < at_s for each in store.troubled_s):
        return False
    return not any(
        each.gateway == gateway and from_s < each.at_s < at_s for each in upsets
    )
