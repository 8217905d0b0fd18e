"""Stand-in of a model engine with continuous batching.

In each step it decodes one token of every running stream and prefills a chunk
of waiting prompts, highest priority first; the two slow each other. A stream
holds its memory until it was read to its end or is cancelled.
"""

import asyncio
from collections.abc import AsyncIterator
import random
from typing import Annotated
import urllib.parse

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.http import server
from standins import _private
from standins import engine_batch as batches
from standins import engine_state as states

_ALIVE_MS = 1_000.0
_EVENTS_MAX = 1_000
_TOMBSTONES_MAX = 10_000


class Engine:
    """One engine.

    Attributes:
        executions: Streams taken in, by prompt.
        revisions: Fences of the orders taken, in order.
        draining: Whether it takes no new work.
    """

    def __init__(
        self,
        env: environment.Environment,
        settings: states.EngineSettings,
        weight_store: environment.Address | None = None,
    ) -> None:
        self.executions: dict[str, int] = {}
        self.revisions: list[int] = []
        self.draining = False
        self._env = env
        self._settings = settings
        self._weight_store = weight_store
        self._generation = environment.make_random_id(env.random)
        self._chance = random.Random(self._generation)
        self._batch = batches.Batch(settings)
        self._items = self._batch.items
        self._tombstones: dict[str, None] = {}
        self._keys: set[str] = set()
        self._events: list[tuple[float, int, str, int]] = []
        self._event_number = 0
        self._number = 0
        self._work = asyncio.Event()
        self._loaded = {"model": "", "version": "", "adapters": [], "role": ""}
        self._loading: asyncio.Task | None = None
        self._report = (env.now_ms(), 0, 0, 0)

    def held_tokens(self) -> int:
        """Returns the memory in use."""
        return self._batch.held_tokens()

    async def run(self) -> None:
        """Does steps for as long as there is work."""
        while True:
            self._work.clear()
            took_ms = self._batch.step()
            if took_ms is None:
                await self._work.wait()
            else:
                await asyncio.sleep(took_ms / 1000.0)
                self._publish(self._batch.finish_step())

    def _publish(self, changes: list[tuple[str, int]]) -> None:
        visible_ms = self._env.now_ms() + self._settings.event_lag_ms
        for prefix, tokens in changes:
            number = self._event_number
            self._event_number += 1
            if self._chance.random() >= self._settings.event_loss:
                self._events.append((visible_ms, number, prefix, tokens))
        del self._events[:-_EVENTS_MAX]

    def _take_report(self) -> tuple[float, int, int, int]:
        now_ms = self._env.now_ms()
        if now_ms - self._report[0] >= self._settings.report_ms:
            streams = [x for x in self._items.values() if x.is_stream]
            waiting = sum(x.to_prefill for x in self._items.values())
            self._report = (now_ms, len(streams), waiting, self.held_tokens())
        return self._report

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers one HTTP request."""
        query = dict(urllib.parse.parse_qsl(incoming.query))
        if incoming.path == "/v1/load":
            return self._handle_load(query)
        if incoming.path.startswith("/v1/streams/"):
            return self._handle_resume(incoming.path, query)
        if incoming.path.startswith("/v1/kv/"):
            return self._handle_kv(incoming.path)
        document = orjson.loads(incoming.body or b"{}")
        match incoming.path:
            case "/v1/generate":
                return await self._handle_generate(document)
            case "/v1/cancel":
                return self._handle_cancel(document)
            case "/v1/reserve":
                return self._handle_reserve(document)
            case "/v1/prefill":
                return await self._handle_prefill(document)
            case "/v1/orders":
                return self._handle_order(document)
            case "/admin/drain":
                self.draining = True
                return message.make_json_response(200, {})
        return _refuse(404, "unknown path")

    async def _handle_generate(self, document: dict) -> message.Response:
        if self.draining:
            return _refuse(503, "draining")
        item_id = document["stream"]
        if item_id in self._tombstones or item_id in self._items:
            return _refuse(409, "a stream of that name came before")
        key = document["key"]
        if key and self._settings.checks_key:
            if key in self._keys:
                return _refuse(409, "a key seen before")
            self._keys.add(key)
        if not await self._import_parts(document):
            return _refuse(409, "a part of the prompt is missing")
        item = self._make_stream(document)
        prompt = document["prompt"]
        self.executions[prompt] = self.executions.get(prompt, 0) + 1
        self._items[item_id] = item
        self._work.set()
        return self._respond(item, item.first_position)

    def _make_stream(self, document: dict) -> states.Item:
        delivered = len(document["delivered"])
        reserved = self._items.get(document["reservation"])
        fresh = document["prompt_tokens"] - document["first_token"] + delivered
        held = document["prompt_tokens"] + document["output_tokens_max"]
        item = self._make_item(document["stream"], document, held)
        item.priority = document["priority"]
        item.prompt = document["prompt"]
        item.prefix = document["prefix"]
        item.prefix_tokens = document["prefix_tokens"]
        item.to_prefill = max(1, fresh)
        item.position = item.first_position = delivered
        item.last_position = document["output_tokens_max"]
        if reserved is not None:
            # The reservation holds the memory and stays until it is freed.
            item.held_tokens = 0
            item.is_admitted = True
        return item

    def _make_item(
        self, item_id: str, document: dict, held_tokens: int
    ) -> states.Item:
        self._number += 1
        return states.Item(
            item_id=item_id,
            owner=document["owner"],
            lapse_ms=document["lapse_ms"],
            began_ms=self._env.now_ms(),
            held_tokens=held_tokens,
            priority=0,
            number=self._number,
        )

    async def _import_parts(self, document: dict) -> bool:
        for part in document["kv_parts"]:
            address = environment.parse_address(part["engine"])
            path = f"/v1/kv/{part['reservation']}"
            request = client.make_json_request("GET", path)
            answer = await client.fetch(self._env, address, request, 2_000)
            if isinstance(answer, client.Fault) or answer.status != 200:
                return False
        return True

    def _respond(self, item: states.Item, after: int) -> message.Response:
        taken_ms, running, waiting, held = self._take_report()
        age_ms = self._env.now_ms() - taken_ms
        fields = (running, waiting, held, int(self.draining), int(age_ms))
        load = ";".join([self._generation, *(str(each) for each in fields)])
        headers = {
            "content-type": message.EVENT_STREAM_TYPE,
            "x-engine-load": load,
        }
        return message.Response(200, headers, self._send(item, after))

    async def _send(self, item: states.Item, sent: int) -> AsyncIterator[bytes]:
        # An early sign of life: the head goes out with the first part.
        yield b": taken\n\n"
        while not item.is_freed:
            changed = item.changed
            if item.position > sent:
                texts = item.texts(sent, item.position)
                document = {
                    "stream": item.item_id,
                    "first": sent,
                    "tokens": texts,
                }
                sent = item.position
                yield b"data: " + orjson.dumps(document) + b"\n\n"
            if sent >= item.last_position:
                yield _make_end(item)
                self._free(item.item_id)
                return
            try:
                async with asyncio.timeout(_ALIVE_MS / 1000.0):
                    await changed.wait()
            except TimeoutError:
                yield b": alive\n\n"
            if self._settings.flush_ms and sent > item.first_position:
                await asyncio.sleep(self._settings.flush_ms / 1000.0)

    def _handle_resume(self, path: str, query: dict) -> message.Response:
        item = self._items.get(path.rpartition("/")[2])
        if item is None:
            return _refuse(404, "no such stream")
        return self._respond(item, int(query["after"]))

    def _handle_kv(self, path: str) -> message.Response:
        item = self._items.get(path.rpartition("/")[2])
        ready = item is not None and item.to_prefill == 0
        return message.make_json_response(200 if ready else 404, {})

    def _handle_cancel(self, document: dict) -> message.Response:
        for item_id in document["ids"]:
            # A cancel may overtake the start of what it cancels.
            self._tombstones[item_id] = None
            if len(self._tombstones) > _TOMBSTONES_MAX:
                del self._tombstones[next(iter(self._tombstones))]
            self._free(item_id)
        return message.make_json_response(200, {})

    def _free(self, item_id: str) -> None:
        item = self._items.pop(item_id, None)
        if item is not None:
            item.is_freed = True
            item.tell()
            self._work.set()

    def _handle_reserve(self, document: dict) -> message.Response:
        item_id = document["reservation"]
        if self.draining or item_id in self._tombstones:
            return _refuse(503, "draining")
        free = self._settings.memory_tokens - self.held_tokens()
        if document["tokens"] > free:
            return _refuse(409, "no memory")
        item = self._make_item(item_id, document, document["tokens"])
        item.is_stream = False
        item.is_admitted = True
        self._items[item_id] = item
        return message.make_json_response(200, {})

    async def _handle_prefill(self, document: dict) -> message.Response:
        item = self._items.get(document["reservation"])
        if item is None or not await self._import_parts(document):
            return _refuse(409, "nothing reserved or imported")
        item.to_prefill = document["tokens"]
        self._work.set()
        while item.to_prefill > 0 and not item.is_freed:
            await item.changed.wait()
        return message.make_json_response(409 if item.is_freed else 200, {})

    def _handle_order(self, document: dict) -> message.Response:
        revision = document["revision"]
        if self._settings.checks_fence:
            newest = max(self.revisions, default=0)
            stale = revision < newest
            if stale or document["generation"] != self._generation:
                return _refuse(409, "an old fence")
        self.revisions.append(revision)
        if self._loading is not None:
            self._loading.cancel()
        self._loading = asyncio.ensure_future(self._load(document))
        return message.make_json_response(200, {})

    async def _load(self, document: dict) -> None:
        if self._weight_store is not None:
            path = f"/v1/weights/{document['model']}/{document['version']}"
            request = client.make_json_request("GET", path)
            await client.fetch(self._env, self._weight_store, request, 10_000.0)
        await asyncio.sleep(self._settings.load_ms / 1000.0)
        self._loaded = {
            name: document[name]
            for name in ("model", "version", "adapters", "role")
        }
        self._loading = None

    def _handle_load(self, query: dict) -> message.Response:
        now_ms = self._env.now_ms()
        taken_ms, running, waiting, held = self._take_report()
        after = int(query.get("after", -1))
        events = [
            {"number": number, "prefix": prefix, "tokens": tokens}
            for visible_ms, number, prefix, tokens in self._events
            if number > after and visible_ms <= now_ms
        ]
        document = {
            "generation": self._generation,
            "running": running,
            "waiting_tokens": waiting,
            "held_tokens": held,
            "draining": self.draining,
            "age_ms": now_ms - taken_ms,
            "events": events,
            "order_revision": max(self.revisions, default=0),
            "loading": self._loading is not None,
            **self._loaded,
        }
        if "held" in query:
            document["held"] = [
                {
                    "id": item.item_id,
                    "owner": item.owner,
                    "age_ms": now_ms - item.began_ms,
                    "lapse_ms": item.lapse_ms,
                }
                for item in self._items.values()
            ]
        return message.make_json_response(200, document)


def _make_end(item: states.Item) -> bytes:
    document = {
        "stream": item.item_id,
        "end": "stop",
        "count": item.last_position,
    }
    return b"data: " + orjson.dumps(document) + b"\n\n"


def _refuse(status: int, reason: str) -> message.Response:
    document = {"reason": reason, "started": False}
    return message.make_json_response(status, document)


async def serve(
    env: environment.Environment,
    address: environment.Address,
    engine: Engine,
) -> None:
    """Serves an engine until cancelled."""
    limits = server.Limits(body_bytes_max=64_000_000)
    handler = server.make_stream_handler(engine.handle, limits)
    await env.serve(handler, address)
    await engine.run()


def main(
    *,
    listen: str,
    flush_ms: Annotated[float, _private.AT_LEAST_ZERO] = 0.0,
    memory_tokens: int = 400_000,
    step_ms: float = 18.0,
) -> None:
    """Runs one engine stand-in.

    Args:
        listen: Where to serve (HOST:PORT).
        flush_ms: Least time between two writes of one stream.
        memory_tokens: KV memory.
        step_ms: Time of a step without any work.
    """
    settings = states.EngineSettings(
        flush_ms=flush_ms, memory_tokens=memory_tokens, step_ms=step_ms
    )
    env = environment.make_system_environment()
    engine = Engine(env, settings)
    _private.run_until_signal(
        serve(env, environment.parse_address(listen), engine)
    )


if __name__ == "__main__":
    cyclopts.run(main)
