"""Calls of the platform's store, which is only read."""

import base64
import binascii
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias
import urllib.parse

import orjson

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.platform import configuration
from ruddergate.platform import headers
from ruddergate.platform import targets as target_entries
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs

ReadCatalog: TypeAlias = Callable[[object], catalogs.Catalog | str]
_OK = 200
_HISTORY_GONE = 410
# Peers are told an epoch as an integer of 64 bits.
_EPOCH_DIGITS_MOST = 18


def make_source(
    env: environment.Environment,
    address: environment.Address,
    timeouts: client.Timeouts,
) -> published.Source:
    """Returns the calls of the store at `address`.

    Args:
        outside: Clock and streams.
        address: Where the store serves.
        limits: Of a call that the store does not hold for changes.
    """
    read_catalog = configuration.make_reader()

    async def read_all() -> published.Changes | published.Unavailable:
        return await _read_all(env, address, timeouts, read_catalog)

    async def read_changes(
        revision: int, wait_ms: float
    ) -> published.Changes | published.HistoryLost | published.Unavailable:
        query = {
            "path-prefix": "",
            "since-rev": revision,
            "wait-ms": round(wait_ms),
        }
        held = dataclasses.replace(
            timeouts,
            read_ms=timeouts.read_ms + wait_ms,
            total_ms=timeouts.total_ms + wait_ms,
        )
        answer = await _ask(env, address, "/api/kv-watch", query, held)
        if isinstance(answer, published.HistoryLost | published.Unavailable):
            return answer
        events = _private.get(answer.document, "events", list, None)
        if events is None or answer.position is None:
            return published.Unavailable("malformed changes")
        return _read_items(events, answer.position, read_catalog)

    def read_settings(document: bytes) -> catalogs.Catalog | str:
        return _read_document(document, read_catalog)

    return published.Source(read_all, read_changes, read_settings)


async def _read_all(
    env: environment.Environment,
    address: environment.Address,
    timeouts: client.Timeouts,
    read_catalog: ReadCatalog,
) -> published.Changes | published.Unavailable:
    """Reads page by page; changes meanwhile follow from the first page on."""
    items: list[object] = []
    first: store_position.StorePosition | None = None
    query: dict[str, object] = {"path-prefix": ""}
    while True:
        answer = await _ask(env, address, "/api/kv-range", query, timeouts)
        if isinstance(answer, published.HistoryLost):
            return published.Unavailable("a page of the store is gone")
        if isinstance(answer, published.Unavailable):
            return answer
        page = _private.get(answer.document, "items", list, None)
        if page is None or answer.position is None:
            return published.Unavailable("a malformed page")
        first = first or answer.position
        if answer.position < first or answer.position.epoch != first.epoch:
            return published.Unavailable("restored between two pages")
        items.extend(page)
        if not page or not _private.get(answer.document, "more", bool, False):
            return _read_items(items, first, read_catalog)
        # A page begins behind the key that is named here.
        query["since-rev"] = _private.get(page[-1], "key", str, "")


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A successful answer of the store.

    Attributes:
        document: Its body.
        position: The store's position as it answered, if it names one.
    """

    document: object
    position: store_position.StorePosition | None


async def _ask(
    env: environment.Environment,
    address: environment.Address,
    path: str,
    query: dict[str, object],
    timeouts: client.Timeouts,
) -> _Answer | published.HistoryLost | published.Unavailable:
    target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
    request = client.make_json_request("GET", target)
    answer = await client.fetch_within(env, address, request, timeouts)
    if isinstance(answer, client.Fault):
        return published.Unavailable(answer.detail)
    epoch = _read_epoch(answer.headers)
    if answer.status == _HISTORY_GONE:
        return published.HistoryLost(epoch)
    if answer.status != _OK:
        return published.Unavailable(f"The store answered {answer.status}.")
    document = answer.json()
    if document is None:
        return published.Unavailable("The store's answer is no JSON.")
    revision = _private.get(document, "at", int, None)
    if revision is None:
        return _Answer(document, None)
    return _Answer(document, store_position.StorePosition(epoch, revision))


def _read_epoch(fields: Mapping[str, str]) -> int:
    """Returns the epoch that an answer names, or EPOCH_UNKNOWN."""
    text = fields.get(headers.STORE_EPOCH, "")
    is_number = text.isascii() and text.isdecimal()
    is_number = is_number and len(text) <= _EPOCH_DIGITS_MOST
    return int(text) if is_number else store_position.EPOCH_UNKNOWN


@dataclasses.dataclass(slots=True)
class _Entries:
    """Entries of targets, read in order.

    Attributes:
        listed: Every sound one.
        gone: Names whose entry was removed last.
        spoilt: Names whose last entry is none of a target, with the reason.
    """

    listed: list[targets.Target] = dataclasses.field(default_factory=list)
    removed: dict[str, None] = dataclasses.field(default_factory=dict)
    malformed: dict[str, str] = dataclasses.field(default_factory=dict)

    def take(self, target_id: str, item: object) -> None:
        """Reads the next item; what it replaces says nothing any more."""
        self.removed.pop(target_id, None)
        self.malformed.pop(target_id, None)
        if _private.get(item, "gone", bool, False):
            self.removed[target_id] = None
            return
        read = _read_value(
            item, lambda value: target_entries.read_target(target_id, value)
        )
        if isinstance(read, str):
            self.malformed[target_id] = read
        else:
            self.listed.append(read)


def _read_items(
    items: Iterable[object],
    position: store_position.StorePosition,
    read_catalog: ReadCatalog,
) -> published.Changes:
    """Reads items in order of revision; the last of a key stands."""
    configurations: list[object] = []
    entries = _Entries()
    problems: list[str] = []
    for item in items:
        key = _private.get(item, "key", str, "")
        if key == configuration.KEY:
            configurations.append(item)
        elif key.startswith(target_entries.PREFIX):
            entries.take(key.removeprefix(target_entries.PREFIX), item)
    catalog, document = _read_newest(configurations, read_catalog, problems)
    return published.Changes(
        position,
        catalog,
        tuple(entries.listed),
        tuple(entries.removed),
        tuple(problems),
        document,
        tuple(
            published.MalformedEntry(*each)
            for each in entries.malformed.items()
        ),
    )


def _read_newest(
    configurations: list[object],
    read_catalog: ReadCatalog,
    problems: list[str],
) -> tuple[catalogs.Catalog | None, bytes]:
    """Reads the last configuration that can be read, and none before it.

    Several come at once when they change faster than the store is asked; each
    takes a VM's processor for some milliseconds.
    """
    for item in reversed(configurations):
        document = _decode_value(item)
        read = (
            document
            if isinstance(document, str)
            else _read_document(document, read_catalog)
        )
        if isinstance(read, catalogs.Catalog):
            return read, document
        problems.append(read)
    return None, b""


def _read_value(item: object, read: Callable[[object], object]) -> object:
    """Decodes an item's value and reads it, or says what is wrong."""
    document = _decode_value(item)
    if isinstance(document, str):
        return document
    return _read_document(document, read)


def _decode_value(item: object) -> bytes | str:
    """Returns an item's value as it was written, or says what is wrong."""
    text = _private.get(item, "value", str, "")
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        return f"an item's value can't be read: {error}"


def _read_document(document: bytes, read: Callable[[object], object]) -> object:
    try:
        return read(orjson.loads(document))
    except orjson.JSONDecodeError as error:
        return f"an item's value can't be read: {error}"
