"""The platform's list of VMs and targets."""

import dataclasses

from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.fleet import vm as vms


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """One published list.

    Attributes:
        version: Number of the list; a later list has a higher one.
        vms: Entry VMs, live and leaving.
        targets: Targets, live and leaving.
    """

    version: int
    vms: tuple[vms.Vm, ...]
    targets: tuple[targets.Target, ...]


EMPTY = Listing(0, (), ())


def merge(current: Listing, offered: Listing) -> Listing:
    """Returns the newer list, in which leaving is never undone.

    A life of a target that the current list shows as leaving stays so for as
    long as it is listed under the same address: an older or reverted list can't
    bring it back to work.
    """
    if offered.version < current.version:
        return current
    gone = {
        (each.incarnation, each.address)
        for each in current.targets
        if each.condition is condition.Condition.DRAINING
    }
    kept = tuple(
        dataclasses.replace(each, condition=condition.Condition.DRAINING)
        if (each.incarnation, each.address) in gone
        else each
        for each in offered.targets
    )
    return dataclasses.replace(offered, targets=kept)
