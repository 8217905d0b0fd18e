"""Arbitrary inputs at the boundaries of a gateway, as `hypothesis` strategies.

Most are close to valid: they are valid ones with some bytes or fields replaced,
as others are refused before they reach much code.
"""

import base64
import copy
import dataclasses
import enum
from typing import TypeAlias

from hypothesis import strategies
import orjson

from standins import gateway_cluster

# Stands for the revision of settings, which must be higher than the last one.
REVISION_MARK = 123_456_789


class Boundary(enum.StrEnum):
    """Where inputs come from."""

    CALLERS = "callers"
    TARGETS = "targets"
    PEERS = "peers"
    STORE = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """What somebody writes to the store, or an answer of the store itself.

    Attributes:
        key: The key; empty for the body of an answer.
        value: The raw value or body.
    """

    key: str
    value: bytes


Input: TypeAlias = bytes | Item


_NUMBERS = strategies.one_of(
    strategies.integers(-(2**70), 2**70).map(str),
    strategies.floats().map(str),
    strategies.sampled_from(
        ("", "0", "-1", "1e400", "nan", "9" * 4_400, "1_0", "0x10", "1,2", " 1")
    ),
)
# Integers about the limits of the types that hold them.
_EDGE_INTEGERS = strategies.builds(
    lambda edge, offset, sign: sign * (edge + offset),
    strategies.sampled_from(
        (0, 2**15, 2**16, 10**6, 2**31, 2**32, 2**53, 2**63, 2**64)
    ),
    strategies.integers(-2, 2),
    strategies.sampled_from((1, 1, 1, -1)),
)
# Depths about the limits of the JSON parser (1,024), its writer (254), Python
# (1,000, less what is on the stack) and msgpack (512 and 1,024).
_EDGE_DEPTHS = strategies.builds(
    lambda edge, offset: max(1, edge + offset),
    strategies.sampled_from((1, 254, 512, 900, 950, 985, 1_000, 1_022, 5_000)),
    strategies.integers(-5, 5),
)
# Python prints and parses 4,300 digits.
_EDGE_NUMBERS = strategies.one_of(
    _EDGE_INTEGERS.map(str),
    strategies.sampled_from(
        ("9" * 4_301, "1e308", "-1e308", "1e400", "1e-400")
    ),
)
# Stands for a value in a JSON document that is replaced in its bytes: the JSON
# writer can write neither such depths nor such integers.
_MARK = "@"
_TEXTS = strategies.one_of(
    _EDGE_INTEGERS.map(str),
    _NUMBERS,
    strategies.text(
        strategies.characters(min_codepoint=32, max_codepoint=255), max_size=40
    ),
    strategies.sampled_from(("a" * 5_000, "close", "chunked", "\xff\xfe", "*")),
)
_CALLER_HEADERS = (
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Token-Usage",
    "X-Prefix-Hash",
    "X-Api-Key",
    "Last-Event-Id",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
    "Host",
    "Helpers",
    "Priority",
    "Upgrade",
)
_TARGET_HEADERS = (
    "X-Attempt-Id",
    "X-Replica-Signature",
    "X-Replica-Load",
    "X-Not-Executed",
    "At-Server",
    "Retry-After",
    "Server-Leaving",
    "Server-Limit",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Versions",
)
# Any JSON document of a small size.
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)


@strategies.composite
def _edge_json(draw) -> bytes:  # noqa: ANN001
    """Draws a JSON value that is nested, large or long."""
    kind = draw(strategies.sampled_from(("list", "object", "number", "text")))
    if kind == "number":
        return draw(_EDGE_NUMBERS).encode()
    if kind == "text":
        length = draw(strategies.sampled_from((199, 201, 65_536, 900_000)))
        return b'"' + b"a" * length + b'"'
    depth = draw(_EDGE_DEPTHS)
    if kind == "list":
        return b"[" * depth + b"]" * depth
    return b'{"a":' * depth + b"0" + b"}" * depth


@strategies.composite
def _edge_document(draw, document: object) -> bytes:  # noqa: ANN001
    """Draws the bytes of a document that holds _MARK."""
    mark = orjson.dumps(_MARK)
    return orjson.dumps(document).replace(mark, draw(_edge_json()))


