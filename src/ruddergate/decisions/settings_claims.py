"""Revisions of settings that peers go by and the store does not show.

A store that is restored from an older copy shows older settings until the lost
ones are written again. A VM that starts meanwhile reads these; its peers know
better.
"""

from collections.abc import Iterator
import dataclasses

# Claims of a peer that could not make them good are not taken for so long.
REJECTED_MS = 30_000.0
# Peers whose claims are remembered.
MAX_CLAIMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a peer has told of its settings.

    Attributes:
        peer: Where the peer takes datagrams.
        revision: The revision in force there.
        heard_ms: When that was first heard.
    """

    peer: str
    revision: int
    heard_ms: float


class SettingsClaims:
    """Claims that are newer than the own settings; owned by one task."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._rejected_until_ms: dict[str, float] = {}

    def note(self, peer: str, revision: int, now_ms: float) -> None:
        """Notes that a peer goes by newer settings than this VM."""
        if self._rejected_until_ms.get(peer, now_ms) > now_ms:
            return
        known = self._claims.get(peer)
        if known is not None and known.revision >= revision:
            return
        self._claims.pop(peer, None)
        self._claims[peer] = Claim(peer, revision, now_ms)
        _drop_oldest(self._claims)

    def find_unconfirmed(self, own: int, read_ms: float) -> Claim | None:
        """Returns the highest claim that a read of the store has not met.

        Args:
            own: Revision that this VM goes by, with what the read told.
            read_ms: When the read began. A claim that was heard later may be
                of settings that were published in between.
        """
        for peer in [each.peer for each in self._list_met(own)]:
            del self._claims[peer]
        return max(
            (each for each in self._claims.values() if each.heard_ms < read_ms),
            key=lambda each: each.revision,
            default=None,
        )

    def reject(self, peer: str, now_ms: float) -> None:
        """Drops a peer's claim, and takes none of it for a while."""
        self._claims.pop(peer, None)
        self._rejected_until_ms.pop(peer, None)
        self._rejected_until_ms[peer] = now_ms + REJECTED_MS
        _drop_oldest(self._rejected_until_ms)

    def _list_met(self, own: int) -> Iterator[Claim]:
        return (each for each in self._claims.values() if each.revision <= own)


def _drop_oldest(found: dict) -> None:
    if len(found) > MAX_CLAIMS:
        del found[next(iter(found))]
