"""Transfers published documents between VMs, so that few VMs read the store.

A VM that the store rejects learns of changes from its peers. What does not fit
into one datagram is fetched from them in parts: settings, and all targets after
a restore.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

from ruddergate.decisions import document_parts
from ruddergate.messages import document_part

# Requests for each part, since a datagram may be lost.
MAX_ATTEMPTS = 2

Version = TypeVar("Version")
RequestPart: TypeAlias = Callable[
    [str, Version, int], Awaitable[document_part.DocumentPart | None]
]


class DocumentExchange(Generic[Version]):
    """Serves the parts of a document to peers, and fetches peers' documents.

    Args:
        request_part: Requests a part of a version from a peer.
        find: Returns this VM's document if it has that version, else None.
    """

    def __init__(
        self,
        request_part: RequestPart[Version],
        find: Callable[[Version], bytes | None],
    ) -> None:
        self._send_request = request_part
        self._find = find
        # The version that was last requested. A peer can fetch all parts of it
        # even if this VM moves on to a later version meanwhile.
        self._version: Version | None = None
        self._parts: tuple[bytes, ...] = ()

    def answer(
        self, correlation_id: str, version: Version, part: int
    ) -> document_part.DocumentPart | None:
        """Returns a part, or None if this VM does not have it."""
        if version != self._version:
            document = self._find(version)
            if document is None:
                return None
            self._version = version
            self._parts = document_parts.split(document)
        if not 0 <= part < len(self._parts):
            return None
        return document_part.DocumentPart(
            correlation_id, len(self._parts), self._parts[part]
        )

    async def fetch(self, peer: str, version: Version) -> bytes | None:
        """Returns a peer's document, or None if a part could not be fetched."""
        parts: list[bytes] = []
        while True:
            reply = await self._request_part(peer, version, len(parts))
            if reply is None or reply.part_count > document_parts.MAX_PARTS:
                return None
            parts.append(reply.data)
            if len(parts) >= reply.part_count:
                return document_parts.join(parts)

    async def _request_part(
        self, peer: str, version: Version, part: int
    ) -> document_part.DocumentPart | None:
        for _ in range(MAX_ATTEMPTS):
            reply = await self._send_request(peer, version, part)
            if reply is not None:
                return reply
        return None
