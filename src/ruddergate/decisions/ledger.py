"""At most once for requests that carry a key or a ticket.

The VM that decides about a key is its home. A home answers for a key only if
no other VM can have decided about it: it must have been the home, with an
unchanged list, for longer than the key exists and for a margin that covers the
list's lag. In any doubt the answer is a refusal.
"""

import collections
import dataclasses
import enum
from typing import Generic
from typing import TypeVar

from ruddergate.decisions import rendezvous
from ruddergate.fleet import listing as listings

MAX_ENTRIES = 200_000
MAX_RECORDING_BYTES = 65_536
MAX_RECORDINGS_BYTES = 16_000_000

T = TypeVar("T")


class KeyVerdict(enum.Enum):
    """What a home may do with a key that it has not seen."""

    MAY_RUN = "may_run"
    LIST_TOO_OLD = "list_too_old"
    HOME_TOO_NEW = "home_too_new"
    NOT_THE_HOME = "not_the_home"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the promise of keys rests on.

    Attributes:
        list_age_max_ms: Oldest list by which a home may decide.
        margin_ms: Greatest time by which VMs may learn of a new list at
            different times.
    """

    list_age_max_ms: float = 10_000.0
    margin_ms: float = 3_000.0


def find_home(key: str, listing: listings.Listing) -> str | None:
    """Returns the VM that decides about a key, or None without VMs.

    Leaving VMs count until they are off the list, so that a planned stop
    moves a key once, when its old home has ended.
    """
    names = [vm.vm_id for vm in listing.vms]
    chosen = rendezvous.choose(key, names, 1)
    return chosen[0] if chosen else None


def judge_key(
    key: str,
    key_age_ms: float,
    vm_id: str,
    listing: listings.Listing,
    list_age_ms: float,
    settled_ms: float,
    bounds: Bounds,
) -> KeyVerdict:
    """Returns whether this VM may run a key that its ledger does not hold.

    Args:
        key: Workspace and key, joined.
        key_age_ms: How long ago the caller first used the key.
        vm_id: This VM.
        listing: The list as this VM knows it.
        list_age_ms: Time since the platform last confirmed it.
        settled_ms: Time for which this process has known the same VMs.
        bounds: Times that the promise rests on.
    """
    if find_home(key, listing) != vm_id:
        return KeyVerdict.NOT_THE_HOME
    if list_age_ms > bounds.list_age_max_ms:
        return KeyVerdict.LIST_TOO_OLD
    if settled_ms < key_age_ms + bounds.margin_ms:
        return KeyVerdict.HOME_TOO_NEW
    return KeyVerdict.MAY_RUN


@dataclasses.dataclass(slots=True)
class Entry(Generic[T]):
    """What a home knows of a key.

    Attributes:
        recording: The run, from which resends are answered; None once it
            was dropped to save memory.
        may_have_run: Whether a dispatch may have been made.
        size_bytes: Memory that the kept recording takes up.
    """

    recording: T | None
    may_have_run: bool = False
    size_bytes: int = 0


class Ledger(Generic[T]):
    """Keys that this process has decided about.

    Entries outlive recordings: a key whose recording was dropped is still
    refused. When even the entries overflow, `whole_since_ms` tells since when
    the ledger is whole.
    """

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, Entry[T]] = (
            collections.OrderedDict()
        )
        self._started_ms: dict[str, float] = {}
        self._kept_keys: collections.deque[str] = collections.deque()
        self._kept_bytes = 0
        self.complete_since_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str) -> Entry[T] | None:
        """Returns the entry of a key, if there is one."""
        return self._entries.get(key)

    def open(self, key: str, recording: T, now_ms: float) -> Entry[T]:
        """Adds an entry for a key that is about to run."""
        entry = self._entries[key] = Entry(recording)
        self._started_ms[key] = now_ms
        while len(self._entries) > MAX_ENTRIES:
            oldest, dropped = self._entries.popitem(last=False)
            self._kept_bytes -= dropped.size_bytes
            self.complete_since_ms = self._started_ms.pop(oldest)
        return entry

    def remove(self, key: str) -> None:
        """Drops a key that certainly did not run; it may be used again."""
        self._entries.pop(key, None)
        self._started_ms.pop(key, None)

    def keep_recording(self, key: str, size_bytes: int) -> None:
        """Keeps the recording of an ended run, if it is small enough."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if size_bytes > MAX_RECORDING_BYTES:
            entry.recording = None
            return
        entry.size_bytes = size_bytes
        self._kept_keys.append(key)
        self._kept_bytes += size_bytes
        while self._kept_bytes > MAX_RECORDINGS_BYTES:
            self._drop_recording(self._kept_keys.popleft())

    def _drop_recording(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None:
            self._kept_bytes -= entry.size_bytes
            entry.size_bytes = 0
            entry.recording = None
