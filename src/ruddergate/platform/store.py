"""Reads the platform's store; nothing is written to it."""

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
from ruddergate import untrusted
from ruddergate.adapters import _private
from ruddergate.decisions import hedging
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.http import hedged_fetch
from ruddergate.platform import configuration
from ruddergate.platform import headers
from ruddergate.platform import targets as target_entries
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs

ReadCatalog: TypeAlias = Callable[[object], catalogs.Catalog | str]
# Values have up to a megabyte, and changes are read several at a time.
MAX_RESPONSE_BYTES = 32_000_000
# Items of a whole list: each of 12,000 targets and its successor, and more.
MAX_ITEMS = 50_000
# Nothing is published under this prefix: a list of it has only the position.
_EMPTY_PREFIX = f"{configuration.KEY}/"
_OK = 200
_HISTORY_LOST = 410
# Peers are sent the epoch as a 64-bit integer.
_MAX_EPOCH_DIGITS = 18


def make_source(
    env: environment.Environment,
    address: environment.Address,
    timeouts: client.Timeouts,
) -> published.Source:
    """Returns the operations of the store at `address`.

    Args:
        env: Clock and streams.
        address: Address of the store.
        timeouts: Timeouts of a request.
    """
    read_catalog = configuration.make_reader()
    store = _Store(env, address, timeouts)

    async def read_all() -> published.Changes | published.Unavailable:
        return await _read_all(store, read_catalog)

    async def read_changes(
        revision: int,
    ) -> published.Changes | published.HistoryLost | published.Unavailable:
        return await _read_changes(store, revision, read_catalog)

    async def read_position() -> (
        store_position.StorePosition | published.Unavailable
    ):
        return await _read_position(store)

    def read_settings(document: bytes) -> catalogs.Catalog | str:
        return _read_document(document, read_catalog)

    return published.Source(
        read_all,
        read_changes,
        read_position,
        read_settings,
        lambda: store.hedged,
    )


class _Store:
    """Calls to the store.

    Args:
        env: Clock and streams.
        address: Address of the store.
        timeouts: Timeouts of a request.

    Attributes:
        hedged: Number of calls beside one that was not answered.
    """

    def __init__(
        self,
        env: environment.Environment,
        address: environment.Address,
        timeouts: client.Timeouts,
    ) -> None:
        self.hedged = 0
        self._env = env
        self._address = address
        self._timeouts = timeouts
        self._delay = hedging.HedgeDelay()

    async def fetch(
        self, path: str, query: Mapping[str, object]
    ) -> client.CompleteResponse | client.Fault:
        """Calls the store; all of its calls may be made twice."""
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        return await hedged_fetch.fetch_hedged(
            self._env,
            self._address,
            client.make_json_request("GET", target),
            self._timeouts,
            MAX_RESPONSE_BYTES,
            self._delay.find_delay_ms(),
            self._delay.note_response,
            self._note_hedged,
        )

    def _note_hedged(self) -> None:
        self.hedged += 1


async def _read_changes(
    store: _Store, revision: int, read_catalog: ReadCatalog
) -> published.Changes | published.HistoryLost | published.Unavailable:
    """Reads the changes after a revision, or as many as one response holds."""
    query = {"path-prefix": "", "since-rev": revision, "wait-ms": 0}
    response = await _fetch(store, "/api/kv-watch", query)
    if isinstance(response, published.HistoryLost | published.Unavailable):
        return response
    events = _private.get(response.document, "events", list, None)
    if events is None or response.position is None:
        return published.Unavailable("malformed response with changes")
    return _read_items(events, response.position, read_catalog)


async def _read_position(
    store: _Store,
) -> store_position.StorePosition | published.Unavailable:
    """Reads the position of the last change, without any items."""
    query = {"path-prefix": _EMPTY_PREFIX}
    response = await _fetch(store, "/api/kv-range", query)
    if isinstance(response, published.HistoryLost):
        return published.Unavailable("the store's position is not available")
    if isinstance(response, published.Unavailable):
        return response
    if response.position is None:
        return published.Unavailable("malformed response with a position")
    return response.position


