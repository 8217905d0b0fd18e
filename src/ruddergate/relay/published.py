"""What a platform's store publishes, and how to ask it."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.settings import catalog as catalogs


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedEntry:
    """An entry of a target that is none: it names no target to be used.

    Attributes:
        target_id: The name under which it stands.
        detail: What is wrong, a sentence for logs.
    """

    target_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What the store holds, or what has changed in it.

    Attributes:
        position: The store's position up to which this is told.
        catalog: The newest settings, or None if they are not in this.
        targets: Every entry of a target in order, also those that others of
            the same target have replaced since.
        gone: Names of targets that are not listed any more.
        problems: What could not be read of the settings, a sentence each.
        document: The settings as published; empty if they are not in this.
        spoilt: Entries that stand where targets' do and are none.
    """

    position: store_position.StorePosition
    catalog: catalogs.Catalog | None
    targets: tuple[targets.Target, ...]
    removed: tuple[str, ...]
    problems: tuple[str, ...]
    document: bytes = b""
    malformed: tuple[MalformedEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store can't tell the changes since then; all must be read anew.

    Attributes:
        epoch: The store's epoch, as in `store_position.StorePosition`.
    """

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer, or not with sense; `detail` is for logs."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Calls of a store.

    Attributes:
        read_all: Returns everything that is published.
        read_changes: Returns the changes behind a revision, waiting for at
            most so many milliseconds when there are none.
        read_settings: Reads settings as published, or says what is wrong.
    """

    read_all: Callable[[], Awaitable[Changes | Unavailable]]
    read_changes: Callable[
        [int, float], Awaitable[Changes | HistoryLost | Unavailable]
    ]
    read_settings: Callable[[bytes], catalogs.Catalog | str]
