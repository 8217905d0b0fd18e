"""What peers have running on targets, summed from their digests."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from ruddergate.decisions import length_band
from ruddergate.decisions import losses_found
from ruddergate.decisions import pause_class
from ruddergate.decisions import peer_groups
from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.messages import load_digest

# A peer's digest counts for so long. A VM tells its load once a second; two
# such digests may get lost.
NEWS_MS = 3_500.0
# A peer that was not heard of for so long is forgotten. A data hall that was
# cut off is found again without a seed for as long.
FORGET_MS = 60_000.0
# A peer that was not heard of for so long is no relay of another group: two
# of its digests in a row are missing.
SILENT_MS = 2_200.0
# A relay of the own group that has said nothing for so long after it was
# written to is passed over.
RELAY_TIMEOUT_MS = 2_200.0
# It is tried again after this time, as it may have been cut off.
RELAY_PAUSE_MS = 5_000.0
# A member of the own group that was not heard of for so long is no relay. All
# of them are silent while the relay is, so this is longer than a relay's
# time-out and two rounds.
MEMBER_SILENT_MS = 6_000.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of one peer.

    Attributes:
        place: What its part in the groups depends on.
        heard_ms: When a newer digest of it came, on whichever way.
        incarnation: Its run.
        number: Number of its last digest.
        rows: Its work by target.
        lost: What it last told to be out of reach.
        awaited_since_ms: When it was first written to as relay since it last
            wrote itself; None if nothing is awaited of it.
    """

    place: peer_groups.Place
    heard_ms: float
    incarnation: str
    sequence: int
    rows: dict[str, dispatched.Dispatched]
    lost: loss_report.LossReport = loss_report.EMPTY
    awaited_since_ms: float | None = None


