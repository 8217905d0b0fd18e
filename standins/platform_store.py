"""The platform's store: versioned items, read and watched over HTTP."""

import asyncio
import base64
import dataclasses
import math
import urllib.parse

import orjson

from ruddergate.http import message
from ruddergate.http import server
from standins import cut_writer
from standins import status_writer

_WATCH_POLL_S = 0.01
_LOSS_PERIOD_S = 0.5
_LOSS_S = 0.2
# Maximum items in a page of a range read.
PAGE_ITEMS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of the store's content at some time."""

    revision: int
    items: dict[str, _Change]
    history: list[_Change]
    compacted_revision: int


class PlatformStore:
    """A key-value store that operators and targets write and gateways read.

    Attributes:
        revision: Revision of the last change.
        epoch: Value of the epoch header of its answers; empty for no header.
        failure: Empty, or `busy` (503), `reset` or `silent`.
        is_list_busy: Whether lists with items are answered by a 503.
        calls: Number of requests, answered or not.
        content_calls: Number of responses with items or changes.
        watch_revision_max: Watches return changes only up to this revision;
            None for all.
        watch_events_max: Most changes in one response of a watch, which ends
            at the last of them.
        values_bytes_max: Most bytes of values in one response; it always has
            one item.
        response_delay_s: Time until a request is answered.
        answer_bytes_max: Bytes of an answer that are sent before its connection
            is closed; None for all.
        answer_status: Status of all answers, as bytes of any form; None for
            the status of each.
        body_delay_s: Time between the head of an answer and its body.
        loses_answers: Whether requests within the first 0.2 s of each half of a
            second are never answered.
        overrides: Bodies that answer the next calls, in place of the content.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.epoch = "1"
        self.failure = ""
        self.is_list_busy = False
        self.calls = 0
        self.content_calls = 0
        self.watch_revision_max: int | None = None
        self.watch_events_max: int | None = None
        self.values_bytes_max = math.inf
        self.response_delay_s = 0.0
        self.answer_bytes_max: int | None = None
        self.answer_status: bytes | None = None
        self.body_delay_s = 0.0
        self.loses_answers = False
        self.overrides: list[bytes] = []
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._compacted_revision = 0

    def put(self, key: str, document: object) -> None:
        """Writes an item; a heartbeat without a change makes no revision."""
        value = orjson.dumps(document)
        known = self._items.get(key)
        if known is not None and _is_heartbeat(known.value, document):
            self._items[key] = dataclasses.replace(known, value=value)
            return
        self.put_bytes(key, value)

    def put_bytes(self, key: str, value: bytes) -> None:
        """Writes an item's raw bytes, which need not be valid."""
        self.revision += 1
        change = _Change(self.revision, key, value)
        self._items[key] = change
        self._history.append(change)

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append(_Change(self.revision, key, None))

    def compact_history(self) -> None:
        """Drops the history; watches from an earlier revision get 410."""
        self._compacted_revision = self.revision
        self._history.clear()

    def take_snapshot(self) -> Snapshot:
        """Returns a snapshot of the store's content."""
        return Snapshot(
            self.revision,
            dict(self._items),
            list(self._history),
            self._compacted_revision,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Restores a snapshot; later writes are lost, and the epoch goes up."""
        self.revision = snapshot.revision
        self._items = dict(snapshot.items)
        self._history = list(snapshot.history)
        self._compacted_revision = snapshot.compacted_revision
        if self.epoch:
            self.epoch = str(int(self.epoch) + 1)

    def make_handler(self):  # noqa: ANN201
        """Returns the stream handler that serves the store."""
        handle = server.make_stream_handler(
            self._handle_with_epoch, server.Limits()
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if self.answer_bytes_max is not None:
                writer = cut_writer.CutWriter(writer, self.answer_bytes_max)
            if self.answer_status is not None:
                writer = status_writer.StatusWriter(writer, self.answer_status)
            await handle(reader, writer)

        return serve

    async def _handle_with_epoch(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Adds the epoch to an answer, as it is when the answer is made."""
        return await self.answer(incoming, self.failure)

    async def answer(
        self, incoming: message.IncomingRequest, failure: str
    ) -> message.Response:
        """Answers a request.

        Args:
            incoming: The request.
            failure: How it fails, as in `failure`; also `silent-short` for
                silence of 1.5 s, and `lost` for an answer that is not sent.
        """
        answer = await self._handle(incoming, failure)
        if self.body_delay_s > 0.0:
            body = _send_later(answer.body, self.body_delay_s)
            answer = dataclasses.replace(answer, body=body)
        if not self.epoch:
            return answer
        headers = {**answer.headers, "store-era": self.epoch}
        return dataclasses.replace(answer, headers=headers)

    async def _handle(
        self, incoming: message.IncomingRequest, failure: str
    ) -> message.Response:
        self.calls += 1
        now_s = asyncio.get_running_loop().time()
        if self.loses_answers and now_s % _LOSS_PERIOD_S < _LOSS_S:
            failure = "lost"
        if self.response_delay_s > 0.0:
            await asyncio.sleep(self.response_delay_s)
        match failure:
            case "busy":
                return message.make_json_response(503, {})
            case "reset":
                return message.Response(200, {}, _abort())
            case "silent" | "lost":
                await asyncio.sleep(3_600.0)
            case "silent-short":
                await asyncio.sleep(1.5)
        if self.overrides:
            return message.Response(200, {}, self.overrides.pop(0))
        query = dict(urllib.parse.parse_qsl(incoming.query))
        if incoming.path.endswith("kv-range"):
            return self._read(query)
        return await self._watch(query)

    def _read(self, query: dict[str, str]) -> message.Response:
        prefix = query.get("path-prefix", "")
        after = query.get("since-rev", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        page = _limit_bytes(items, self.values_bytes_max)
        if page and self.is_list_busy:
            return message.make_json_response(503, {})
        self.content_calls += bool(page)
        document = {
            "items": [_render(each) for each in page],
            "more": len(keys) > len(page),
            "at": self.revision,
        }
        return message.make_json_response(200, document)

    async def _watch(self, query: dict[str, str]) -> message.Response:
        since = int(query["since-rev"])
        remaining_s = int(query.get("wait-ms", "0")) / 1000.0
        while True:
            if since < self._compacted_revision or since > self.revision:
                return message.make_json_response(410, {})
            last = (
                self.revision
                if self.watch_revision_max is None
                else self.watch_revision_max
            )
            changes = [
                each for each in self._history if since < each.revision <= last
            ]
            if changes or remaining_s <= 0.0:
                page = _limit_bytes(
                    changes[: self.watch_events_max], self.values_bytes_max
                )
                if len(page) < len(changes):
                    last = page[-1].revision
                self.content_calls += bool(page)
                document = {
                    "events": [_render(each) for each in page],
                    "at": max(since, last),
                }
                return message.make_json_response(200, document)
            await asyncio.sleep(_WATCH_POLL_S)
            remaining_s -= _WATCH_POLL_S


def _is_heartbeat(value: bytes, document: object) -> bool:
    """Returns whether an item's new value differs only in `sequence`."""
    if not isinstance(document, dict) or "sequence" not in document:
        return False
    try:
        known = orjson.loads(value)
    except orjson.JSONDecodeError:
        return False
    if not isinstance(known, dict) or "sequence" not in known:
        return False
    return {**known, "sequence": 0} == {**document, "sequence": 0}


def _limit_bytes(
    changes: list[_Change], values_bytes_max: float
) -> list[_Change]:
    """Returns the first changes whose values fit into a response."""
    total_bytes = 0
    for index, each in enumerate(changes):
        total_bytes += len(each.value or b"")
        if index > 0 and total_bytes > values_bytes_max:
            return changes[:index]
    return changes


def _render(change: _Change) -> dict[str, object]:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "gone": True}
    return {
        "key": change.key,
        "value": base64.b64encode(change.value).decode(),
        "revision": change.revision,
        "made": change.revision,
        "lease": 0,
    }


async def _send_later(body: bytes, delay_s: float):  # noqa: ANN202
    yield body[:1]
    await asyncio.sleep(delay_s)
    yield body[1:]


async def _abort():  # noqa: ANN202
    raise ConnectionResetError("the store resets the connection")
    yield b""
