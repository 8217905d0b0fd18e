"""Proofs of freshness that gateways hand on to each other.

A proof is a moment on the holder's own monotonic clock at which nothing newer
was published than what the holder knows. A call of the store proves the moment
at which it began. A peer that is asked at u and answers that its own proof is
a ms old proves u - a, whatever the two clocks show and however late the answer
comes: the age was taken after the question was sent.

Nobody is elected to read the store. All VMs of a hall rank those that they
know alike; the first few read it, the others ask them, and whoever hears no
proof that is fresh enough reads the store itself.
"""

from collections.abc import Sequence
import math

# VMs of a hall that read the store. One may be dead or cut off from the store;
# where both are, the others read it themselves.
READERS = 2
# Part of the time between two calls of the store by a VM that reads for itself
# alone; a reader's calls and its peers' questions share it.
SHARED_PART = 0.5
# A proof this much older than a reader's pace is still fresh: answers of the
# store and of peers take their time.
FRESH_PART = 1.2


def find_proven_ms(asked_ms: float, age_ms: float) -> float | None:
    """Returns the moment that a peer's answer proves.

    Args:
        asked_ms: When the question was sent, on this VM's clock.
        age_ms: Age of the peer's proof as it answered.

    Returns:
        The moment, or None if the age can't be true.
    """
    if not math.isfinite(age_ms) or age_ms < 0.0:
        return None
    return asked_ms - age_ms


def is_shared(ranked: Sequence[str]) -> bool:
    """Returns whether a hall has few VMs read the store for all.

    Readers call more often than VMs that read for themselves alone, so that a
    small hall would have no less calls by it.

    Args:
        ranked: The VMs known in the hall, in the order in which they are to be
            readers.
    """
    return len(ranked) * SHARED_PART > READERS


def is_reader(own: str, ranked: Sequence[str]) -> bool:
    """Returns whether a VM reads the store.

    Args:
        own: Its name.
        ranked: As in `is_shared`, with itself.
    """
    return not is_shared(ranked) or own in ranked[:READERS]
