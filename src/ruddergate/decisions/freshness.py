"""Freshness of what the store published, which gateways pass on to each other.

A VM's knowledge is current as of a moment on its own monotonic clock: at that
moment nothing newer was published than what it knows. A response of the store
with changes does not show this, as it may hold only the first of them. A VM
therefore asks for the store's high watermark first: once it has reached that
position, it is current as of the beginning of that call. After a request to a
peer, it is current as of `u - a`: `u` is when the request was sent, and `a` is
the age of the peer's knowledge according to its reply. This holds whatever the
two clocks say and however late the reply comes, because the age was taken after
the request was sent.

Nobody is elected to read the store. All VMs of a hall rank the VMs that they
know in the same way; the first one reads the store and the others ask the
readers. A VM whose knowledge is not fresh enough after that reads the store
itself.
"""

from collections.abc import Sequence
import dataclasses
import math

from ruddergate.fleet import store_position

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


@dataclasses.dataclass(frozen=True, slots=True)
class HighWatermark:
    """The position of the store's last change at some time.

    Attributes:
        position: The position.
        as_of_ms: The store was at that position at this time or later; this
            VM's clock.
    """

    position: store_position.StorePosition
    as_of_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class AsOf:
    """Times of what a VM knows of the store, on its own clock.

    Attributes:
        answered_ms: The store is known to have answered at this time.
        current_ms: Nothing newer than what this VM knows had been published at
            this time; -inf if that was never shown.
    """

    answered_ms: float
    current_ms: float

    def merge(self, other: "AsOf") -> "AsOf":
        """Returns the later of both times each."""
        return AsOf(
            max(self.answered_ms, other.answered_ms),
            max(self.current_ms, other.current_ms),
        )


def find_proven_ms(
    known: store_position.StorePosition, watermark: HighWatermark
) -> float:
    """Returns as of when a VM is current that has read up to a position.

    Args:
        known: The position.
        watermark: Where the store was in the meantime.

    Returns:
        The time, or -inf if the VM has not reached the watermark.
    """
    is_reached = (
        known.epoch == watermark.position.epoch and known >= watermark.position
    )
    return watermark.as_of_ms if is_reached else -math.inf


def should_read_all(
    missing: int, covered: int, responses: int, list_responses: int
) -> bool:
    """Returns whether to read everything instead of further changes.

    A storm of changes to one large item makes the changes much larger than the
    list of all items.

    Args:
        missing: Revisions between the position reached and the watermark.
        covered: Revisions that the last response with changes covered.
        responses: Responses with changes so far.
        list_responses: Responses that the last read of everything took.
    """
    return responses > list_responses or missing > covered * list_responses


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


def find_as_of(
    requested_ms: float, age_ms: float, answered_age_ms: float
) -> AsOf | None:
    """Returns the times of what a peer's reply shows.

    Args:
        requested_ms: When the request was sent, on this VM's clock.
        age_ms: Age of the peer's knowledge when it replied.
        answered_age_ms: Time since the store had answered, then.

    Returns:
        The times, or None if an age is invalid or was not stated.
    """
    current_ms = find_current_as_of_ms(requested_ms, age_ms)
    answered_ms = find_current_as_of_ms(requested_ms, answered_age_ms)
    if current_ms is None or answered_ms is None:
        return None
    return AsOf(answered_ms, current_ms)


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
