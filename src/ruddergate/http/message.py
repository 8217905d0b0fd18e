"""HTTP messages as plain data."""

from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import re
from typing import TypeAlias

import orjson

# Header lines in order; a name may occur more than once. Values are bytes, each
# as the Latin-1 character of that number.
Fields: TypeAlias = tuple[tuple[str, str], ...]

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

# Visible characters, with blanks and tabs between them.
_FIELD_VALUE = re.compile(
    r"([\x21-\x7e\x80-\xff]([\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as received.

    Attributes:
        method: Upper-case method.
        path: Target without its query.
        query: Text after the question mark, or empty.
        headers: Values by lower-case name; the last of equal names.
        body: Complete body.
        target: Path and query exactly as received.
        fields: All header lines in order, names as received.
        reading_ms: Time from its first byte until it was read whole.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    target: str = ""
    fields: Fields = ()
    reading_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to be sent.

    Attributes:
        method: Upper-case method.
        target: Path and query.
        headers: Values by lower-case name, except host and content-length.
        body: Complete body.
        host: The `Host` header; if empty, the address of the connection.
        fields: Additional header lines, in this order.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    host: str = ""
    fields: Fields = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response to be sent.

    Attributes:
        status: HTTP status.
        headers: Values by name, except content-length and transfer-encoding.
        body: Complete body, or an iterator of its chunks. If the iterator
            raises OSError, the connection is closed, so that the response is
            visibly incomplete.
        fields: Additional header lines, in this order.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]
    fields: Fields = ()


def encode_fields(
    fields: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Returns header lines as bytes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in fields
    ]


def make_field_value(text: str) -> str:
    """Returns any text as a header value, which holds its UTF-8 bytes."""
    return text.encode().decode("latin-1")


def is_field_value(text: str) -> bool:
    """Returns whether a text can be sent as a header value."""
    return _FIELD_VALUE.fullmatch(text) is not None


def make_json_response(
    status: int, document: object, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response whose body is the document as JSON."""
    merged = {"content-type": JSON_TYPE, **(headers or {})}
    return Response(status, merged, orjson.dumps(document))
