"""Incarnations that are suspected of draining, and when to probe them.

A drain hint does not always name the incarnation that it came from: a response
may not state when its target started, and gossip may be about another start of
it. An incarnation that such a hint may be about is suspected of draining. It
gets no requests and is probed: each response to a probe says whether its target
drains, which confirms or refutes the suspicion.
"""

from collections.abc import Collection
import dataclasses

from ruddergate.fleet import incarnation as incarnations

# Time from a peer's gossip to the first probe. In most cases the list shows the
# drain before, so a draining target is not probed by the whole fleet.
CONFIRM_DELAY_MS = 1_500.0
# Delay until a target that did not answer is probed again. It doubles each
# time, up to the maximum.
PROBE_RETRY_MS = 1_000.0
MAX_PROBE_RETRY_MS = 8_000.0
# After a target has refuted a peer's gossip, the same gossip of that peer is
# ignored for this time: a peer that is wrong may repeat it over and over.
REFUTED_MS = 60_000.0
# Refutations that are remembered; the oldest are dropped first.
MAX_REFUTED = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """Why an incarnation may be draining, and when to probe it.

    Attributes:
        due_ms: When to probe it.
        retry_delay_ms: Delay until the next probe if this one gets no answer.
        peer: The peer that gossiped it; empty for a hint of a target.
    """

    due_ms: float
    retry_delay_ms: float
    peer: str


class DrainSuspects:
    """Incarnations suspected of draining; owned by a `draining.DrainState`."""

    def __init__(self) -> None:
        self._suspicions: dict[incarnations.Incarnation, _Suspicion] = {}
        # By incarnation and peer: until when the peer's gossip is ignored.
        self._refuted_until_ms: dict[
            tuple[incarnations.Incarnation, str], float
        ] = {}

    def __contains__(self, incarnation: incarnations.Incarnation) -> bool:
        return incarnation in self._suspicions

    def __len__(self) -> int:
        return len(self._suspicions)

    def add(
        self,
        incarnation: incarnations.Incarnation,
        due_ms: float,
        peer: str = "",
    ) -> bool:
        """Suspects an incarnation of draining.

        Args:
            incarnation: The incarnation.
            due_ms: When to probe it.
            peer: The peer that gossiped it; empty for a hint of a target.

        Returns:
            Whether it was not suspected before.
        """
        if incarnation in self._suspicions:
            return False
        self._suspicions[incarnation] = _Suspicion(due_ms, PROBE_RETRY_MS, peer)
        return True

    def is_refuted(
        self, incarnation: incarnations.Incarnation, peer: str, now_ms: float
    ) -> bool:
        """Returns whether a peer's gossip was refuted less than REFUTED_MS ago.

        Args:
            incarnation: The incarnation that the gossip is about.
            peer: The peer.
            now_ms: Time.
        """
        return self._refuted_until_ms.get((incarnation, peer), now_ms) > now_ms

    def find_due(self, now_ms: float) -> list[incarnations.Incarnation]:
        """Returns the incarnations to probe now."""
        return [
            incarnation
            for incarnation, suspicion in self._suspicions.items()
            if suspicion.due_ms <= now_ms
        ]

    def find_next_due_ms(self) -> float:
        """Returns when the next probe is due; infinity if there is none."""
        due_ms = (suspicion.due_ms for suspicion in self._suspicions.values())
        return min(due_ms, default=float("inf"))

    def postpone(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Schedules the next probe after one that got no answer."""
        suspicion = self._suspicions.get(incarnation)
        if suspicion is None:
            return
        self._suspicions[incarnation] = dataclasses.replace(
            suspicion,
            due_ms=now_ms + suspicion.retry_delay_ms,
            retry_delay_ms=min(
                MAX_PROBE_RETRY_MS, 2.0 * suspicion.retry_delay_ms
            ),
        )

    def discard(self, incarnation: incarnations.Incarnation) -> bool:
        """Stops suspecting an incarnation; returns whether it was suspected."""
        return self._suspicions.pop(incarnation, None) is not None

    def refute(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Notes that an incarnation is not draining.

        Returns:
            Whether it was suspected.
        """
        suspicion = self._suspicions.pop(incarnation, None)
        if suspicion is None:
            return False
        if suspicion.peer:
            self._refuted_until_ms[incarnation, suspicion.peer] = (
                now_ms + REFUTED_MS
            )
        if len(self._refuted_until_ms) > MAX_REFUTED:
            del self._refuted_until_ms[next(iter(self._refuted_until_ms))]
        return True

    def forget_unlisted(
        self, listed: Collection[incarnations.Incarnation]
    ) -> None:
        """Drops incarnations that are not listed any more."""
        for incarnation in self._suspicions.keys() - set(listed):
            del self._suspicions[incarnation]
