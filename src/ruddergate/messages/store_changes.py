"""Store changes passed on between gateways, so that fewer read the store."""

import dataclasses

from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets

# Age in a reply of a peer that does not state it, or that has just started and
# knows of none.
AGE_UNKNOWN = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChangesRequest:
    """Asks a peer for what the store has published since a revision.

    Attributes:
        sender: Address at which the requester receives datagrams (HOST:PORT).
        correlation_id: Identifies the request; the reply repeats it.
        revision: The store's revision up to which the requester is current.
        epoch: The store's epoch of that revision; EPOCH_UNKNOWN from a VM of
            an earlier release.
    """

    sender: str
    correlation_id: str
    revision: int
    epoch: int = store_position.EPOCH_UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChangesReply:
    """The reply to a `StoreChangesRequest`.

    Attributes:
        correlation_id: Identifies the request.
        revision: The store's revision up to which the responder is current.
        age_ms: How long before this reply the responder last knew for certain,
            by its own clock, that nothing newer had been published.
        is_complete: Whether this is everything that has changed since the
            requester's revision; if not, the requester fetches the
            responder's whole list of targets or reads the store.
        settings_revision: Revision of the settings in force at the responder.
        listed: Target entries in order, as in `published.Changes`.
        removed: Names of targets that are no longer listed.
        malformed: Names whose entry is not a valid target entry.
        epoch: The store's epoch of `revision`; EPOCH_UNKNOWN from a VM of an
            earlier release.
        answered_age_ms: How long before this reply the store last answered,
            to the responder's knowledge; AGE_UNKNOWN from a VM of an earlier
            release, whose `age_ms` may be that instead.
    """

    correlation_id: str
    revision: int
    age_ms: float
    is_complete: bool
    settings_revision: int = 0
    listed: tuple[targets.Target, ...] = ()
    removed: tuple[str, ...] = ()
    malformed: tuple[str, ...] = ()
    epoch: int = store_position.EPOCH_UNKNOWN
    answered_age_ms: float = AGE_UNKNOWN
