"""At-most-once execution of requests with an idempotency key or a ticket.

One VM, the key's home, decides whether a key may run. It does so only if no
other VM can have decided about the key: it must have been the home, under an
unchanged VM list, for longer than the key has existed plus a margin for the
list's propagation delay. Whenever that is uncertain, the request is refused.
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
MAX_KEPT_BYTES = 16_000_000

T = TypeVar("T")


class KeyVerdict(enum.Enum):
    """Whether this VM may run a key that its ledger does not hold."""

    MAY_RUN = "may_run"
    LIST_TOO_OLD = "list_too_old"
    HOME_TOO_NEW = "home_too_new"
    NOT_THE_HOME = "not_the_home"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that the at-most-once guarantee rests on.

    Attributes:
        list_age_max_ms: Greatest age of the list with which a home may decide.
        margin_ms: Longest time from the first VM that learns of a new list to
            the last one.
    """

    list_age_max_ms: float = 10_000.0
    margin_ms: float = 3_000.0


def find_home(key: str, listing: listings.Listing) -> str | None:
    """Returns the VM that decides about a key, or None without VMs.

    Draining VMs count until they are off the list, so that a planned stop moves
    a key only once, when its old home has ended.
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
        key: Workspace and idempotency key, joined.
        key_age_ms: How long ago the caller first used the key.
        vm_id: This VM.
        listing: The list as this VM knows it.
        list_age_ms: Time since the platform last confirmed the list.
        settled_ms: Time for which this process has known the same VMs.
        bounds: Time bounds that the guarantee rests on.
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
        recording: Recording of the run, from which resends are answered; None
            once it was dropped to save memory.
        may_have_run: Whether the request may have been dispatched.
        size_bytes: Size of the kept recording.
    """

    recording: T | None
    may_have_run: bool = False
    size_bytes: int = 0


class Ledger(Generic[T]):
    """Keys that this process has decided about.

    Entries outlive recordings: a key whose recording was dropped is still
    refused. When entries are evicted as well, the ledger is complete only for
    keys that were opened after `complete_since_ms`.
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
        """Removes a key that certainly did not run; it may be used again."""
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
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop_recording(self._kept_keys.popleft())

    def _drop_recording(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None:
            self._kept_bytes -= entry.size_bytes
            entry.size_bytes = 0
            entry.recording = None
