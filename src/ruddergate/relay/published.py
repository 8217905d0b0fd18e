"""What a platform's store publishes, and how to read it."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.settings import catalog as catalogs


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedEntry:
    """A target entry that is invalid and does not describe a usable target.

    Attributes:
        target_id: The name under which it is stored.
        detail: What is wrong, as a sentence for logs.
    """

    target_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Contents of the store, or changes to them.

    Attributes:
        position: The store's position up to which this is current.
        catalog: The newest settings, or None if not included.
        targets: Every target entry in order, including entries that a later one
            of the same target has replaced.
        removed: Names of targets that are no longer listed.
        problems: Errors in the settings, one sentence each.
        document: The settings as published; empty if not included.
        malformed: Invalid entries among those of targets.
        responses: Number of responses of the store that this took.
    """

    position: store_position.StorePosition
    catalog: catalogs.Catalog | None
    targets: tuple[targets.Target, ...]
    removed: tuple[str, ...]
    problems: tuple[str, ...]
    document: bytes = b""
    malformed: tuple[MalformedEntry, ...] = ()
    responses: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has these changes; everything must be read again.

    Attributes:
        epoch: The store's epoch, as in `store_position.StorePosition`.
    """

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store sent no valid response; `detail` is for logs."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Operations of a store.

    Attributes:
        read_all: Returns everything that is published.
        read_changes: Returns the changes after a revision, or the first of
            them.
        read_position: Returns the position of the last change.
        read_settings: Parses published settings, or returns what is wrong.
        count_hedged: Returns how often a second call was made beside one that
            was not answered.
    """

    read_all: Callable[[], Awaitable[Changes | Unavailable]]
    read_changes: Callable[
        [int], Awaitable[Changes | HistoryLost | Unavailable]
    ]
    read_position: Callable[
        [], Awaitable[store_position.StorePosition | Unavailable]
    ]
    read_settings: Callable[[bytes], catalogs.Catalog | str]
    count_hedged: Callable[[], int] = lambda: 0
