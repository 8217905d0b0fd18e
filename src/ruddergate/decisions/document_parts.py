"""Published documents as parts that fit into datagrams."""

from collections.abc import Sequence
import zlib

# Bytes of a part, about those of a digest of many rows.
PART_BYTES = 2_000
# 1,500 routes take about 20 parts.
MAX_PARTS = 400
# The platform's largest value is a megabyte; some more, as it may grow.
MAX_DOCUMENT_BYTES = 8_000_000
# Little is gained by more, and it would hold the VM up for longer.
_LEVEL = 1


def split(document: bytes) -> tuple[bytes, ...]:
    """Returns a document as compressed parts, none if they are too many."""
    data = zlib.compress(document, _LEVEL)
    parts = tuple(
        data[begin : begin + PART_BYTES]
        for begin in range(0, len(data), PART_BYTES)
    )
    return parts if len(parts) <= MAX_PARTS else ()


def join(parts: Sequence[bytes]) -> bytes | None:
    """Returns the document of all its parts, or None if they are none."""
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(b"".join(parts), MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return document if reader.eof else None
