"""The platform's listing of VMs and targets."""

import dataclasses

from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.fleet import vm as vms


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """One published listing.

    Attributes:
        version: Version number; a later listing has a higher one.
        vms: Entry VMs, live and draining.
        targets: Targets, live and draining.
    """

    version: int
    vms: tuple[vms.Vm, ...]
    targets: tuple[targets.Target, ...]


EMPTY = Listing(0, (), ())


def merge(current: Listing, offered: Listing) -> Listing:
    """Returns the newer listing, in which draining is never undone.

    An incarnation that the current listing shows as draining stays draining
    while it is listed under the same address, so an older or reverted listing
    can't put it back into service.
    """
    if offered.version < current.version:
        return current
    draining = {
        (each.incarnation, each.address)
        for each in current.targets
        if each.condition is condition.Condition.DRAINING
    }
    merged = tuple(
        dataclasses.replace(each, condition=condition.Condition.DRAINING)
        if (each.incarnation, each.address) in draining
        else each
        for each in offered.targets
    )
    return dataclasses.replace(offered, targets=merged)
