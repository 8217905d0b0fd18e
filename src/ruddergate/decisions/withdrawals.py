"""Lives of targets that take no calls: for good, or of this VM for a while.

A target that leaves says so in the store's list and in each of its answers,
and peers pass on what they heard. The list and the answers hold for that life
and are never taken back: an older entry, a peer that has not heard of it or a
list after an outage may still say otherwise. Where the word for it may be of
another life, or is a peer's, the target takes no calls until it has been asked
itself (`decisions/doubts.py`). A time for which a target wants no calls is
said to one VM only; a later answer may prolong it, and nothing shortens it.
"""

from collections.abc import Collection
import dataclasses

from ruddergate.decisions import doubts
from ruddergate.fleet import incarnation as incarnations

# Lives that are remembered to have left, the oldest are forgotten first: before
# 12,000 replicas each of them, and all of them again after a release.
LEFT_MOST = 24_000
# Lives that are remembered to want no calls; a VM has calls on fewer targets.
QUIET_MOST = 4_096
# A leaving that was heard in an answer is told to peers for so long: a hall
# that was cut off for 5 s still hears of it twice.
TOLD_MS = 10_000.0
# Leavings told at once, the latest; a word takes about 30 bytes.
TOLD_MOST = 16

_NEVER_MS = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class _UndatedBackoff:
    """A time without calls, asked for by a target that told no start.

    Attributes:
        until_ms: When it ends.
        said_wall_ms: When it was asked for, by the wall clock.
    """

    until_ms: float
    said_wall_ms: float


