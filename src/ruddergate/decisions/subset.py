"""Which targets one VM handles, so that its work does not grow with the fleet.

Each target is handled by the VMs that rank highest for it by rendezvous
hashing. Their number is chosen so that a VM handles about `SUBSET_TARGETS`
targets of each pool. Every VM handles all targets of a smaller pool.
"""

from collections.abc import Iterable
import math

from ruddergate.decisions import rendezvous
from ruddergate.fleet import listing as listings
from ruddergate.fleet import target as targets

SUBSET_TARGETS = 32
_MIN_VMS_PER_TARGET = 2


def choose_all(
    vm_id: str, listing: listings.Listing
) -> tuple[targets.Target, ...]:
    """Returns the targets of all pools that a VM handles."""
    vm_ids = [vm.vm_id for vm in listing.vms]
    by_pool: dict[str, list[targets.Target]] = {}
    for target in listing.targets:
        by_pool.setdefault(target.pool, []).append(target)
    chosen: list[targets.Target] = []
    for pool in sorted(by_pool):
        chosen += choose_targets(vm_id, vm_ids, by_pool[pool])
    return tuple(chosen)


def choose_targets(
    vm_id: str,
    vm_ids: Iterable[str],
    pool_targets: Iterable[targets.Target],
) -> tuple[targets.Target, ...]:
    """Returns the targets of one pool that a VM handles."""
    pool_targets = tuple(pool_targets)
    if len(pool_targets) <= SUBSET_TARGETS:
        return pool_targets
    names = sorted({*vm_ids, vm_id})
    needed_vms = math.ceil(SUBSET_TARGETS * len(names) / len(pool_targets))
    vms_per_target = max(_MIN_VMS_PER_TARGET, needed_vms)
    return tuple(
        target
        for target in pool_targets
        if vm_id in rendezvous.choose(target.target_id, names, vms_per_target)
    )