@strategies.composite
def _settings_item(draw) -> Item:  # noqa: ANN001
    """Draws settings that differ where sound requests don't look."""
    keys = {"w1": [gateway_cluster.KEY]}
    document = gateway_cluster.make_configuration(keys, REVISION_MARK)
    route = {**document["routes"][0], "name": "odd", "path-prefix": "/odd/"}
    service = {**copy.deepcopy(document["services"][0]), "name": "odd"}
    tenant = {"name": "odd", "api-keys": ["odd"], "priority": 1}
    split = [{"service": "odd", "weight": 1}]
    route["traffic-split"] = split
    places = (
        document,
        document.get("limits", {}),
        *document["routes"],
        *document["services"],
        *document["tenants"],
    )
    if draw(strategies.booleans()):
        draw(strategies.sampled_from(places))["unread"] = _MARK
    else:
        odd = draw(
            strategies.sampled_from(
                (route, split[0], service, service.get("engine", {}), tenant)
            )
        )
        odd[draw(strategies.sampled_from(sorted(odd)))] = _MARK
    document["routes"] = [*document["routes"], route]
    document["services"] = [*document["services"], service]
    document["tenants"] = [*document["tenants"], tenant]
    return Item("op/config", draw(_edge_document(document)))


@strategies.composite
def _mutated(draw, data: bytes) -> bytes:  # noqa: ANN001
    """Draws bytes with a few places replaced, removed or doubled."""
    for _ in range(draw(strategies.integers(0, 3))):
        at = draw(strategies.integers(0, len(data)))
        length = draw(strategies.integers(0, 12))
        put = draw(strategies.binary(max_size=12))
        if draw(strategies.booleans()):
            put = data[at : at + length] * 2
        data = data[:at] + put + data[at + length :]
    return (
        data[: draw(strategies.integers(0, len(data)))]
        if draw(strategies.integers(0, 9)) == 0
        else data
    )