class Withdrawals:
    """What this VM knows of targets that take no calls; owned by one process.

    It is asked where targets are chosen and again in the step that sends.
    """

    def __init__(self) -> None:
        self.doubts = doubts.Doubts()
        self._left: dict[incarnations.Incarnation, None] = {}
        # When leavings were heard that peers are to be told.
        self._heard_ms: dict[incarnations.Incarnation, float] = {}
        # Lives that told this VM themselves, while the list has not.
        self._answered: dict[incarnations.Incarnation, None] = {}
        self._quiet_until_ms: dict[incarnations.Incarnation, float] = {}
        # By target: which start of it asked for that is not certain.
        self._undated_backoff: dict[str, _UndatedBackoff] = {}
        # The life under which each target is listed.
        self._listed: dict[str, incarnations.Incarnation] = {}
        # Targets that said that they leave, but not which life of theirs does.
        self._undated: dict[str, None] = {}

    def note_listed(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes under which life a target is listed.

        An answer may have come from this life before the list told of it.
        """
        self._listed[incarnation.target_id] = incarnation
        self._doubt_undated(incarnation, now_ms)
        self._extend_backoff(incarnation, now_ms)

    def note_unlisted(self, target_id: str) -> None:
        """Notes that a target is off the list."""
        incarnation = self._listed.pop(target_id, None)
        self._answered.pop(incarnation, None)
        self.doubts.forget_unlisted(self._listed.values())

    def note_published(self, incarnation: incarnations.Incarnation) -> None:
        """Notes that the list says that a target leaves; peers read it, too."""
        self._note_left(incarnation)
        self._heard_ms.pop(incarnation, None)
        self._answered.pop(incarnation, None)

    def note_answered(
        self,
        incarnation: incarnations.Incarnation,
        now_ms: float,
        is_dated: bool = True,
    ) -> bool:
        """Notes that a target said it in an answer; returns whether it is news.

        While the store is away this is the only way to know, so peers are told,
        unless it was a peer that had told of it.

        Args:
            life: The life that was asked, or that the answer tells of.
            now_ms: Time.
            is_dated: Whether the answer tells which life it comes from.
        """
        was_doubted = incarnation in self.doubts
        is_new = self._note_left(incarnation)
        if is_new:
            self._answered[incarnation] = None
            _drop_oldest(self._answered, LEFT_MOST)
        if is_new and not was_doubted:
            self._heard_ms[incarnation] = now_ms
        is_other_doubted = not is_dated and self._note_undated(
            incarnation, now_ms
        )
        return is_new or is_other_doubted

    def note_told(
        self,
        told: incarnations.Incarnation,
        peer: str,
        now_ms: float,
        due_ms: float,
    ) -> bool:
        """Notes that a peer has heard it; returns whether it is news.

        Args:
            told: The life, as the peer knows it.
            peer: Who told.
            now_ms: Time.
            due_ms: When the target is to be asked, if nothing else tells.
        """
        listed = self._listed.get(told.target_id)
        if listed is None or not _may_be_same(told, listed):
            return False
        if listed in self._left or self.doubts.is_denied(listed, peer, now_ms):
            return False
        return self.doubts.add(listed, due_ms, peer)

    def note_staying(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Notes that a life in doubt was asked, and does not leave.

        Returns:
            Whether it was in doubt until now.
        """
        if not self.doubts.deny(incarnation, now_ms):
            # It said that it leaves while the question was under way.
            return False
        self._undated.pop(incarnation.target_id, None)
        return True

    def note_quiet(
        self,
        incarnation: incarnations.Incarnation,
        until_ms: float,
        said_wall_ms: float | None = None,
    ) -> bool:
        """Notes that a target wants no calls for a time.

        Args:
            life: The life that was asked, or that the answer tells of.
            until_ms: When that time ends.
            said_wall_ms: When it said so, by the wall clock, where its answer
                does not tell which life it comes from.

        Returns:
            Whether that is longer than was known.
        """
        is_longer = self._set_quiet(incarnation, until_ms)
        if said_wall_ms is None:
            return is_longer
        target_id = incarnation.target_id
        known = self._undated_backoff.pop(target_id, None)
        until_ms = max(until_ms, known.until_ms if known else 0.0)
        self._undated_backoff[target_id] = _UndatedBackoff(
            until_ms, said_wall_ms
        )
        _drop_oldest(self._undated_backoff, QUIET_MOST)
        listed = self._listed.get(target_id)
        if listed is not None:
            self._extend_backoff(listed, 0.0)
        return is_longer

    def _extend_backoff(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Has a life back off that may be the one that asked for it."""
        undated = self._undated_backoff.get(incarnation.target_id)
        if undated is None:
            return
        if (
            undated.until_ms <= now_ms
            or incarnation.started_ms > undated.said_wall_ms
        ):
            del self._undated_backoff[incarnation.target_id]
            return
        self._set_quiet(incarnation, undated.until_ms)

    def _set_quiet(
        self, incarnation: incarnations.Incarnation, until_ms: float
    ) -> bool:
        if until_ms <= self._quiet_until_ms.get(incarnation, 0.0):
            return False
        self._quiet_until_ms.pop(incarnation, None)
        self._quiet_until_ms[incarnation] = until_ms
        _drop_oldest(self._quiet_until_ms, QUIET_MOST)
        return True

    def note_served(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Notes that a target has done what it was asked.

        What was sent before it wanted quiet says nothing of what comes after.
        """
        if self._quiet_until_ms.get(incarnation, _NEVER_MS) <= now_ms:
            del self._quiet_until_ms[incarnation]

    def has_left(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether a life was found to leave, or may well do."""
        return incarnation in self._left or incarnation in self.doubts

    def find_until_ms(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> float:
        """Returns until when a target takes no calls.

        Returns:
            Infinity where it leaves; a time not after now where it takes some.
        """
        if self.has_left(incarnation):
            return _NEVER_MS
        return self._quiet_until_ms.get(incarnation, now_ms)

    def takes_calls(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether a target may be sent calls now."""
        return self.find_until_ms(incarnation, now_ms) <= now_ms

    def has_quiet(self) -> bool:
        """Returns whether any target wants, or lately wanted, no calls."""
        return bool(self._quiet_until_ms)

    def forget_quiet(
        self, listed: Collection[incarnations.Incarnation], now_ms: float
    ) -> None:
        """Drops quiet times that are over, of lives that are not listed."""
        for incarnation, until_ms in list(self._quiet_until_ms.items()):
            if until_ms <= now_ms and incarnation not in listed:
                del self._quiet_until_ms[incarnation]

    def is_on_trial(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether it wanted quiet and has not served since.

        It had too much to do; what waited for it must not all come back in the
        moment in which its time ends.
        """
        return incarnation in self._quiet_until_ms

    def count_quiet(self, now_ms: float) -> int:
        """Returns how many targets want no calls now."""
        return sum(until > now_ms for until in self._quiet_until_ms.values())

    def summarize(self, now_ms: float) -> tuple[str, ...]:
        """Returns the leavings that peers are to be told now, as words."""
        for incarnation, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms > TOLD_MS:
                del self._heard_ms[incarnation]
        latest = list(self._heard_ms)[-TOLD_MOST:]
        return tuple(map(incarnations.format_incarnation, latest))

    def tell_again(self, now_ms: float) -> bool:
        """Has peers told again of listed targets that the list shows as ready.

        Returns:
            Whether there are any.
        """
        listed = set(self._listed.values())
        again = [
            incarnation
            for incarnation in self._answered
            if incarnation in listed
        ]
        for incarnation in again:
            self._heard_ms[incarnation] = now_ms
        return bool(again)

    def _note_left(self, incarnation: incarnations.Incarnation) -> bool:
        self.doubts.settle(incarnation)
        if incarnation in self._left:
            return False
        self._left[incarnation] = None
        _drop_oldest(self._left, LEFT_MOST)
        return True

    def _note_undated(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Notes a word that may be of another life of its target.

        The target may have started again since it was listed, or the list has
        not told yet when it did.

        Returns:
            Whether another life is in doubt now.
        """
        self._undated[incarnation.target_id] = None
        _drop_oldest(self._undated, LEFT_MOST)
        listed = self._listed.get(incarnation.target_id)
        return listed is not None and self._doubt_undated(listed, now_ms)

    def _doubt_undated(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        if (
            incarnation in self._left
            or incarnation.target_id not in self._undated
        ):
            return False
        return self.doubts.add(incarnation, now_ms)


def _may_be_same(
    one: incarnations.Incarnation, other: incarnations.Incarnation
) -> bool:
    """Returns whether two lives of a target are one, as far as is known."""
    return one == other or incarnations.START_UNKNOWN in (
        one.started_ms,
        other.started_ms,
    )


def _drop_oldest(found: dict, most: int) -> None:
    if len(found) > most:
        del found[next(iter(found))]
