"""Which incarnations of targets accept no requests from this VM.

A target that drains says so in its entry in the store and in the hints beside
each of its responses, and VMs gossip what these responses say. An entry or a
response that names its incarnation holds for that incarnation for good: an
older entry, a peer that does not know of it yet or a list read after an outage
may still show the target as ready, and does not undo it. Where a hint may be
from another incarnation, or comes from a peer, the target is only suspected of
draining: it gets no requests until it has been probed, see
`decisions/drain_suspects.py`.

A target may also ask this VM alone to back off for some time. A later response
may prolong that time, and nothing shortens it.
"""

from collections.abc import Collection
import dataclasses

from ruddergate.decisions import drain_suspects
from ruddergate.fleet import incarnation as incarnations

# Draining incarnations that are remembered; the oldest are dropped first. This
# is enough for 12,000 replicas, each of which is replaced once by a release.
MAX_DRAINING = 24_000
# Incarnations whose backoff is remembered; a VM has requests on fewer targets.
MAX_BACKOFFS = 4_096
# How long a drain that a response has shown is announced to peers. A hall that
# was cut off for 5 s still receives it twice.
ANNOUNCE_DURATION_MS = 10_000.0
# Drains announced at once, the latest ones; each takes about 30 bytes.
MAX_ANNOUNCED = 16

_NEVER_MS = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class _UnattributedBackoff:
    """A backoff whose hint did not say which incarnation asked for it.

    Attributes:
        until_ms: When it ends.
        hinted_wall_ms: When the hint came, by the wall clock.
    """

    until_ms: float
    hinted_wall_ms: float


