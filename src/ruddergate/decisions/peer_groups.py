"""Which VMs relay load digests, so that no VM has to send to too many others.

VMs of a hall form groups of bounded size. One VM of a group, its relay,
receives the digests of the others, passes them on to the relays of the other
groups, and passes what those send on to its own group. All VMs compute the
groups in the same way from the VMs that they know. While they know different
ones, digests arrive twice or half a second late.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias
import zlib

# Maximum size of a group. A relay sends to the VMs of its group and to one VM
# of each other group; with 940 VMs, both numbers are about 30.
MAX_GROUP_SIZE = 32
# In a fleet up to this size every VM sends to every other one: a relay would
# save nothing and cost a hop.
MAX_FULL_MESH_VMS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class VmAttributes:
    """What a VM's role in the groups depends on.

    Attributes:
        hall: Its data hall.
        link_mbps: Bandwidth of its link, in megabits a second. A relay sends
            more than other VMs, so VMs with fast links come first.
    """

    hall: str
    link_mbps: int


Fleet: TypeAlias = Mapping[str, VmAttributes]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """VMs that share a relay.

    Attributes:
        hall: Their data hall.
        members: Their names, in the order in which they become relay.
    """

    hall: str
    members: tuple[str, ...]


def divide(fleet: Fleet) -> tuple[Group, ...]:
    """Returns the groups of a fleet."""
    by_hall: dict[str, list[str]] = {}
    for name in sorted(
        fleet, key=lambda name: _make_rank_key(name, fleet[name])
    ):
        by_hall.setdefault(fleet[name].hall, []).append(name)
    groups: list[Group] = []
    for hall in sorted(by_hall):
        groups += _divide_hall(hall, by_hall[hall])
    return tuple(groups)


def rank_hall(fleet: Fleet, hall: str) -> tuple[str, ...]:
    """Returns the VMs of a hall in the order in which they become relay."""
    names = [
        name for name, attributes in fleet.items() if attributes.hall == hall
    ]
    return tuple(
        sorted(names, key=lambda name: _make_rank_key(name, fleet[name]))
    )


def _divide_hall(hall: str, ranked: Sequence[str]) -> list[Group]:
    """Assigns the VMs by rank to groups in turn, so that sizes are even."""
    count = -(-len(ranked) // MAX_GROUP_SIZE)
    return [Group(hall, tuple(ranked[index::count])) for index in range(count)]


def find_group(groups: Sequence[Group], name: str) -> Group | None:
    """Returns the group of a VM, or None."""
    return next((each for each in groups if name in each.members), None)


def choose_relay(
    group: Group, may_be_relay: Callable[[str], bool]
) -> str | None:
    """Returns the first member that may be the relay, or None."""
    return next(filter(may_be_relay, group.members), None)


def _make_rank_key(name: str, attributes: VmAttributes) -> tuple[int, int, str]:
    """Sorts fast links first, and equal ones by a hash of their names."""
    return (-attributes.link_mbps, zlib.crc32(name.encode()), name)
