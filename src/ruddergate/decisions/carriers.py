"""Which peer carries a connection to a target that this VM can't reach."""

from collections.abc import Sequence
import dataclasses
import random

# What a peer reports that carries no connections: it is of an earlier release,
# stops, or has lost its own links.
CARRIES_NONE = -1
# Connections that a VM carries for peers at once. This bounds the memory of
# their buffers, as its own callers go first.
MAX_CARRIED = 192
# A peer in this VM's hall or the target's saves a hop between halls. It is
# chosen unless it carries this many more connections than another one.
_LOCAL_MARGIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Carrier:
    """A peer that may carry connections.

    Attributes:
        name: Its address.
        hall: Its data hall.
        carried: Connections that it carries now.
    """

    name: str
    hall: str
    carried: int


def choose(
    carriers: Sequence[Carrier], halls: frozenset[str], rng: random.Random
) -> Carrier | None:
    """Returns the better of two random carriers, one of them in some halls.

    Two random choices spread connections almost as evenly as a comparison of
    all peers, whose reported loads all VMs would act on at once.
    """
    if not carriers:
        return None
    other = rng.choice(carriers)
    local = [each for each in carriers if each.hall in halls]
    if not local:
        second = rng.choice(carriers)
        return min(other, second, key=lambda each: each.carried)
    near = rng.choice(local)
    is_loaded = near.carried > other.carried + _LOCAL_MARGIN
    return other if is_loaded else near