class PeerLoads:
    """Peers by address and their last digests; owned by one task.

    Args:
        own: Where this VM takes datagrams; never counted as a peer.
        place: What this VM's part in the groups depends on.
    """

    def __init__(self, own: str, place: peer_groups.Place) -> None:
        self._own = own
        self._place = place
        self._peers: dict[str, _Peer] = {}
        self._by_target: dict[str, dict[str, dispatched.Dispatched]] = {}
        self._changed: set[str] = set()
        self._lost: list[loss_report.LossReport] = []
        self._groups: tuple[peer_groups.Group, ...] | None = None
        # VMs of this hall by rank, for as long as the same ones are known.
        self._hall: tuple[str, ...] | None = None

    def __len__(self) -> int:
        return len(self._peers)

    def names(self) -> list[str]:
        """Returns all peers."""
        return list(self._peers)

    def is_new_run(self, digest: load_digest.LoadDigest) -> bool:
        """Returns whether a digest is the first of a run of another VM."""
        if digest.sender == self._own:
            return False
        peer = self._peers.get(digest.sender)
        return peer is None or peer.incarnation != digest.incarnation

    def take(self, digest: load_digest.LoadDigest, now_ms: float) -> bool:
        """Takes in a digest; returns whether it was news.

        It is none if it is this VM's own, or if the same or a later one of the
        peer is known.
        """
        if digest.sender == self._own:
            return False
        peer = self._peers.get(digest.sender)
        place = peer_groups.Place(digest.hall, digest.link_mbps)
        if peer is None or peer.place != place:
            self._forget_groups()
        if peer is None:
            peer = _Peer(place, now_ms, "", -1, {})
            self._peers[digest.sender] = peer
        is_same_run = peer.incarnation == digest.incarnation
        if is_same_run and digest.sequence <= peer.sequence:
            return False
        peer.place = place
        peer.heard_ms = now_ms
        peer.incarnation = digest.incarnation
        peer.sequence = digest.sequence
        self._replace_rows(digest.sender, peer, digest.rows)
        self._take_lost(peer, digest.losses)
        return True

    def _take_lost(self, peer: _Peer, told: loss_report.LossReport) -> None:
        if told != peer.lost:
            is_same_hall = peer.place.hall == self._place.hall
            new = losses_found.find_new(told, peer.lost)
            self._lost.append(losses_found.select_for(new, is_same_hall))
            peer.lost = told

    def collect_lost(self) -> loss_report.LossReport:
        """Returns what peers have found out of reach since the last call."""
        if not self._lost:
            return loss_report.EMPTY
        found = losses_found.merge(self._lost)
        self._lost.clear()
        return found

    def note_written_by(self, name: str) -> None:
        """Notes that a peer has itself written to this VM."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.awaited_since_ms = None

    def note_written_to(self, name: str, now_ms: float) -> None:
        """Notes that a peer was written to as relay, and is to write too."""
        peer = self._peers.get(name)
        if peer is None:
            return
        since_ms = peer.awaited_since_ms
        limit_ms = RELAY_TIMEOUT_MS + RELAY_PAUSE_MS
        if since_ms is None or now_ms - since_ms > limit_ms:
            peer.awaited_since_ms = now_ms

    def forget_silent(self, now_ms: float) -> None:
        """Drops old rows, and peers that were not heard of for long."""
        for name, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.heard_ms
            if silent_ms > NEWS_MS and peer.rows:
                self._replace_rows(name, peer, ())
            if silent_ms > FORGET_MS:
                del self._peers[name]
                self._forget_groups()

    def find_relay(self, now_ms: float) -> str:
        """Returns the relay of this VM's own group; it may be this VM."""
        group = peer_groups.find_group(self._find_groups(), self._own)
        if group is None:
            return self._own
        found = peer_groups.choose_relay(
            group, lambda name: self._is_fit(name, now_ms)
        )
        return found or self._own

    def find_members(self) -> list[str]:
        """Returns the others of this VM's own group."""
        group = peer_groups.find_group(self._find_groups(), self._own)
        if group is None:
            return []
        return [name for name in group.members if name != self._own]

    def find_other_relays(
        self, now_ms: float, chance: random.Random
    ) -> list[str]:
        """Returns the relay of each other group.

        Where none of a group was lately heard of, it is any member: the group
        may be cut off, or its relay may have died, and then any other one
        passes digests on as well.
        """
        relays: list[str] = []
        for group in self._find_groups():
            if self._own in group.members:
                continue
            found = peer_groups.choose_relay(
                group,
                lambda name: now_ms - self._peers[name].heard_ms <= SILENT_MS,
            )
            relays.append(found or chance.choice(group.members))
        return relays

    def rank_hall(self, now_ms: float) -> list[str]:
        """Returns the VMs of this hall that were lately heard of, by rank.

        This VM is among them.
        """
        if self._hall is None:
            fleet = self._list_fleet()
            self._hall = peer_groups.rank_hall(fleet, self._place.hall)
        return [
            name
            for name in self._hall
            if name == self._own
            or now_ms - self._peers[name].heard_ms <= MEMBER_SILENT_MS
        ]

    def list_members(self, now_ms: float) -> dict[str, str]:
        """Returns halls of this VM and of peers that were lately heard of."""
        members = {
            name: peer.place.hall
            for name, peer in self._peers.items()
            if now_ms - peer.heard_ms <= MEMBER_SILENT_MS
        }
        members[self._own] = self._place.hall
        return members

    def collect_sums(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns the sums that have changed since the last call.

        A target that peers have no work on any more is told with zeros.
        """
        sums = tuple(
            _add_up(name, self._by_target.get(name, {}).values())
            for name in sorted(self._changed)
        )
        self._changed.clear()
        return sums

    def renew_sums(self) -> None:
        """Has the next `collect_sums` return all targets with work."""
        self._changed.update(self._by_target)

    def _is_fit(self, name: str, now_ms: float) -> bool:
        if name == self._own:
            return True
        peer = self._peers[name]
        if now_ms - peer.heard_ms > MEMBER_SILENT_MS:
            return False
        since_ms = peer.awaited_since_ms
        if since_ms is None:
            return True
        awaited_ms = now_ms - since_ms
        return (
            awaited_ms <= RELAY_TIMEOUT_MS
            or awaited_ms > RELAY_TIMEOUT_MS + RELAY_PAUSE_MS
        )

    def _find_groups(self) -> tuple[peer_groups.Group, ...]:
        if self._groups is None:
            self._groups = peer_groups.divide(self._list_fleet())
        return self._groups

    def _list_fleet(self) -> peer_groups.Fleet:
        fleet = {name: peer.place for name, peer in self._peers.items()}
        fleet[self._own] = self._place
        return fleet

    def _forget_groups(self) -> None:
        self._groups = None
        self._hall = None

    def _replace_rows(
        self,
        name: str,
        peer: _Peer,
        rows: Iterable[dispatched.Dispatched],
    ) -> None:
        new = {row.target_id: row for row in rows}
        for target_id in peer.rows.keys() | new.keys():
            if peer.rows.get(target_id) == new.get(target_id):
                continue
            self._changed.add(target_id)
            by_peer = self._by_target.setdefault(target_id, {})
            if target_id in new:
                by_peer[name] = new[target_id]
                continue
            del by_peer[name]
            if not by_peer:
                del self._by_target[target_id]
        peer.rows = new


def _add_up(
    target_id: str, rows: Iterable[dispatched.Dispatched]
) -> dispatched.Dispatched:
    held = 0
    streams = 0
    prefill_ms = 0.0
    by_pause = [0] * pause_class.CLASSES
    pending = [0] * length_band.BANDS
    for row in rows:
        held += row.held_tokens
        streams += row.streams
        prefill_ms += row.prefill_ms
        _add_to(by_pause, row.streams_by_pause)
        _add_to(pending, row.pending_tokens)
    return dispatched.Dispatched(
        target_id, tuple(pending), held, streams, tuple(by_pause), prefill_ms
    )


def _add_to(totals: list[int], counts: Sequence[int]) -> None:
    """Adds counts; a peer of another release may have more or fewer."""
    for index, count in enumerate(counts[: len(totals)]):
        totals[index] += count
