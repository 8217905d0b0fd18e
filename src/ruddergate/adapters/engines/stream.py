"""An engine's stream of tokens, with a check of every event.

    POST /v1/generate            starts a stream
    GET  /v1/streams/ID?after=N  resumes it after the N-th token

The response is a sequence of server-sent events. Each event carries the ID of
its stream and the position of its first token, which reveals late, duplicate,
reordered and misrouted events. The last event carries the number of tokens,
which reveals a truncated answer.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import orjson

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.adapters import _private
from ruddergate.adapters.engines import generation_request
from ruddergate.adapters.engines import load
from ruddergate.adapters.engines import stream_event
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.http import message

_OK = 200
_EVENT_END = b"\n\n"
# Longest event; those of engines hold some hundred bytes.
MAX_EVENT_BYTES = 1 << 20
_DATA = b"data: "


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """How long to wait for an engine.

    Attributes:
        connect_ms: Longest wait for a connection.
        silence_ms: Longest wait for the next data, a token or a keepalive.
    """

    connect_ms: float = 1_000.0
    silence_ms: float = 4_000.0


class Stream:
    """One engine's stream; owned by the task of one attempt.

    Attributes:
        report: Load report in the engine's response headers, or None.
        position: Position of the next token.
    """

    def __init__(
        self,
        exchange: client.Exchange,
        stream_id: str,
        position: int,
        report: load_report.LoadReport | None,
        silence_ms: float,
    ) -> None:
        self.report = report
        self.position = position
        self._exchange = exchange
        self._stream_id = stream_id
        self._silence_ms = silence_ms
        self._buffer = bytearray()
        # Bytes of the buffer that were searched for the end of an event.
        self._searched = 0

    async def next_event(
        self, get_remaining_ms: Callable[[], float]
    ) -> stream_event.Tokens | stream_event.End | outcomes.NotServed:
        """Returns the next tokens, the end, or why the stream failed.

        Args:
            get_remaining_ms: Returns the remaining time limit. It is called
                before each wait, since keepalives may arrive without tokens.
        """
        texts: list[str] = []
        first = self.position
        while True:
            found = self._parse_buffered(texts)
            if found is not None:
                if texts and isinstance(found, stream_event.End):
                    # The tokens are returned first. The end goes back into the
                    # buffer for the next call.
                    self._buffer = bytearray(
                        _encode_end(self._stream_id, found)
                    )
                    self._searched = 0
                    return stream_event.Tokens(first, tuple(texts))
                return found
            if texts:
                return stream_event.Tokens(first, tuple(texts))
            if len(self._buffer) > MAX_EVENT_BYTES:
                return _make_lost(
                    outcomes.Reason.RESPONSE_TOO_LARGE,
                    f"an event exceeds {MAX_EVENT_BYTES} bytes",
                )
            fault = await self._read_more(get_remaining_ms())
            if fault is not None:
                return fault

    def close(self) -> None:
        """Closes the connection; the engine may still hold the stream."""
        self._exchange.close()

    async def _read_more(self, timeout_ms: float) -> outcomes.NotServed | None:
        wait_ms = min(self._silence_ms, timeout_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                data = await self._exchange.read_chunk()
        except TimeoutError:
            if timeout_ms <= self._silence_ms:
                return _make_lost(
                    outcomes.Reason.TIME_LIMIT, "the time limit is exceeded"
                )
            return _make_lost(
                outcomes.Reason.TARGET_LOST,
                "the engine sent no data for too long",
            )
        if isinstance(data, client.Fault):
            return _make_lost(outcomes.Reason.TARGET_LOST, data.detail)
        if not data:
            return _make_lost(
                outcomes.Reason.TARGET_LOST, "the engine's stream was truncated"
            )
        self._buffer += data
        return None

    def _parse_buffered(
        self, texts: list[str]
    ) -> stream_event.End | outcomes.NotServed | None:
        """Appends buffered tokens to `texts`; returns an end or a failure."""
        for event in self._take_events():
            if event.startswith(b":"):
                continue
            found = self._parse_event(event, texts)
            if found is not None:
                return found
        return None

    def _take_events(self) -> list[bytes]:
        """Removes the complete events from the buffer and returns them."""
        # What was searched holds no end, but perhaps the start of one.
        search_from = max(0, self._searched - len(_EVENT_END) + 1)
        end = self._buffer.rfind(_EVENT_END, search_from)
        if end < 0:
            self._searched = len(self._buffer)
            return []
        complete = bytes(self._buffer[:end])
        del self._buffer[: end + len(_EVENT_END)]
        self._searched = len(self._buffer)
        return complete.split(_EVENT_END)

    def _parse_event(
        self, event: bytes, texts: list[str]
    ) -> stream_event.End | outcomes.NotServed | None:
        try:
            document = orjson.loads(event.removeprefix(_DATA))
        except orjson.JSONDecodeError:
            return _make_protocol_error("an event is not valid JSON")
        if _private.get(document, "stream", str, "") != self._stream_id:
            return _make_protocol_error("an event belongs to another stream")
        end = _private.get(document, "end", str, "")
        if end:
            return self._check_end(end, document)
        first = _private.get(document, "first", int, -1)
        tokens = _private.get(document, "tokens", list, [])
        if first < 0 or not all(type(text) is str for text in tokens):
            return _make_protocol_error("an event is malformed")
        if first > self.position:
            return _make_protocol_error("tokens are missing")
        # Tokens before the position arrived earlier; this event is late or a
        # duplicate.
        new_tokens = tokens[self.position - first :]
        texts.extend(new_tokens)
        self.position += len(new_tokens)
        return None

    def _check_end(
        self, end: str, document: object
    ) -> stream_event.End | outcomes.NotServed:
        count = _private.get(document, "count", int, -1)
        if count != self.position:
            return _make_protocol_error(
                f"the stream ended after {self.position} of {count} tokens"
            )
        return stream_event.End(end, count)


def _encode_end(stream_id: str, end: stream_event.End) -> bytes:
    document = {
        "stream": stream_id,
        "end": end.finish_reason,
        "count": end.count,
    }
    return _DATA + orjson.dumps(document) + _EVENT_END


def _make_lost(reason: outcomes.Reason, detail: str) -> outcomes.NotServed:
    return outcomes.NotServed(reason, outcomes.Ran.UNKNOWN, detail)


def _make_protocol_error(detail: str) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.TARGET_BROKE_PROTOCOL, outcomes.Ran.RAN, detail
    )


async def generate(
    env: environment.Environment,
    target: targets.Target,
    generation: generation_request.GenerationRequest,
    timeouts: EngineTimeouts,
    timeout_ms: float,
) -> Stream | outcomes.NotServed:
    """Starts a stream; an outcome with `not_run` guarantees it did not run."""
    request = client.make_json_request(
        "POST", "/v1/generate", _make_document(generation)
    )
    if generation.traceparent:
        headers = {**request.headers, "traceparent": generation.traceparent}
        request = dataclasses.replace(request, headers=headers)
    position = len(generation.delivered)
    return await _open(
        env,
        target,
        request,
        generation.stream_id,
        position,
        timeouts,
        timeout_ms,
    )


async def resume(
    env: environment.Environment,
    target: targets.Target,
    stream_id: str,
    after: int,
    timeouts: EngineTimeouts,
    timeout_ms: float,
) -> Stream | outcomes.NotServed:
    """Resumes a stream that the engine still holds.

    Args:
        env: Clock and streams.
        target: The engine.
        stream_id: ID of the stream.
        after: Number of tokens received so far.
        timeouts: How long to wait for the engine.
        timeout_ms: Remaining time limit.
    """
    request = client.make_json_request(
        "GET", f"/v1/streams/{stream_id}?after={after}"
    )
    return await _open(
        env, target, request, stream_id, after, timeouts, timeout_ms
    )


async def _open(
    env: environment.Environment,
    target: targets.Target,
    request: message.OutgoingRequest,
    stream_id: str,
    position: int,
    timeouts: EngineTimeouts,
    timeout_ms: float,
) -> Stream | outcomes.NotServed:
    connect_ms = min(timeouts.connect_ms, timeout_ms)
    exchange = await client.start(env, target.address, request, connect_ms)
    if isinstance(exchange, client.Fault):
        ran = outcomes.Ran.UNKNOWN if exchange.sent else outcomes.Ran.NOT_RUN
        return outcomes.NotServed(
            outcomes.Reason.TARGET_LOST, ran, exchange.detail
        )
    try:
        head_ms = min(timeouts.silence_ms, timeout_ms)
        async with asyncio.timeout(head_ms / 1000.0):
            fault = await exchange.read_head()
            if fault is None and exchange.status != _OK:
                refusal = await _read_refusal(exchange)
                exchange.close()
                return refusal
    except TimeoutError:
        fault = client.Fault(True, True, "the engine did not respond in time")
    except asyncio.CancelledError:
        exchange.close()
        raise
    if fault is not None:
        exchange.close()
        return _make_lost(outcomes.Reason.TARGET_LOST, fault.detail)
    report = load.parse_header(target.target_id, exchange.headers)
    return Stream(exchange, stream_id, position, report, timeouts.silence_ms)


async def _read_refusal(exchange: client.Exchange) -> outcomes.NotServed:
    body = await exchange.read_all()
    if isinstance(body, client.Fault):
        return _make_lost(outcomes.Reason.TARGET_LOST, body.detail)
    response = client.CompleteResponse(exchange.status, exchange.headers, body)
    document = response.json()
    started = _private.get(document, "started", bool, True)
    ran = outcomes.Ran.UNKNOWN if started else outcomes.Ran.NOT_RUN
    reason = _private.get(document, "reason", str, f"status {exchange.status}")
    return outcomes.NotServed(
        outcomes.Reason.TARGET_REFUSED, ran, f"the engine refused: {reason}"
    )


def _make_document(
    generation: generation_request.GenerationRequest,
) -> dict[str, object]:
    prefix = generation.prefix
    return {
        "stream": generation.stream_id,
        "owner": generation.owner,
        "request": generation.request_id,
        "prompt": generation.prompt,
        "prompt_tokens": generation.prompt_tokens,
        "first_token": generation.first_token,
        "output_tokens_max": generation.output_tokens_max,
        "delivered": generation.delivered,
        "priority": generation.priority,
        "prefix": prefix.name if prefix else "",
        "prefix_tokens": prefix.tokens if prefix else 0,
        "lapse_ms": generation.expiry_age_ms,
        "key": generation.key,
        "reservation": generation.reservation,
        "kv_parts": [
            {"engine": each.address, "reservation": each.reservation}
            for each in generation.kv_parts
        ],
    }
