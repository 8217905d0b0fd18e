"""Newer settings that peers claim to have and the store does not show.

A store that is restored from an older copy shows older settings until the lost
ones are written again. A VM that starts in the meantime reads the older ones,
while its peers still use the newer ones.
"""

from collections.abc import Iterator
import dataclasses

# How long a peer's claims are ignored after it could not supply the settings.
REJECTED_MS = 30_000.0
# Peers whose claims, or rejections, are remembered; the oldest are dropped.
MAX_CLAIMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A peer's claim to have newer settings.

    Attributes:
        peer: Address at which the peer receives datagrams.
        revision: The revision in force there.
        received_ms: When the claim first arrived.
    """

    peer: str
    revision: int
    received_ms: float


class SettingsClaims:
    """Claims to have newer settings than this VM; owned by one task."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._rejected_until_ms: dict[str, float] = {}

    def note(self, peer: str, revision: int, now_ms: float) -> None:
        """Notes that a peer uses newer settings than this VM."""
        if self._rejected_until_ms.get(peer, now_ms) > now_ms:
            return
        known = self._claims.get(peer)
        if known is not None and known.revision >= revision:
            return
        self._claims.pop(peer, None)
        self._claims[peer] = Claim(peer, revision, now_ms)
        _drop_oldest(self._claims)

    def find_unconfirmed(self, own: int, read_ms: float) -> Claim | None:
        """Returns the highest claim that a read of the store did not confirm.

        Drops the claims that are confirmed.

        Args:
            own: Revision that this VM uses after the read.
            read_ms: When the read began. A later claim may be about settings
                that were published in between.
        """
        for peer in [each.peer for each in self._list_confirmed(own)]:
            del self._claims[peer]
        return max(
            (
                each
                for each in self._claims.values()
                if each.received_ms < read_ms
            ),
            key=lambda each: each.revision,
            default=None,
        )

    def reject(self, peer: str, now_ms: float) -> None:
        """Drops a peer's claim, and ignores its claims for REJECTED_MS."""
        self._claims.pop(peer, None)
        self._rejected_until_ms.pop(peer, None)
        self._rejected_until_ms[peer] = now_ms + REJECTED_MS
        _drop_oldest(self._rejected_until_ms)

    def _list_confirmed(self, own: int) -> Iterator[Claim]:
        return (each for each in self._claims.values() if each.revision <= own)


def _drop_oldest(entries: dict) -> None:
    if len(entries) > MAX_CLAIMS:
        del entries[next(iter(entries))]
