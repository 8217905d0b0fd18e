"""What peers have running on targets, summed from their digests."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from ruddergate.fleet import dispatched
from ruddergate.messages import load_digest

# A digest that tells a change goes to at most so many peers; beyond that the
# cost of a VM does not grow with the fleet.
FAN_OUT = 80
# A digest that tells nothing new keeps peers known to each other; a few a round
# are enough for that.
FAN_OUT_IDLE = 12
# Peers named in a digest, enough for a new VM to find all within a few rounds.
NAMED_MAX = 8
# A peer's digest counts for so long. A VM with work says so at least once a
# second; two such digests may get lost.
NEWS_MS = 3_000.0
# A peer that was not heard for so long is forgotten.
FORGET_MS = 5_000.0


@dataclasses.dataclass(slots=True)
class _Peer:
    heard_ms: float
    incarnation: str = ""
    number: int = -1
    is_heard: bool = False
    rows: tuple[dispatched.Dispatched, ...] = ()


class PeerLoads:
    """Peers by address and their last digests; owned by one task.

    Args:
        own: Where this VM takes datagrams; never counted as a peer.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._peers: dict[str, _Peer] = {}
        self._summed: set[str] = set()

    def __len__(self) -> int:
        return len(self._peers)

    def take(self, digest: load_digest.LoadDigest, now_ms: float) -> bool:
        """Takes in a digest, unless a later one of the peer is known.

        Returns whether it changes the sums.
        """
        if digest.sender == self._own:
            return False
        peer = self._peers.setdefault(digest.sender, _Peer(now_ms))
        if peer.incarnation == digest.incarnation and (
            digest.number <= peer.number
        ):
            return False
        peer.heard_ms = now_ms
        peer.is_heard = True
        peer.incarnation = digest.incarnation
        peer.number = digest.number
        is_change = peer.rows != digest.rows
        peer.rows = digest.rows
        for name in digest.peers[:NAMED_MAX]:
            if name != self._own:
                self._peers.setdefault(name, _Peer(now_ms))
        return is_change

    def forget_silent(self, now_ms: float) -> None:
        """Forgets peers that were not heard for long."""
        for name, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms > FORGET_MS:
                del self._peers[name]

    def choose_receivers(self, most: int, chance: random.Random) -> list[str]:
        """Returns at most so many peers, any of them."""
        names = list(self._peers)
        if len(names) <= most:
            return names
        return chance.sample(names, most)

    def name_some(self, now_ms: float, chance: random.Random) -> list[str]:
        """Returns some peers that were lately heard from directly."""
        names = [
            name
            for name, peer in self._peers.items()
            if peer.is_heard and now_ms - peer.heard_ms <= NEWS_MS
        ]
        return chance.sample(names, min(len(names), NAMED_MAX))

    def sum_up(self, now_ms: float) -> tuple[dispatched.Dispatched, ...]:
        """Returns the peers' work by target, scaled up to all known peers.

        A target that peers had work on the last time but have none on now is
        told with zeros.
        """
        heard = [peer for peer in self._peers.values() if peer.is_heard]
        fresh = [p for p in heard if now_ms - p.heard_ms <= NEWS_MS]
        by_target: dict[str, list[dispatched.Dispatched]] = {}
        for peer in fresh:
            for row in peer.rows:
                by_target.setdefault(row.target_id, []).append(row)
        scale = 1.0
        if len(self._peers) > FAN_OUT and fresh:
            scale = len(heard) / len(fresh)
        ended = self._summed - by_target.keys()
        self._summed = set(by_target)
        return (
            *(_add_up(name, rows, scale) for name, rows in by_target.items()),
            *(dispatched.Dispatched(name, (), 0, 0) for name in ended),
        )


def _add_up(
    target_id: str,
    rows: Iterable[dispatched.Dispatched],
    scale: float,
) -> dispatched.Dispatched:
    held = 0
    streams = 0
    by_pause: collections.Counter[int] = collections.Counter()
    prefill_ms = 0.0
    totals: dict[int, int] = {}
    for row in rows:
        held += row.held_tokens
        streams += row.streams
        by_pause.update(dict(enumerate(row.streams_by_pause)))
        prefill_ms += row.prefill_ms
        for band, tokens in enumerate(row.pending_tokens):
            totals[band] = totals.get(band, 0) + tokens
    return dispatched.Dispatched(
        target_id,
        tuple(round(totals[band] * scale) for band in sorted(totals)),
        round(held * scale),
        round(streams * scale),
        tuple(round(by_pause[each] * scale) for each in sorted(by_pause)),
        prefill_ms * scale,
    )
