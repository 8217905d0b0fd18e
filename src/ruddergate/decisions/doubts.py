"""Lives of targets that may be leaving, and when to ask them.

A word that a target leaves does not always name the life that it is of: an
answer to a call does not tell when its target started, and a peer's word is no
answer. A life that such a word may be of is in doubt. It takes no calls, and is
asked itself: in each of its answers it says whether it leaves.
"""

from collections.abc import Collection
import dataclasses

from ruddergate.fleet import incarnation as incarnations

# A life in doubt by a peer's word is not asked sooner. In most cases the list
# tells meanwhile, and a target that leaves is not asked by a whole fleet.
CONFIRM_MS = 1_500.0
# One that gave no answer is asked again after this time, and after twice as
# long each time, up to the most.
AGAIN_MS = 1_000.0
AGAIN_MOST_MS = 8_000.0
# A peer's word that its target has not confirmed is not taken of that peer
# again for so long: one that is wrong may be told over and over.
DENIED_MS = 60_000.0
# Words that are remembered to have been wrong; the oldest are forgotten first.
DENIED_MOST = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _Doubt:
    """Why a life may be leaving.

    Attributes:
        due_ms: When it is to be asked.
        pause_ms: After which time it is asked again, if it gives no answer.
        peer: Whose word it is; empty where it came from a target.
    """

    due_ms: float
    pause_ms: float
    peer: str


class Doubts:
    """Lives in doubt; owned by what knows which lives have left."""

    def __init__(self) -> None:
        self._doubts: dict[incarnations.Incarnation, _Doubt] = {}
        # Until when words of peers on lives are not taken.
        self._denied_ms: dict[tuple[incarnations.Incarnation, str], float] = {}

    def __contains__(self, incarnation: incarnations.Incarnation) -> bool:
        return incarnation in self._doubts

    def __len__(self) -> int:
        return len(self._doubts)

    def add(
        self,
        incarnation: incarnations.Incarnation,
        due_ms: float,
        peer: str = "",
    ) -> bool:
        """Puts a life in doubt.

        Args:
            life: The life.
            due_ms: When it is to be asked.
            peer: Whose word it is; empty where it came from a target.

        Returns:
            Whether that is new.
        """
        if incarnation in self._doubts:
            return False
        self._doubts[incarnation] = _Doubt(due_ms, AGAIN_MS, peer)
        return True

    def is_denied(
        self, incarnation: incarnations.Incarnation, peer: str, now_ms: float
    ) -> bool:
        """Returns whether a peer's word on a life was wrong a while ago."""
        return self._denied_ms.get((incarnation, peer), now_ms) > now_ms

    def find_due(self, now_ms: float) -> list[incarnations.Incarnation]:
        """Returns the lives that are to be asked now."""
        return [
            incarnation
            for incarnation, doubt in self._doubts.items()
            if doubt.due_ms <= now_ms
        ]

    def find_next_ms(self) -> float:
        """Returns when the next life is to be asked; infinity for never."""
        due_ms = (doubt.due_ms for doubt in self._doubts.values())
        return min(due_ms, default=float("inf"))

    def put_off(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Has a life that gave no answer asked again later."""
        doubt = self._doubts.get(incarnation)
        if doubt is None:
            return
        self._doubts[incarnation] = dataclasses.replace(
            doubt,
            due_ms=now_ms + doubt.pause_ms,
            pause_ms=min(AGAIN_MOST_MS, 2.0 * doubt.pause_ms),
        )

    def settle(self, incarnation: incarnations.Incarnation) -> bool:
        """Ends the doubt; returns whether there was one."""
        return self._doubts.pop(incarnation, None) is not None

    def deny(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Ends the doubt, as the life does not leave.

        Returns:
            Whether there was one.
        """
        doubt = self._doubts.pop(incarnation, None)
        if doubt is None:
            return False
        if doubt.peer:
            self._denied_ms[incarnation, doubt.peer] = now_ms + DENIED_MS
        if len(self._denied_ms) > DENIED_MOST:
            del self._denied_ms[next(iter(self._denied_ms))]
        return True

    def forget_unlisted(
        self, listed: Collection[incarnations.Incarnation]
    ) -> None:
        """Drops lives that are not listed any more."""
        for incarnation in self._doubts.keys() - set(listed):
            del self._doubts[incarnation]