async def _read_all(
    store: _Store, read_catalog: ReadCatalog
) -> published.Changes | published.Unavailable:
    """Reads all pages.

    The result has the position of the first page, so that changes made while
    the later pages are read are read again after it.
    """
    items: list[object] = []
    first_position: store_position.StorePosition | None = None
    responses = 0
    query: dict[str, str] = {"path-prefix": ""}
    while True:
        response = await _fetch(store, "/api/kv-range", query)
        if isinstance(response, published.HistoryLost):
            return published.Unavailable(
                "a page of the store is no longer available"
            )
        if isinstance(response, published.Unavailable):
            return response
        page = _private.get(response.document, "items", list, None)
        if page is None or response.position is None:
            return published.Unavailable("malformed page")
        first_position = first_position or response.position
        if (
            response.position < first_position
            or response.position.epoch != first_position.epoch
        ):
            return published.Unavailable(
                "the store was restored between two pages"
            )
        items.extend(page)
        responses += 1
        if not page or not _private.get(response.document, "more", bool, False):
            return dataclasses.replace(
                _read_items(items, first_position, read_catalog),
                responses=responses,
            )
        # The next page begins after this key.
        last_key = _private.get(page[-1], "key", str, "")
        if last_key <= query.get("since-rev", "") or len(items) > MAX_ITEMS:
            return published.Unavailable("the list of items has no end")
        query["since-rev"] = last_key


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """A successful response of the store.

    Attributes:
        document: The parsed body.
        position: The store's position when it responded, if specified.
    """

    document: object
    position: store_position.StorePosition | None


async def _fetch(
    store: _Store, path: str, query: Mapping[str, object]
) -> _Response | published.HistoryLost | published.Unavailable:
    response = await store.fetch(path, query)
    if isinstance(response, client.Fault):
        return published.Unavailable(response.detail)
    epoch = _read_epoch(response.headers)
    if response.status == _HISTORY_LOST:
        return published.HistoryLost(epoch)
    if response.status != _OK:
        return published.Unavailable(
            f"The store responded with status {response.status}."
        )
    document = response.json()
    if document is None:
        return published.Unavailable("The store's response is not JSON.")
    revision = _private.get(document, "at", int, None)
    if revision is None:
        return _Response(document, None)
    return _Response(document, store_position.StorePosition(epoch, revision))


def _read_epoch(fields: Mapping[str, str]) -> int:
    """Returns the epoch in the headers of a response, or EPOCH_UNKNOWN."""
    text = fields.get(headers.STORE_EPOCH, "")
    is_number = text.isascii() and text.isdecimal()
    is_number = is_number and len(text) <= _MAX_EPOCH_DIGITS
    return int(text) if is_number else store_position.EPOCH_UNKNOWN


@dataclasses.dataclass(slots=True)
class _Entries:
    """Target entries, parsed in order.

    Attributes:
        listed: All valid entries.
        removed: Names whose last change was a removal.
        malformed: Names whose last entry is not a valid target entry, with the
            reason.
    """

    listed: list[targets.Target] = dataclasses.field(default_factory=list)
    removed: dict[str, None] = dataclasses.field(default_factory=dict)
    malformed: dict[str, str] = dataclasses.field(default_factory=dict)

    def add(self, target_id: str, item: object) -> None:
        """Parses the next item, which replaces earlier ones of the target."""
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
    """Parses items in order of revision; the last one of each key counts."""
    configurations: list[object] = []
    entries = _Entries()
    problems: list[str] = []
    for item in items:
        key = _private.get(item, "key", str, "")
        if key == configuration.KEY:
            configurations.append(item)
        elif key.startswith(target_entries.PREFIX):
            entries.add(key.removeprefix(target_entries.PREFIX), item)
    catalog, document = _read_newest_catalog(
        configurations, read_catalog, problems
    )
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


def _read_newest_catalog(
    configurations: list[object],
    read_catalog: ReadCatalog,
    problems: list[str],
) -> tuple[catalogs.Catalog | None, bytes]:
    """Parses the last valid configuration and skips those before it.

    There are several if the configuration changes faster than the store is
    read, and parsing each one takes some milliseconds of CPU time.
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
    """Decodes and parses an item's value, or returns what is wrong."""
    document = _decode_value(item)
    if isinstance(document, str):
        return document
    return _read_document(document, read)


def _decode_value(item: object) -> bytes | str:
    """Returns an item's raw value, or what is wrong with it."""
    text = _private.get(item, "value", str, "")
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        return f"the value of an item is malformed: {error}"


def _read_document(document: bytes, read: Callable[[object], object]) -> object:
    try:
        return read(orjson.loads(document))
    except orjson.JSONDecodeError as error:
        return f"the value of an item is malformed: {error}"
    except Exception as error:  # Whatever an item holds costs that item alone.
        return f"reading an item failed: {untrusted.describe_error(error)}"
