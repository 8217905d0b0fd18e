"""Sends the requests of a trace over HTTP and records their outcomes."""

import asyncio
from collections.abc import Callable
import dataclasses

import orjson

from ruddergate import environment
from ruddergate.experiments import outcome as outcomes
from ruddergate.experiments import trace
from ruddergate.http import client
from ruddergate.http import message

# A caller waits this long beyond its time limit.
RESPONSE_GRACE_MS = 2_000.0
_CONNECT_MS = 1_000.0
_EVENT_END = b"\n\n"
_BYTES_PER_TOKEN = 4
_FILLER = "the lease of the flat, clause by clause; "


@dataclasses.dataclass(slots=True)
class _Received:
    """What has been received of a response so far."""

    text: str = ""
    tokens: int = -1
    ttft_ms: float | None = None
    error: dict | None = None
    is_complete: bool = False


def make_prompt(request: trace.TracedRequest, full_size: bool) -> str:
    """Returns a prompt text that starts with the request's ID."""
    if not full_size:
        return request.id
    length = request.prompt_tokens * _BYTES_PER_TOKEN
    repeats = length // len(_FILLER) + 1
    return f"{request.id} {_FILLER * repeats}"[:length]


def make_request(
    request: trace.TracedRequest,
    key: str,
    idempotency_key: str,
    key_age_ms: float,
    full_size: bool = False,
) -> message.OutgoingRequest:
    """Returns the HTTP request for a request of a trace.

    Args:
        request: The request of the trace.
        key: The workspace's key.
        idempotency_key: Idempotency key shared by all resends, or empty.
        key_age_ms: Time since the idempotency key was first used.
        full_size: Whether the prompt has as many bytes as its tokens need;
            otherwise it is just the request's ID.
    """
    headers = {
        "authorization": f"Bearer {key}",
        "ruddergate-workload": request.workload,
        "ruddergate-time-limit-ms": f"{request.time_limit_ms:.0f}",
        "ruddergate-repeatable": "yes" if request.repeatable else "no",
        "content-type": message.JSON_TYPE,
    }
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
        headers["ruddergate-key-age-ms"] = f"{key_age_ms:.0f}"
    prompt = make_prompt(request, full_size)
    if not request.prompt_tokens:
        path = f"/services/{request.workload}/call"
        return message.OutgoingRequest("POST", path, headers, prompt.encode())
    headers["ruddergate-prompt-tokens"] = str(request.prompt_tokens)
    if request.prefix:
        prefix = f"{request.prefix};tokens={request.prefix_tokens}"
        headers["ruddergate-prefix"] = prefix
    document = {
        "prompt": prompt,
        "max_tokens": max(1, request.output_tokens),
        "stream": True,
    }
    body = orjson.dumps(document)
    return message.OutgoingRequest("POST", "/v1/completions", headers, body)


async def send(
    env: environment.Environment,
    address: environment.Address,
    request: trace.TracedRequest,
    outgoing: message.OutgoingRequest,
    is_correct: Callable[[str], bool],
) -> outcomes.TracedOutcome | None:
    """Sends a request; returns None if the entry could not be reached.

    Args:
        env: Clock and streams.
        address: Address of the entry.
        request: The request of the trace.
        outgoing: Its HTTP request.
        is_correct: Returns whether the text of a complete answer is correct.
    """
    began_ms = env.now_ms()
    exchange = await client.start(env, address, outgoing, _CONNECT_MS)
    if isinstance(exchange, client.Fault):
        return None
    received = _Received()
    wait_ms = request.time_limit_ms + RESPONSE_GRACE_MS
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            await _receive(exchange, env, began_ms, received)
    except TimeoutError:
        received.error = {"reason": "no_answer", "ran": "unknown"}
    finally:
        exchange.close()
    total_ms = env.now_ms() - began_ms
    return _make_outcome(request, received, total_ms, is_correct)


def make_unsent_outcome(request: trace.TracedRequest) -> outcomes.TracedOutcome:
    """Returns the outcome of a request that could be sent to no entry."""
    error = {"reason": "no_entry", "ran": "not_run"}
    received = _Received(error=error)
    return _make_outcome(request, received, 0.0, lambda _: False)


async def _receive(
    exchange: client.Exchange,
    env: environment.Environment,
    began_ms: float,
    received: _Received,
) -> None:
    fault = await exchange.read_head()
    if fault is not None:
        received.error = {"reason": "connection_lost", "ran": "unknown"}
        return
    is_stream = exchange.headers.get("content-type", "").startswith(
        message.EVENT_STREAM_TYPE
    )
    if not is_stream:
        await _receive_full(exchange, env, began_ms, received)
        return
    buffer = b""
    while True:
        chunk = await exchange.read_chunk()
        if isinstance(chunk, client.Fault) or not chunk:
            if not received.is_complete and received.error is None:
                received.error = {"reason": "connection_lost", "ran": "unknown"}
            return
        *events, buffer = (buffer + chunk).split(_EVENT_END)
        for event in events:
            _apply_event(event, received, env.now_ms() - began_ms)


async def _receive_full(
    exchange: client.Exchange,
    env: environment.Environment,
    began_ms: float,
    received: _Received,
) -> None:
    body = await exchange.read_all()
    if isinstance(body, client.Fault):
        received.error = {"reason": "connection_lost", "ran": "unknown"}
        return
    if exchange.status != 200:
        try:
            received.error = orjson.loads(body)
        except orjson.JSONDecodeError:
            received.error = {"reason": "malformed", "ran": "unknown"}
        return
    received.ttft_ms = env.now_ms() - began_ms
    received.text = body.decode()
    received.is_complete = True


def _apply_event(event: bytes, received: _Received, elapsed_ms: float) -> None:
    data = event.removeprefix(b"data: ")
    if data == b"[DONE]":
        received.is_complete = received.tokens >= 0
        return
    document = orjson.loads(data)
    if "error" in document:
        received.error = document["error"]
        return
    text = document["choices"][0]["text"]
    if text and received.ttft_ms is None:
        received.ttft_ms = elapsed_ms
    received.text += text
    if "usage" in document:
        received.tokens = document["usage"]["completion_tokens"]


def _make_outcome(
    request: trace.TracedRequest,
    received: _Received,
    total_ms: float,
    is_correct: Callable[[str], bool],
) -> outcomes.TracedOutcome:
    error = received.error
    status = "finished"
    if error is not None:
        status = "refused" if error["ran"] == "not_run" else "failed"
    return outcomes.TracedOutcome(
        id=request.id,
        status=status,
        ran=error["ran"] if error else "ran",
        reason=error["reason"] if error else "",
        ttft_ms=None
        if received.ttft_ms is None
        else round(received.ttft_ms, 3),
        total_ms=round(total_ms, 3),
        answer_ok=error is None and is_correct(received.text),
        executions=-1,
        prompt_tokens=request.prompt_tokens,
        workspace=request.workspace,
        workload=request.workload,
        time_limit_ms=request.time_limit_ms,
        retry_after_ms=error.get("retry_after_ms") if error else None,
    )