class DrainState:
    """Targets that accept no requests from this VM; owned by one process.

    It is consulted where targets are chosen, and again right before sending.

    Attributes:
        suspects: Incarnations that may be draining.
    """

    def __init__(self) -> None:
        self.suspects = drain_suspects.DrainSuspects()
        self._draining: dict[incarnations.Incarnation, None] = {}
        # Drains to announce to peers, with the time of the hint.
        self._announced_since_ms: dict[incarnations.Incarnation, float] = {}
        # Drains that responses have shown and the list has not.
        self._unpublished: dict[incarnations.Incarnation, None] = {}
        self._backoff_until_ms: dict[incarnations.Incarnation, float] = {}
        # By target: backoffs that may be of any incarnation of it.
        self._unattributed_backoffs: dict[str, _UnattributedBackoff] = {}
        # The incarnation under which each target is listed.
        self._listed: dict[str, incarnations.Incarnation] = {}
        # Targets with a drain hint that did not name their incarnation.
        self._unattributed_drains: dict[str, None] = {}

    def note_listed(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes under which incarnation a target is listed.

        Earlier hints that named no incarnation may have come from this one.
        """
        self._listed[incarnation.target_id] = incarnation
        self._suspect_if_hinted(incarnation, now_ms)
        self._apply_unattributed_backoff(incarnation, now_ms)

    def note_unlisted(self, target_id: str) -> None:
        """Notes that a target is off the list."""
        incarnation = self._listed.pop(target_id, None)
        self._unpublished.pop(incarnation, None)
        self.suspects.forget_unlisted(self._listed.values())

    def note_published_drain(
        self, incarnation: incarnations.Incarnation
    ) -> None:
        """Notes that the list shows a target as draining.

        Peers read the list as well, so the drain is not announced any longer.
        """
        self._note_draining(incarnation)
        self._announced_since_ms.pop(incarnation, None)
        self._unpublished.pop(incarnation, None)

    def note_drain_hint(
        self,
        incarnation: incarnations.Incarnation,
        now_ms: float,
        has_incarnation: bool = True,
    ) -> bool:
        """Notes that a response says that its target is draining.

        While the store is away, VMs learn of it in no other way, so it is
        announced to peers, unless it was suspected before: then peers know.

        Args:
            incarnation: The incarnation that the request was sent to, or that
                the response names.
            now_ms: Time.
            has_incarnation: Whether the response names its incarnation.

        Returns:
            Whether this is new.
        """
        was_suspected = incarnation in self.suspects
        is_new = self._note_draining(incarnation)
        if is_new:
            self._unpublished[incarnation] = None
            _drop_oldest(self._unpublished, MAX_DRAINING)
        if is_new and not was_suspected:
            self._announced_since_ms[incarnation] = now_ms
        is_other_suspected = (
            not has_incarnation
            and self._note_unattributed_drain(incarnation, now_ms)
        )
        return is_new or is_other_suspected

    def merge_gossip(
        self,
        gossiped: incarnations.Incarnation,
        peer: str,
        now_ms: float,
        due_ms: float,
    ) -> bool:
        """Suspects a target of draining because a peer says so.

        Args:
            gossiped: The incarnation, as far as the peer knows it.
            peer: The peer.
            now_ms: Time.
            due_ms: When to probe the target, unless the suspicion is confirmed
                or refuted before.

        Returns:
            Whether this is new.
        """
        listed = self._listed.get(gossiped.target_id)
        if listed is None or not _may_be_same(gossiped, listed):
            return False
        if listed in self._draining or self.suspects.is_refuted(
            listed, peer, now_ms
        ):
            return False
        return self.suspects.add(listed, due_ms, peer)

    def note_refuted(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Notes that a probed incarnation is not draining.

        Returns:
            Whether it was suspected until now.
        """
        if not self.suspects.refute(incarnation, now_ms):
            # A response has shown it as draining during the probe.
            return False
        self._unattributed_drains.pop(incarnation.target_id, None)
        return True

    def note_backoff(
        self,
        incarnation: incarnations.Incarnation,
        until_ms: float,
        hinted_wall_ms: float | None = None,
    ) -> bool:
        """Notes that a target asks this VM to back off.

        Args:
            incarnation: The incarnation that the request was sent to, or that
                the response names.
            until_ms: When the backoff ends.
            hinted_wall_ms: When the response came, by the wall clock, if it
                does not name its incarnation.

        Returns:
            Whether the backoff ends later than was known.
        """
        is_longer = self._set_backoff(incarnation, until_ms)
        if hinted_wall_ms is None:
            return is_longer
        target_id = incarnation.target_id
        known = self._unattributed_backoffs.pop(target_id, None)
        until_ms = max(until_ms, known.until_ms if known else 0.0)
        self._unattributed_backoffs[target_id] = _UnattributedBackoff(
            until_ms, hinted_wall_ms
        )
        _drop_oldest(self._unattributed_backoffs, MAX_BACKOFFS)
        listed = self._listed.get(target_id)
        if listed is not None:
            self._apply_unattributed_backoff(listed, 0.0)
        return is_longer

    def _apply_unattributed_backoff(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Applies a backoff that this incarnation may have asked for."""
        unattributed = self._unattributed_backoffs.get(incarnation.target_id)
        if unattributed is None:
            return
        if (
            unattributed.until_ms <= now_ms
            or incarnation.started_ms > unattributed.hinted_wall_ms
        ):
            del self._unattributed_backoffs[incarnation.target_id]
            return
        self._set_backoff(incarnation, unattributed.until_ms)

    def _set_backoff(
        self, incarnation: incarnations.Incarnation, until_ms: float
    ) -> bool:
        if until_ms <= self._backoff_until_ms.get(incarnation, 0.0):
            return False
        self._backoff_until_ms.pop(incarnation, None)
        self._backoff_until_ms[incarnation] = until_ms
        _drop_oldest(self._backoff_until_ms, MAX_BACKOFFS)
        return True

    def note_success(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a target has served a request.

        Ignored during a backoff: a request that was sent before the backoff
        shows nothing about the time after it.
        """
        if self._backoff_until_ms.get(incarnation, _NEVER_MS) <= now_ms:
            del self._backoff_until_ms[incarnation]

    def may_be_draining(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether an incarnation is draining, or suspected of it."""
        return incarnation in self._draining or incarnation in self.suspects

    def find_available_ms(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> float:
        """Returns when a target accepts requests again.

        Returns:
            Infinity if it is or may be draining; a time not after now if it
            accepts requests.
        """
        if self.may_be_draining(incarnation):
            return _NEVER_MS
        return self._backoff_until_ms.get(incarnation, now_ms)

    def accepts_requests(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether a target may be sent requests now."""
        return self.find_available_ms(incarnation, now_ms) <= now_ms

    def has_backoffs(self) -> bool:
        """Returns whether any target is backing off or half-open."""
        return bool(self._backoff_until_ms)

    def forget_expired_backoffs(
        self, listed: Collection[incarnations.Incarnation], now_ms: float
    ) -> None:
        """Drops expired backoffs of incarnations that are not listed."""
        for incarnation, until_ms in list(self._backoff_until_ms.items()):
            if until_ms <= now_ms and incarnation not in listed:
                del self._backoff_until_ms[incarnation]

    def is_half_open(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether a target asked to back off and has not served since.

        It was overloaded; the requests that waited for it must not all be sent
        at the moment in which its backoff ends.
        """
        return incarnation in self._backoff_until_ms

    def count_backing_off(self, now_ms: float) -> int:
        """Returns how many targets are backing off now."""
        return sum(until > now_ms for until in self._backoff_until_ms.values())

    def summarize(self, now_ms: float) -> tuple[str, ...]:
        """Returns the drains to announce to peers now, as formatted names."""
        for incarnation, since_ms in list(self._announced_since_ms.items()):
            if now_ms - since_ms > ANNOUNCE_DURATION_MS:
                del self._announced_since_ms[incarnation]
        latest = list(self._announced_since_ms)[-MAX_ANNOUNCED:]
        return tuple(map(incarnations.format_incarnation, latest))

    def reannounce(self, now_ms: float) -> bool:
        """Announces again the drains of targets that the list shows as ready.

        Returns:
            Whether there are any.
        """
        listed = set(self._listed.values())
        unpublished = [
            incarnation
            for incarnation in self._unpublished
            if incarnation in listed
        ]
        for incarnation in unpublished:
            self._announced_since_ms[incarnation] = now_ms
        return bool(unpublished)

    def _note_draining(self, incarnation: incarnations.Incarnation) -> bool:
        self.suspects.discard(incarnation)
        if incarnation in self._draining:
            return False
        self._draining[incarnation] = None
        _drop_oldest(self._draining, MAX_DRAINING)
        return True

    def _note_unattributed_drain(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Notes a drain hint that may be of another incarnation.

        The target may have restarted since it was listed, or the list does not
        show its start time yet.

        Returns:
            Whether the listed incarnation is newly suspected.
        """
        self._unattributed_drains[incarnation.target_id] = None
        _drop_oldest(self._unattributed_drains, MAX_DRAINING)
        listed = self._listed.get(incarnation.target_id)
        return listed is not None and self._suspect_if_hinted(listed, now_ms)

    def _suspect_if_hinted(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Suspects an incarnation if a drain hint may have come from it."""
        if (
            incarnation in self._draining
            or incarnation.target_id not in self._unattributed_drains
        ):
            return False
        return self.suspects.add(incarnation, now_ms)


def _may_be_same(
    one: incarnations.Incarnation, other: incarnations.Incarnation
) -> bool:
    """Returns whether two incarnations of a target may be the same one."""
    return one == other or incarnations.START_UNKNOWN in (
        one.started_ms,
        other.started_ms,
    )


def _drop_oldest(entries: dict, max_entries: int) -> None:
    if len(entries) > max_entries:
        del entries[next(iter(entries))]
