"""Which VMs pass digests of load on, so that no VM's messages grow too much.

VMs of a hall form groups of bounded size. One VM of a group, its relay, takes
the digests of the others, passes them to the relays of the other groups and
passes on within its group what those send. All VMs work this out alike from
the VMs that they know; where they differ for a moment, digests come twice or
half a second late.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias
import zlib

# A relay sends to so many VMs of its group and to one VM of each other group.
# At 940 VMs both numbers are about 30.
GROUP_MOST = 32
# In a fleet up to this size every VM writes to every other one: a relay would
# save nothing and cost a hop.
DIRECT_MOST = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """What a VM's part in the groups depends on.

    Attributes:
        hall: Its data hall.
        link_mbps: How fast its link is, in megabits a second; a relay sends
            the more the larger its group is.
    """

    hall: str
    link_mbps: int


Fleet: TypeAlias = Mapping[str, Place]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """VMs that share a relay.

    Attributes:
        hall: Their data hall.
        members: Their names, in the order in which they are to be relay.
    """

    hall: str
    members: tuple[str, ...]


def divide(fleet: Fleet) -> tuple[Group, ...]:
    """Returns the groups of a fleet, given its VMs by name."""
    by_hall: dict[str, list[str]] = {}
    for name in sorted(fleet, key=lambda name: _rank_of(name, fleet[name])):
        by_hall.setdefault(fleet[name].hall, []).append(name)
    groups: list[Group] = []
    for hall in sorted(by_hall):
        groups += _divide_hall(hall, by_hall[hall])
    return tuple(groups)


def rank_hall(fleet: Fleet, hall: str) -> tuple[str, ...]:
    """Returns the VMs of a hall in the order in which they are to be relay."""
    names = [name for name, place in fleet.items() if place.hall == hall]
    return tuple(sorted(names, key=lambda name: _rank_of(name, fleet[name])))


def _divide_hall(hall: str, ranked: Sequence[str]) -> list[Group]:
    """Divides by rank in turn, so that groups are of even size."""
    count = -(-len(ranked) // GROUP_MOST)
    return [Group(hall, tuple(ranked[index::count])) for index in range(count)]


def find_group(groups: Sequence[Group], name: str) -> Group | None:
    """Returns the group that a VM is in, if it is known."""
    return next((each for each in groups if name in each.members), None)


def choose_relay(
    group: Group, may_be_relay: Callable[[str], bool]
) -> str | None:
    """Returns the first member that may be relay, or None."""
    return next(filter(may_be_relay, group.members), None)


def _rank_of(name: str, place: Place) -> tuple[int, int, str]:
    """Lets fast links go first, and any of them among equals."""
    return (-place.link_mbps, zlib.crc32(name.encode()), name)
