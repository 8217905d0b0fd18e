"""Published documents, compressed and split into parts that fit datagrams."""

from collections.abc import Sequence
import zlib

# Bytes of a part, about as many as a digest of many rows has.
PART_BYTES = 2_000
# 1,500 routes take about 20 parts.
MAX_PARTS = 400
# The platform's largest value is one megabyte; this allows for growth.
MAX_DOCUMENT_BYTES = 8_000_000
# Higher levels gain little and would block the event loop for longer.
_ZLIB_LEVEL = 1


def split(document: bytes) -> tuple[bytes, ...]:
    """Returns the compressed parts of a document, none if it has too many."""
    data = zlib.compress(document, _ZLIB_LEVEL)
    parts = tuple(
        data[begin : begin + PART_BYTES]
        for begin in range(0, len(data), PART_BYTES)
    )
    return parts if len(parts) <= MAX_PARTS else ()


def join(parts: Sequence[bytes]) -> bytes | None:
    """Returns the document of all its parts, or None if they are invalid.

    Parts of a document that is larger than MAX_DOCUMENT_BYTES are invalid.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(b"".join(parts), MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return document if decompressor.eof else None