def _encode_head(first_line: str, headers: dict[str, str]) -> bytes:
    lines = [first_line, *(f"{name}: {text}" for name, text in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


@strategies.composite
def _caller_bytes(draw) -> bytes:  # noqa: ANN001
    body = draw(strategies.binary(max_size=60))
    route = draw(strategies.sampled_from(("short", "unsafe", "open", "none")))
    method = draw(
        strategies.sampled_from(("POST", "GET", "HEAD", "CONNECT", "OPTIONS"))
    )
    version = draw(strategies.sampled_from(("1.1", "1.1", "1.1", "1.0", "2.0")))
    headers = {
        "Host": gateway_cluster.HOST,
        "X-Attempt-Id": draw(strategies.uuids()).hex,
        "X-Deadline-Ms": "500",
        "X-Api-Key": gateway_cluster.KEY,
        "X-Token-Usage": "100,40",
        "X-Prefix-Hash": "aa:40,bb:60",
        "Content-Length": str(len(body)),
    }
    headers |= draw(
        strategies.dictionaries(
            strategies.sampled_from(_CALLER_HEADERS), _TEXTS, max_size=3
        )
    )
    head = _encode_head(f"{method} /{route}/x HTTP/{version}", headers)
    return draw(_mutated(head + body))


@strategies.composite
def _target_bytes(draw) -> bytes:  # noqa: ANN001
    body = draw(
        strategies.one_of(
            strategies.binary(max_size=80),
            strategies.sampled_from(
                (
                    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                    b"id: 1\ndata: a\n\nid: 2\nda",
                    b"10\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
                )
            ),
        )
    )
    status = draw(
        strategies.sampled_from(
            (200, 200, 200, 201, 204, 304, 404, 421, 429, 500, 503, 100, 101)
        )
    )
    headers = {
        "X-Replica-Signature": "s",
        "X-Replica-Load": "1,0,8",
        "Content-Length": str(len(body)),
    }
    headers |= draw(
        strategies.dictionaries(
            strategies.sampled_from(_TARGET_HEADERS), _TEXTS, max_size=4
        )
    )
    return draw(_mutated(_encode_head(f"HTTP/1.1 {status} x", headers) + body))


@strategies.composite
def _store_item(draw) -> Item:  # noqa: ANN001
    entry = {
        "service": draw(strategies.sampled_from(("engines", "notices"))),
        "address": "10.0.0.1:80",
        "zone": "hall-0",
        "slots": 8,
        # It is never used, so that callers are not sent there.
        "state": "draining",
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    entry |= draw(
        strategies.dictionaries(
            strategies.sampled_from((*entry, "cold-remaining-ms", "x")),
            JSON,
            max_size=3,
        )
    )
    if draw(strategies.booleans()):
        entry[draw(strategies.sampled_from((*entry, "unread")))] = _MARK
        data = draw(_edge_document(entry))
    else:
        data = draw(_mutated(orjson.dumps(entry)))
    name = draw(
        strategies.one_of(
            # What a usual name holds is read; that of another one is not.
            strategies.sampled_from(("odd-1", "odd-2", "odd-3")),
            strategies.text(min_size=1, max_size=30),
            strategies.sampled_from(("a" * 150, "x\r\ny", "\x00", "../x", "%")),
        )
    )
    prefix = draw(
        strategies.sampled_from(("servers/", "servers/", "op/", "other/"))
    )
    key = prefix + name
    if draw(strategies.integers(0, 3)) == 0:
        # A valid answer is true, whatever it lists or leaves out.
        answer = _store_answer().filter(lambda body: not _is_answer(body))
        return Item("", draw(answer))
    return Item(key, data)


def _is_answer(body: bytes) -> bool:
    """Returns whether a body has the form of an answer of the store."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    return (
        isinstance(document, dict)
        and type(document.get("at")) is int
        and (
            isinstance(document.get("items"), list)
            or isinstance(document.get("events"), list)
        )
    )


@strategies.composite
def _store_answer(draw) -> bytes:  # noqa: ANN001
    item = {
        "key": "servers/other",
        "value": base64.b64encode(b"{}").decode(),
        "revision": 5,
    }
    item |= draw(
        strategies.dictionaries(
            strategies.sampled_from((*item, "gone")), JSON, max_size=2
        )
    )
    document = {"items": [item], "events": [item], "more": False, "at": 7}
    document |= draw(
        strategies.dictionaries(
            strategies.sampled_from((*document, "x")), JSON, max_size=2
        )
    )
    if draw(strategies.booleans()):
        place = draw(strategies.sampled_from((item, document)))
        place[draw(strategies.sampled_from(sorted(place)))] = _MARK
        return draw(_edge_document(document))
    return draw(_mutated(orjson.dumps(document)))


@strategies.composite
def _edge_message(draw, data: bytes) -> bytes:  # noqa: ANN001
    """Draws a message with a nested or large value in one place."""
    depth = draw(_EDGE_DEPTHS)
    value = draw(
        strategies.sampled_from(
            (
                b"\x91" * depth + b"\xc0",
                b"\x81\xa1a" * depth + b"\xc0",
                b"\xcf" + b"\xff" * 8,
                b"\xd3\x80" + b"\x00" * 7,
                b"\xcb\x7f\xf0" + b"\x00" * 6,
                b"\xcb\x7f\xf8" + b"\x00" * 6,
                b"\xdb\xff\xff\xff\xff",
                b"\xdd\xff\xff\xff\xff",
            )
        )
    )
    at = draw(strategies.integers(0, len(data) - 1))
    return data[:at] + value + data[at + 1 :]


def make_strategy(
    boundary: Boundary, datagrams: tuple[bytes, ...] = ()
) -> strategies.SearchStrategy[Input]:
    """Returns inputs at a boundary.

    Args:
        boundary: Where they come from.
        datagrams: Valid datagrams of peers, to be changed.
    """
    match boundary:
        case Boundary.CALLERS:
            return _caller_bytes()
        case Boundary.TARGETS:
            return _target_bytes()
        case Boundary.STORE:
            return strategies.one_of(
                _store_item(), _store_item(), _store_item(), _settings_item()
            )
        case Boundary.PEERS:
            return strategies.one_of(
                strategies.binary(max_size=200),
                strategies.sampled_from(datagrams).flatmap(_mutated),
                strategies.sampled_from(datagrams).flatmap(_edge_message),
            )
