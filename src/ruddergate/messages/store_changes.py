"""What one gateway tells another of the store, so that fewer ask the store."""

import dataclasses

from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChangesRequest:
    """Asks a peer what the store has published since a position.

    Attributes:
        sender: Where the asking gateway takes datagrams (HOST:PORT).
        question: Name of this question; the answer repeats it.
        position: The store's revision up to which the asker knows everything.
        epoch: The store's epoch in which that is so; EPOCH_UNKNOWN of an
            earlier release.
    """

    sender: str
    correlation_id: str
    position: int
    epoch: int = store_position.EPOCH_UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChangesReply:
    """The answer to a `NewsWanted`.

    Attributes:
        question: Name of the question.
        position: The store's revision up to which the answerer knows
            everything.
        age_ms: How long before this answer it was certain, by the answerer's
            clock, that nothing newer was published.
        is_whole: Whether this is all that has changed since the asker's
            position; else the asker is to read the store.
        settings_revision: Revision of the settings that the answerer goes by.
        listed: Entries of targets in order, as in `published.Changes`.
        gone: Names of targets that are not listed any more.
        spoilt: Names whose entry is none of a target.
        epoch: The store's epoch that `position` is of; EPOCH_UNKNOWN of an
            earlier release.
    """

    correlation_id: str
    position: int
    age_ms: float
    is_complete: bool
    settings_revision: int = 0
    listed: tuple[targets.Target, ...] = ()
    removed: tuple[str, ...] = ()
    malformed: tuple[str, ...] = ()
    epoch: int = store_position.EPOCH_UNKNOWN
