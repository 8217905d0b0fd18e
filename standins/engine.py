"""Fake model engine with continuous batching.

Each step decodes one token of every running stream and prefills a chunk of
waiting prompts, highest priority first; decoding and prefill slow each other
down. A stream holds its memory until it was read to its end or is cancelled.
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

_KEEPALIVE_INTERVAL_MS = 1_000.0
_MAX_EVENTS = 1_000
_MAX_TOMBSTONES = 10_000


class Engine:
    """One engine.

    Attributes:
        executions: Number of accepted streams by prompt.
        revisions: Fencing tokens (revisions) of accepted orders, in order.
        draining: Whether it refuses new work.
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
        self._rng = random.Random(self._generation)
        self._batch = batches.Batch(settings)
        self._allocations = self._batch.allocations
        self._tombstones: dict[str, None] = {}
        self._keys: set[str] = set()
        self._events: list[tuple[float, int, str, int]] = []
        self._event_number = 0
        self._arrivals = 0
        self._work_available = asyncio.Event()
        self._loaded = {"model": "", "version": "", "adapters": [], "role": ""}
        self._loading: asyncio.Task | None = None
        self._load_report = (env.now_ms(), 0, 0, 0)

    def held_tokens(self) -> int:
        """Returns the memory in use."""
        return self._batch.held_tokens()

    async def run(self) -> None:
        """Runs batch steps while there is work, else waits for work."""
        while True:
            self._work_available.clear()
            took_ms = self._batch.step()
            if took_ms is None:
                await self._work_available.wait()
            else:
                await asyncio.sleep(took_ms / 1000.0)
                self._record_cache_changes(self._batch.finish_step())

    def _record_cache_changes(self, changes: list[tuple[str, int]]) -> None:
        visible_ms = self._env.now_ms() + self._settings.event_lag_ms
        for prefix, tokens in changes:
            number = self._event_number
            self._event_number += 1
            if self._rng.random() >= self._settings.event_loss_ratio:
                self._events.append((visible_ms, number, prefix, tokens))
        del self._events[:-_MAX_EVENTS]

    def _refresh_load_report(self) -> tuple[float, int, int, int]:
        now_ms = self._env.now_ms()
        if now_ms - self._load_report[0] >= self._settings.report_ms:
            streams = [x for x in self._allocations.values() if x.is_stream]
            waiting = sum(
                x.prefill_tokens_left for x in self._allocations.values()
            )
            self._load_report = (
                now_ms,
                len(streams),
                waiting,
                self.held_tokens(),
            )
        return self._load_report

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
        return _make_refusal(404, "unknown path")

    async def _handle_generate(self, document: dict) -> message.Response:
        if self.draining:
            return _make_refusal(503, "draining")
        allocation_id = document["stream"]
        if (
            allocation_id in self._tombstones
            or allocation_id in self._allocations
        ):
            return _make_refusal(409, "a stream with this id was seen before")
        key = document["key"]
        if key and self._settings.checks_key:
            if key in self._keys:
                return _make_refusal(409, "the idempotency key was seen before")
            self._keys.add(key)
        if not await self._import_kv_parts(document):
            return _make_refusal(
                409, "a KV part of the prompt could not be imported"
            )
        allocation = self._make_stream(document)
        prompt = document["prompt"]
        self.executions[prompt] = self.executions.get(prompt, 0) + 1
        self._allocations[allocation_id] = allocation
        self._work_available.set()
        return self._respond(allocation, allocation.first_token)

    def _make_stream(self, document: dict) -> states.Allocation:
        delivered = len(document["delivered"])
        reserved = self._allocations.get(document["reservation"])
        tokens_to_prefill = (
            document["prompt_tokens"] - document["first_token"] + delivered
        )
        held = document["prompt_tokens"] + document["output_tokens_max"]
        allocation = self._make_allocation(document["stream"], document, held)
        allocation.priority = document["priority"]
        allocation.prompt = document["prompt"]
        allocation.prefix = document["prefix"]
        allocation.prefix_tokens = document["prefix_tokens"]
        allocation.prefill_tokens_left = max(1, tokens_to_prefill)
        allocation.generated_tokens = allocation.first_token = delivered
        allocation.output_tokens = document["output_tokens_max"]
        if reserved is not None:
            # The reservation holds the memory and stays until it is freed.
            allocation.held_tokens = 0
            allocation.is_admitted = True
        return allocation

    def _make_allocation(
        self, allocation_id: str, document: dict, held_tokens: int
    ) -> states.Allocation:
        self._arrivals += 1
        return states.Allocation(
            allocation_id=allocation_id,
            owner=document["owner"],
            expiry_ms=document["lapse_ms"],
            started_ms=self._env.now_ms(),
            held_tokens=held_tokens,
            priority=0,
            number=self._arrivals,
        )

    async def _import_kv_parts(self, document: dict) -> bool:
        for part in document["kv_parts"]:
            address = environment.parse_address(part["engine"])
            path = f"/v1/kv/{part['reservation']}"
            request = client.make_json_request("GET", path)
            answer = await client.fetch(self._env, address, request, 2_000)
            if isinstance(answer, client.Fault) or answer.status != 200:
                return False
        return True

    def _respond(
        self, allocation: states.Allocation, after: int
    ) -> message.Response:
        reported_ms, running, waiting, held = self._refresh_load_report()
        age_ms = self._env.now_ms() - reported_ms
        fields = (running, waiting, held, int(self.draining), int(age_ms))
        load = ";".join([self._generation, *(str(each) for each in fields)])
        headers = {
            "content-type": message.EVENT_STREAM_TYPE,
            "x-engine-load": load,
        }
        return message.Response(
            200, headers, self._stream_tokens(allocation, after)
        )

    async def _stream_tokens(
        self, allocation: states.Allocation, sent: int
    ) -> AsyncIterator[bytes]:
        # Sent at once, because the response head goes out with the first chunk.
        yield b": taken\n\n"
        while not allocation.is_released:
            changed = allocation.changed
            if allocation.generated_tokens > sent:
                texts = allocation.make_token_texts(
                    sent, allocation.generated_tokens
                )
                document = {
                    "stream": allocation.allocation_id,
                    "first": sent,
                    "tokens": texts,
                }
                sent = allocation.generated_tokens
                yield b"data: " + orjson.dumps(document) + b"\n\n"
            if sent >= allocation.output_tokens:
                yield _encode_end_event(allocation)
                self._release(allocation.allocation_id)
                return
            try:
                async with asyncio.timeout(_KEEPALIVE_INTERVAL_MS / 1000.0):
                    await changed.wait()
            except TimeoutError:
                yield b": alive\n\n"
            if self._settings.flush_ms and sent > allocation.first_token:
                await asyncio.sleep(self._settings.flush_ms / 1000.0)

    def _handle_resume(self, path: str, query: dict) -> message.Response:
        allocation = self._allocations.get(path.rpartition("/")[2])
        if allocation is None:
            return _make_refusal(404, "unknown stream")
        return self._respond(allocation, int(query["after"]))

    def _handle_kv(self, path: str) -> message.Response:
        allocation = self._allocations.get(path.rpartition("/")[2])
        ready = allocation is not None and allocation.prefill_tokens_left == 0
        return message.make_json_response(200 if ready else 404, {})

    def _handle_cancel(self, document: dict) -> message.Response:
        for allocation_id in document["ids"]:
            # A cancel may arrive before the request that it cancels.
            self._tombstones[allocation_id] = None
            if len(self._tombstones) > _MAX_TOMBSTONES:
                del self._tombstones[next(iter(self._tombstones))]
            self._release(allocation_id)
        return message.make_json_response(200, {})

    def _release(self, allocation_id: str) -> None:
        allocation = self._allocations.pop(allocation_id, None)
        if allocation is not None:
            allocation.is_released = True
            allocation.notify()
            self._work_available.set()

    def _handle_reserve(self, document: dict) -> message.Response:
        allocation_id = document["reservation"]
        if self.draining or allocation_id in self._tombstones:
            return _make_refusal(503, "draining")
        free = self._settings.memory_tokens - self.held_tokens()
        if document["tokens"] > free:
            return _make_refusal(409, "not enough memory")
        allocation = self._make_allocation(
            allocation_id, document, document["tokens"]
        )
        allocation.is_stream = False
        allocation.is_admitted = True
        self._allocations[allocation_id] = allocation
        return message.make_json_response(200, {})

    async def _handle_prefill(self, document: dict) -> message.Response:
        allocation = self._allocations.get(document["reservation"])
        if allocation is None or not await self._import_kv_parts(document):
            return _make_refusal(409, "unknown reservation or failed KV import")
        allocation.prefill_tokens_left = document["tokens"]
        self._work_available.set()
        while allocation.prefill_tokens_left > 0 and not allocation.is_released:
            await allocation.changed.wait()
        return message.make_json_response(
            409 if allocation.is_released else 200, {}
        )

    def _handle_order(self, document: dict) -> message.Response:
        revision = document["revision"]
        if self._settings.checks_fence:
            newest = max(self.revisions, default=0)
            stale = revision < newest
            if stale or document["generation"] != self._generation:
                return _make_refusal(409, "stale fencing token")
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
        reported_ms, running, waiting, held = self._refresh_load_report()
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
            "age_ms": now_ms - reported_ms,
            "events": events,
            "order_revision": max(self.revisions, default=0),
            "loading": self._loading is not None,
            **self._loaded,
        }
        if "held" in query:
            document["held"] = [
                {
                    "id": allocation.allocation_id,
                    "owner": allocation.owner,
                    "age_ms": now_ms - allocation.started_ms,
                    "lapse_ms": allocation.expiry_ms,
                }
                for allocation in self._allocations.values()
            ]
        return message.make_json_response(200, document)


def _encode_end_event(allocation: states.Allocation) -> bytes:
    document = {
        "stream": allocation.allocation_id,
        "end": "stop",
        "count": allocation.output_tokens,
    }
    return b"data: " + orjson.dumps(document) + b"\n\n"


def _make_refusal(status: int, reason: str) -> message.Response:
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
    flush_ms: Annotated[float, _private.NON_NEGATIVE] = 0.0,
    memory_tokens: int = 400_000,
    step_ms: float = 18.0,
) -> None:
    """Runs one fake engine.

    Args:
        listen: Address to listen at (HOST:PORT).
        flush_ms: Minimum time between two writes of one stream.
        memory_tokens: KV memory.
        step_ms: Duration of a step without any work.
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
