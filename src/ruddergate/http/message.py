"""HTTP messages as plain data."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias

import orjson

# Header lines in order; a name may stand more than once.
Fields: TypeAlias = tuple[tuple[str, str], ...]

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as received.

    Attributes:
        method: Upper-case method.
        path: Target without its query.
        query: Text behind the question mark, or empty.
        headers: Values by lower-case name; the last of equal names.
        body: Whole body.
        target: Path and query exactly as received.
        fields: Every header line in order, names as received.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    target: str = ""
    fields: Fields = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to be sent.

    Attributes:
        method: Upper-case method.
        target: Path and query.
        headers: Values by lower-case name, without host and length.
        body: Whole body.
        host: The `Host` to send; the address connected to if empty.
        fields: Header lines sent besides, in this order.
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
        headers: Values by name, without length and encoding.
        body: Whole body, or an iterator of its parts; an OSError raised by it
            breaks the connection off, so that the answer looks incomplete.
        fields: Header lines sent besides, in this order.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]
    fields: Fields = ()


def make_json_response(
    status: int, document: object, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response whose body is the document as JSON."""
    merged = {"content-type": JSON_TYPE, **(headers or {})}
    return Response(status, merged, orjson.dumps(document))
