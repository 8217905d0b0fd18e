"""Hands published documents from VM to VM, so that the store is asked by few.

A VM that the store turns away hears of changes by its peers, and gets what no
datagram holds from them: settings, and all targets after a restore.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

from ruddergate.decisions import document_copy
from ruddergate.messages import document_part

# A datagram may get lost; a part is asked for so often.
TRIES = 2

Version = TypeVar("Version")
AskPart: TypeAlias = Callable[
    [str, Version, int], Awaitable[document_part.DocumentPart | None]
]


class DocumentExchange(Generic[Version]):
    """Gives peers the parts of a document, and gets theirs.

    Args:
        ask: Asks a peer for a part of a version.
        find: Returns this VM's document of a version; None for any other.
    """

    def __init__(
        self,
        ask: AskPart[Version],
        find: Callable[[Version], bytes | None],
    ) -> None:
        self._ask = ask
        self._find = find
        # The version that was last asked for. A peer gets all parts of it, also
        # if this VM has a later one meanwhile.
        self._version: Version | None = None
        self._parts: tuple[bytes, ...] = ()

    def answer(
        self, question: str, version: Version, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part, or None if it is not to be had here."""
        if version != self._version:
            document = self._find(version)
            if document is None:
                return None
            self._version = version
            self._parts = document_copy.split(document)
        if not 0 <= part < len(self._parts):
            return None
        return document_part.DocumentPart(
            question, len(self._parts), self._parts[part]
        )

    async def fetch(self, peer: str, version: Version) -> bytes | None:
        """Returns a peer's document, or None if it can't be had."""
        parts: list[bytes] = []
        while True:
            found = await self._ask_part(peer, version, len(parts))
            if found is None or found.part_count > document_copy.PARTS_MOST:
                return None
            parts.append(found.data)
            if len(parts) >= found.part_count:
                return document_copy.join(parts)

    async def _ask_part(
        self, peer: str, version: Version, part: int
    ) -> document_part.DocumentPart | None:
        for _ in range(TRIES):
            found = await self._ask(peer, version, part)
            if found is not None:
                return found
        return None
