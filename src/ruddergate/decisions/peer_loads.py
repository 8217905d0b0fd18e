"""The load that peers have on targets, summed from their digests."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from ruddergate.decisions import carriers
from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import loss_reports
from ruddergate.decisions import peer_groups
from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.messages import load_digest

# How long a peer's digest counts. A VM publishes its load once a second, so two
# such digests may get lost.
DIGEST_TTL_MS = 3_500.0
# A peer that was not heard from for this time is forgotten. Up to then, a data
# hall that was cut off is found again without a seed.
FORGET_AFTER_MS = 60_000.0
# A peer that was not heard from for this time is not used as the relay of
# another group: two of its digests in a row are missing.
OTHER_RELAY_SILENT_MS = 2_200.0
# A relay of this VM's own group is skipped if it has sent nothing for this time
# after a digest was sent to it.
RELAY_TIMEOUT_MS = 2_200.0
# It is used again after this further time, as it may only have been cut off.
RELAY_RETRY_MS = 5_000.0
# A member of this VM's own group that was not heard from for this time is not
# used as its relay. All members are silent while the relay is, so this is
# longer than a relay's timeout and two rounds.
MEMBER_SILENT_MS = 6_000.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of one peer.

    Attributes:
        attributes: What its role in the groups depends on.
        received_ms: When a newer digest of it last arrived, directly or by a
            relay.
        incarnation: The run of its process.
        sequence: Sequence number of its last digest.
        rows: Its work by target.
        losses: The losses that it last reported.
        refuted_ends: The refuted ends that it last reported.
        carried: Connections that it carries for peers, as it last reported.
        awaiting_since_ms: When a digest was first sent to it as relay since it
            last sent one itself; None if nothing is awaited from it.
    """

    attributes: peer_groups.VmAttributes
    received_ms: float
    incarnation: str
    sequence: int
    rows: dict[str, dispatched.Dispatched]
    losses: loss_report.LossReport = loss_report.EMPTY
    refuted_ends: tuple[str, ...] = ()
    carried: int = carriers.CARRIES_NONE
    awaiting_since_ms: float | None = None


