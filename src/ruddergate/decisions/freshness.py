"""Freshness of what the store published, which gateways pass on to each other.

A VM's knowledge is current as of a moment on its own monotonic clock: at that
moment nothing newer was published than what it knows. After a call of the
store, that is the moment at which the call began. After a request to a peer, it
is `u - a`: `u` is when the request was sent, and `a` is the age of the peer's
knowledge according to its reply. This holds whatever the two clocks say and
however late the reply comes, because the age was taken after the request was
sent.

Nobody is elected to read the store. All VMs of a hall rank the VMs that they
know in the same way; the first one reads the store and the others ask the
readers. A VM whose knowledge is not fresh enough after that reads the store
itself.
"""

from collections.abc import Sequence
import math

# VMs of a hall that read the store for the others. If the reader is dead or cut
# off from the store, the first of the others that notices reads the store, and
# those that ask a random peer find its result.
READERS_PER_HALL = 1
# Fewer VMs in a hall would save little by sharing.
MIN_SHARING_VMS = 3
# Intervals as fractions of the time between two store calls of a VM that reads
# for itself alone: the store calls of a reader, and the requests of a follower
# to its peers. An age at a reader and one interval of a follower add up to it.
READER_INTERVAL_FACTOR = 0.75
FOLLOWER_INTERVAL_FACTOR = 0.25
# Knowledge that is older than a reader's interval by up to this still counts as
# fresh: the replies of the store and of the peer take some milliseconds.
FRESHNESS_SLACK_MS = 100.0


def find_current_as_of_ms(requested_ms: float, age_ms: float) -> float | None:
    """Returns the moment as of which a peer's reply is current.

    Args:
        requested_ms: When the request was sent, on this VM's clock.
        age_ms: Age of the peer's knowledge when it replied.

    Returns:
        The moment, or None if the age is invalid.
    """
    if not math.isfinite(age_ms) or age_ms < 0.0:
        return None
    return requested_ms - age_ms


def has_shared_readers(ranked: Sequence[str]) -> bool:
    """Returns whether a few VMs of a hall read the store for all of them.

    Args:
        ranked: The known VMs of the hall, in the order in which they become
            readers.
    """
    return len(ranked) >= MIN_SHARING_VMS


def is_reader(own: str, ranked: Sequence[str]) -> bool:
    """Returns whether a VM reads the store.

    Args:
        own: Its name.
        ranked: As in `has_shared_readers`, including itself.
    """
    return not has_shared_readers(ranked) or own in ranked[:READERS_PER_HALL]


def is_fresh(age_ms: float, sole_interval_ms: float) -> bool:
    """Returns whether a follower's knowledge is fresh until its next request.

    Args:
        age_ms: Age of its knowledge.
        sole_interval_ms: Time between two store calls of a VM that reads for
            itself alone.
    """
    return (
        age_ms <= sole_interval_ms * READER_INTERVAL_FACTOR + FRESHNESS_SLACK_MS
    )
