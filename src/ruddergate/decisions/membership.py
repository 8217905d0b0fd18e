"""Which VMs of a hall are alive: soft state from list, gossip and contact."""

from collections.abc import Iterable
import dataclasses
import random

from ruddergate.fleet import listing as listings
from ruddergate.messages import gossip

SUSPECT_AFTER_MS = 5_000.0
FORGET_AFTER_MS = 60_000.0
ROWS_PER_DIGEST = 12


@dataclasses.dataclass(slots=True)
class Member:
    """What is known of another VM.

    Attributes:
        row: Its latest row.
        heartbeat_ms: Monotonic time at which its heartbeat last rose, derived
            from the row's age.
    """

    row: gossip.MemberRow
    heartbeat_ms: float


class Members:
    """Known VMs of one agent's hall; owned by its gossip task.

    VMs of other halls are not kept: nothing here needs them, and a digest of
    fixed size could not spread the heartbeats of a whole fleet in time.
    """

    def __init__(self, own_id: str, hall: str) -> None:
        self._own_id = own_id
        self._hall = hall
        self._members: dict[str, Member] = {}

    def merge(self, rows: Iterable[gossip.MemberRow], now_ms: float) -> None:
        """Merges rows; only a later incarnation or heartbeat is new."""
        for row in rows:
            if row.vm_id == self._own_id or row.hall != self._hall:
                continue
            known = self._members.get(row.vm_id)
            if known is None or _is_newer(known.row, row):
                # The row's age is subtracted, so that an old heartbeat that was
                # delayed does not make a dead VM look alive.
                self._members[row.vm_id] = Member(row, now_ms - row.age_ms)

    def list_known(self) -> set[str]:
        """Returns all VMs that are not forgotten, including this one."""
        return set(self._members) | {self._own_id}

    def find(self, vm_id: str) -> Member | None:
        """Returns what is known of a VM."""
        return self._members.get(vm_id)

    def is_suspect(self, vm_id: str, now_ms: float) -> bool:
        """Returns whether a VM is unknown or silent for SUSPECT_AFTER_MS."""
        member = self._members.get(vm_id)
        return member is None or now_ms - member.heartbeat_ms > SUSPECT_AFTER_MS

    def forget_unlisted(self, listing: listings.Listing, now_ms: float) -> None:
        """Drops VMs that are off the list and silent for FORGET_AFTER_MS."""
        listed = {vm.vm_id for vm in listing.vms}
        for vm_id, member in list(self._members.items()):
            silent_ms = now_ms - member.heartbeat_ms
            if vm_id not in listed and silent_ms > FORGET_AFTER_MS:
                del self._members[vm_id]

    def pick_rows(
        self, own: gossip.MemberRow, now_ms: float, rng: random.Random
    ) -> tuple[gossip.MemberRow, ...]:
        """Returns the rows of a digest, at most ROWS_PER_DIGEST.

        They are the VM's own one, the newest ones and, for the rest, a random
        choice of the others that are not suspect.

        Args:
            own: The VM's own row.
            now_ms: Time.
            rng: Source of the random choice.
        """
        fresh = [
            member
            for member in self._members.values()
            if now_ms - member.heartbeat_ms <= SUSPECT_AFTER_MS
        ]
        fresh.sort(key=lambda member: -member.heartbeat_ms)
        half = (ROWS_PER_DIGEST - 1) // 2
        newest = fresh[:half]
        rest = fresh[half:]
        others = rng.sample(rest, min(len(rest), ROWS_PER_DIGEST - 1 - half))
        aged = (
            dataclasses.replace(member.row, age_ms=now_ms - member.heartbeat_ms)
            for member in newest + others
        )
        return (own, *aged)


def _is_newer(known: gossip.MemberRow, row: gossip.MemberRow) -> bool:
    """Returns whether a row is newer, by its incarnation, then its heartbeat.

    A VM that receives a row of itself with a later incarnation raises its own
    above it, so a restarted VM is always newer.
    """
    offered = (row.incarnation, row.heartbeat)
    return offered > (known.incarnation, known.heartbeat)


def find_live(
    listing: listings.Listing,
    hall: str,
    own_id: str,
    members: Members,
    now_ms: float,
) -> list[str]:
    """Returns the listed VMs of a hall that are not suspect, and this one."""
    return [
        vm.vm_id
        for vm in listing.vms
        if vm.hall == hall
        and (vm.vm_id == own_id or not members.is_suspect(vm.vm_id, now_ms))
    ]