class PeerLoads:
    """Known peers and their last digests; owned by one task.

    Args:
        own: Address at which this VM receives datagrams; never a peer.
        attributes: What this VM's role in the groups depends on.
    """

    def __init__(self, own: str, attributes: peer_groups.VmAttributes) -> None:
        self._own = own
        self._attributes = attributes
        self._peers: dict[str, _Peer] = {}
        self._by_target: dict[str, dict[str, dispatched.Dispatched]] = {}
        self._changed_targets: set[str] = set()
        self._losses: list[loss_report.LossReport] = []
        # Refuted ends that peers reported since they were last collected.
        self._refuted_ends: dict[str, None] = {}
        self._groups: tuple[peer_groups.Group, ...] | None = None
        # VMs of this hall by rank; None when the known VMs have changed.
        self._ranked_hall: tuple[str, ...] | None = None

    def __len__(self) -> int:
        return len(self._peers)

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def list_peers(self) -> list[str]:
        """Returns the addresses of all known peers."""
        return list(self._peers)

    def is_new_incarnation(self, digest: load_digest.LoadDigest) -> bool:
        """Returns whether a digest is the first of a peer's incarnation."""
        if digest.sender == self._own:
            return False
        peer = self._peers.get(digest.sender)
        return peer is None or peer.incarnation != digest.incarnation

    def merge(self, digest: load_digest.LoadDigest, now_ms: float) -> bool:
        """Merges a digest.

        Returns:
            Whether it is new: not this VM's own, and later than any known one
            of the peer's incarnation.
        """
        if digest.sender == self._own:
            return False
        peer = self._peers.get(digest.sender)
        attributes = peer_groups.VmAttributes(digest.hall, digest.link_mbps)
        if peer is None or peer.attributes != attributes:
            self._forget_groups()
        if peer is None:
            peer = _Peer(attributes, now_ms, "", -1, {})
            self._peers[digest.sender] = peer
        is_same_run = peer.incarnation == digest.incarnation
        if is_same_run and digest.sequence <= peer.sequence:
            return False
        peer.attributes = attributes
        peer.received_ms = now_ms
        peer.incarnation = digest.incarnation
        peer.sequence = digest.sequence
        peer.carried = digest.carried
        self._replace_rows(digest.sender, peer, digest.rows)
        self._merge_losses(peer, digest.losses)
        if digest.refuted_ends != peer.refuted_ends:
            new = set(digest.refuted_ends) - set(peer.refuted_ends)
            self._refuted_ends.update(dict.fromkeys(new))
            peer.refuted_ends = digest.refuted_ends
        return True

    def _merge_losses(
        self, peer: _Peer, reported: loss_report.LossReport
    ) -> None:
        if reported != peer.losses:
            is_same_hall = peer.attributes.hall == self._attributes.hall
            new = loss_reports.find_new(reported, peer.losses)
            self._losses.append(
                loss_reports.select_applicable(new, is_same_hall)
            )
            peer.losses = reported

    def has_new_ends(self) -> bool:
        """Returns whether peers reported or refuted ends since the last call.

        That is the last call of `collect_losses` and `collect_refuted_ends`.
        """
        return bool(self._refuted_ends) or any(
            each.terminated for each in self._losses
        )

    def collect_losses(self) -> loss_report.LossReport:
        """Returns the losses that peers reported since the last call."""
        if not self._losses:
            return loss_report.EMPTY
        merged = loss_reports.merge(self._losses)
        self._losses.clear()
        return merged

    def collect_refuted_ends(self) -> tuple[str, ...]:
        """Returns the refuted ends that peers reported since the last call."""
        if not self._refuted_ends:
            return ()
        collected = tuple(self._refuted_ends)
        self._refuted_ends.clear()
        return collected

    def note_received_from(self, name: str) -> None:
        """Notes that a peer has sent a datagram to this VM itself."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.awaiting_since_ms = None

    def note_sent_to(self, name: str, now_ms: float) -> None:
        """Notes that a digest was sent to a peer as relay, which must reply."""
        peer = self._peers.get(name)
        if peer is None:
            return
        since_ms = peer.awaiting_since_ms
        limit_ms = RELAY_TIMEOUT_MS + RELAY_RETRY_MS
        if since_ms is None or now_ms - since_ms > limit_ms:
            peer.awaiting_since_ms = now_ms

    def forget_silent(self, now_ms: float) -> None:
        """Drops expired rows, and peers that were silent for too long."""
        for name, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.received_ms
            if silent_ms > DIGEST_TTL_MS and peer.rows:
                self._replace_rows(name, peer, ())
            if silent_ms > FORGET_AFTER_MS:
                del self._peers[name]
                self._forget_groups()

    def find_relay(self, now_ms: float) -> str:
        """Returns the relay of this VM's own group, which may be this VM."""
        group = peer_groups.find_group(self._find_groups(), self._own)
        if group is None:
            return self._own
        relay = peer_groups.choose_relay(
            group, lambda name: self._can_relay(name, now_ms)
        )
        return relay or self._own

    def list_group_members(self) -> list[str]:
        """Returns the other members of this VM's own group."""
        group = peer_groups.find_group(self._find_groups(), self._own)
        if group is None:
            return []
        return [name for name in group.members if name != self._own]

    def find_other_relays(self, now_ms: float, rng: random.Random) -> list[str]:
        """Returns the relay of each other group.

        For a group of which no member was heard from for OTHER_RELAY_SILENT_MS
        it is a random member: the group may be cut off, or its relay may have
        died, and any other member passes digests on as well.
        """
        relays: list[str] = []
        for group in self._find_groups():
            if self._own in group.members:
                continue
            relay = peer_groups.choose_relay(
                group,
                lambda name: (
                    now_ms - self._peers[name].received_ms
                    <= OTHER_RELAY_SILENT_MS
                ),
            )
            relays.append(relay or rng.choice(group.members))
        return relays

    def rank_hall(self, now_ms: float) -> list[str]:
        """Returns the VMs of this hall by rank, this VM included.

        Those that were not heard from for MEMBER_SILENT_MS are left out.
        """
        if self._ranked_hall is None:
            fleet = self._list_fleet()
            self._ranked_hall = peer_groups.rank_hall(
                fleet, self._attributes.hall
            )
        return [
            name
            for name in self._ranked_hall
            if name == self._own
            or now_ms - self._peers[name].received_ms <= MEMBER_SILENT_MS
        ]

    def find_member_halls(self, now_ms: float) -> dict[str, str]:
        """Returns the halls of VMs by address, this VM included.

        Those that were not heard from for MEMBER_SILENT_MS are left out.
        """
        members = {
            name: peer.attributes.hall
            for name, peer in self._peers.items()
            if now_ms - peer.received_ms <= MEMBER_SILENT_MS
        }
        members[self._own] = self._attributes.hall
        return members

    def is_carrier(self, name: str) -> bool:
        """Returns whether a peer last reported that it carries connections."""
        peer = self._peers.get(name)
        return peer is not None and peer.carried != carriers.CARRIES_NONE

    def list_carriers(self, now_ms: float) -> list[carriers.Carrier]:
        """Returns the peers that carry connections, as heard of recently."""
        return [
            carriers.Carrier(name, peer.attributes.hall, peer.carried)
            for name, peer in self._peers.items()
            if peer.carried >= 0 and now_ms - peer.received_ms <= DIGEST_TTL_MS
        ]

    def collect_sums(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns the sums that have changed since the last call.

        A target on which peers have no work any more is included with zeros.
        """
        sums = tuple(
            _sum_rows(name, self._by_target.get(name, {}).values())
            for name in sorted(self._changed_targets)
        )
        self._changed_targets.clear()
        return sums

    def mark_all_changed(self) -> None:
        """Makes the next `collect_sums` return all targets with work."""
        self._changed_targets.update(self._by_target)

    def _can_relay(self, name: str, now_ms: float) -> bool:
        if name == self._own:
            return True
        peer = self._peers[name]
        if now_ms - peer.received_ms > MEMBER_SILENT_MS:
            return False
        since_ms = peer.awaiting_since_ms
        if since_ms is None:
            return True
        awaited_ms = now_ms - since_ms
        return (
            awaited_ms <= RELAY_TIMEOUT_MS
            or awaited_ms > RELAY_TIMEOUT_MS + RELAY_RETRY_MS
        )

    def _find_groups(self) -> tuple[peer_groups.Group, ...]:
        if self._groups is None:
            self._groups = peer_groups.divide(self._list_fleet())
        return self._groups

    def _list_fleet(self) -> peer_groups.Fleet:
        fleet = {name: peer.attributes for name, peer in self._peers.items()}
        fleet[self._own] = self._attributes
        return fleet

    def _forget_groups(self) -> None:
        self._groups = None
        self._ranked_hall = None

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
            self._changed_targets.add(target_id)
            by_peer = self._by_target.setdefault(target_id, {})
            if target_id in new:
                by_peer[name] = new[target_id]
                continue
            del by_peer[name]
            if not by_peer:
                del self._by_target[target_id]
        peer.rows = new


def _sum_rows(
    target_id: str, rows: Iterable[dispatched.Dispatched]
) -> dispatched.Dispatched:
    held_tokens = 0
    streams = 0
    prefill_ms = 0.0
    by_gap_class = [0] * gap_class.CLASSES
    pending = [0] * length_band.BANDS
    for row in rows:
        held_tokens += row.held_tokens
        streams += row.streams
        prefill_ms += row.prefill_ms
        _add_counts(by_gap_class, row.streams_by_gap_class)
        _add_counts(pending, row.pending_tokens)
    return dispatched.Dispatched(
        target_id,
        tuple(pending),
        held_tokens,
        streams,
        tuple(by_gap_class),
        prefill_ms,
    )


def _add_counts(totals: list[int], counts: Sequence[int]) -> None:
    """Adds counts; peers of other releases may send more or fewer."""
    for index, count in enumerate(counts[: len(totals)]):
        totals[index] += count
