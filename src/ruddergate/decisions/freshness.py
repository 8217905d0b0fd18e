"""Proofs of freshness that gateways hand on to each other.

A proof is a moment on the holder's own monotonic clock at which nothing newer
was published than what the holder knows. A call of the store proves the moment
at which it began. A peer that is asked at u and answers that its own proof is
a ms old proves u - a, whatever the two clocks show and however late the answer
comes: the age was taken after the question was sent.

Nobody is elected to read the store. All VMs of a hall rank those that they
know alike; the first one reads it, the others ask them, and whoever hears no
proof that is fresh enough reads the store itself.
"""

from collections.abc import Sequence
import math

# VMs of a hall that read the store for the others. Where it is dead or cut off
# from the store, the first of the others that notices reads it, and its proof
# is found by those that ask at random.
READERS_PER_HALL = 1
# Halls with fewer VMs would save little.
MIN_SHARING_VMS = 3
# Parts of the time between two calls of a VM that reads for itself alone: a
# reader's calls are so far apart, and its peers' questions take the rest.
READER_INTERVAL_FACTOR = 0.75
FOLLOWER_INTERVAL_FACTOR = 0.25
# A reader's proof may be so much older than its calls are apart and still count
# as fresh: the store's answer and the peer's take some milliseconds.
FRESHNESS_SLACK_MS = 100.0


def find_current_as_of_ms(asked_ms: float, age_ms: float) -> float | None:
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


def has_shared_readers(ranked: Sequence[str]) -> bool:
    """Returns whether a hall has few VMs read the store for all.

    Args:
        ranked: The VMs known in the hall, in the order in which they are to be
            readers.
    """
    return len(ranked) >= MIN_SHARING_VMS


def is_reader(own: str, ranked: Sequence[str]) -> bool:
    """Returns whether a VM reads the store.

    Args:
        own: Its name.
        ranked: As in `is_shared`, with itself.
    """
    return not has_shared_readers(ranked) or own in ranked[:READERS_PER_HALL]


def is_fresh(age_ms: float, alone_ms: float) -> bool:
    """Returns whether a follower's proof will do until its next question."""
    return age_ms <= alone_ms * READER_INTERVAL_FACTOR + FRESHNESS_SLACK_MS
