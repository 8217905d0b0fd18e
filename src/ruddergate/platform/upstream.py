"""Sends requests to targets and reads their responses."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import re
from typing import TypeVar

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.fleet import load_report
from ruddergate.http import body_memory
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.platform import headers
from ruddergate.platform import hints
from ruddergate.relay import event_splitter
from ruddergate.relay import hints as hint_types
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.telemetry import logs

_MISDIRECTED = 421
_REDIRECTION = 300
_OK = 200
# Callers take these for a guarantee that the request has not run.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
# Requests that run and requests that wait; then come the slots.
_LOAD = re.compile(r"(\d{1,9}),(\d{1,9})(?:,|$)", re.ASCII)

# Retry delay after a rejection; the same or another target soon has capacity.
_RETRY_MS = 200.0
# A timer that fires this late means that the process was suspended.
_SUSPENDED_MS = 150.0
# Time to read what arrived while the process was suspended.
_REREAD_MS = 100.0

T = TypeVar("T")


def make_send(
    env: environment.Environment,
    on_hints: hint_types.OnHints,
    memory: body_memory.BodyMemory | None = None,
) -> upstream_requests.Send:
    """Returns the function that sends a request to a target.

    Args:
        env: Clock and streams.
        on_hints: Handles the hints in the responses of targets.
        memory: Bounds the memory of responses that are not streamed.
    """
    bounded_memory = memory or body_memory.BodyMemory()

    async def send(
        upstream_request: upstream_requests.UpstreamRequest,
    ) -> AsyncIterator[response_events.Event]:
        with logs.bind_request(_find_request_id(upstream_request)):
            exchange = await client.connect(
                env,
                upstream_request.target.address,
                upstream_request.timeouts.connect_ms,
            )
        if isinstance(exchange, client.Fault):
            yield _make_target_lost(exchange)
            return
        try:
            refusal = _send_now(env, upstream_request, exchange)
            if refusal is not None:
                yield refusal
                return
            sent_ms = env.now_ms()
            async for event in _read(
                env,
                upstream_request,
                exchange,
                on_hints,
                sent_ms,
                bounded_memory,
            ):
                yield event
        finally:
            exchange.close()

    return send


def _send_now(
    env: environment.Environment,
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
) -> outcomes.NotServed | None:
    """Sends the request if admitted; nothing may run between check and send."""
    if not message.is_field_value(upstream_request.resume_after):
        return _make_protocol_error("the id of the last event is malformed")
    refusal = upstream_request.check_admission()
    if refusal is not None:
        return refusal
    outgoing = _make_outgoing(upstream_request, env.now_ms())
    fault = exchange.try_send(upstream_request.target.address, outgoing)
    return None if fault is None else _make_target_lost(fault)


def _make_outgoing(
    upstream_request: upstream_requests.UpstreamRequest, now_ms: float
) -> message.OutgoingRequest:
    remaining_ms = max(1.0, upstream_request.deadline_ms - now_ms)
    own_headers = {
        headers.TIME_LEFT: str(int(remaining_ms)),
        headers.EXPECTED_TARGET: upstream_request.target.target_id,
        headers.URGENCY: str(upstream_request.urgency),
    }
    if upstream_request.workspace:
        own_headers[headers.WORKSPACE] = message.make_field_value(
            upstream_request.workspace
        )
    if upstream_request.resume_after:
        own_headers[headers.LAST_EVENT] = upstream_request.resume_after
    if upstream_request.helpers:
        own_headers[headers.HELPERS] = ",".join(
            map(_name_helper, upstream_request.helpers)
        )
    payload = upstream_request.payload
    return message.OutgoingRequest(
        payload.method,
        payload.target,
        own_headers,
        payload.body,
        payload.host,
        payload.fields,
    )


def _name_helper(helper: upstream_requests.Helper) -> str:
    if helper.reservation_name:
        return f"{helper.address}/{helper.reservation_name}"
    return str(helper.address)


async def _read(
    env: environment.Environment,
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
    on_hints: hint_types.OnHints,
    sent_ms: float,
    memory: body_memory.BodyMemory,
) -> AsyncIterator[response_events.Event]:
    until_ms = min(
        upstream_request.deadline_ms,
        env.now_ms() + upstream_request.timeouts.first_ms,
    )
    fault = await _wait(exchange.read_head, env, until_ms, upstream_request)
    if isinstance(fault, response_events.TargetSilent):
        yield fault
        until_ms = upstream_request.deadline_ms
        fault = await _wait(exchange.read_head, env, until_ms, upstream_request)
    if fault is not None:
        yield (
            _make_target_lost(fault)
            if isinstance(fault, client.Fault)
            else fault
        )
        return
    on_hints(_read_hints(upstream_request, exchange, sent_ms))
    load = _read_load(upstream_request, exchange)
    if load is not None:
        yield load
    at_fault = _find_helper_at_fault(upstream_request, exchange)
    if at_fault is not None:
        yield response_events.HelperFaultReported(at_fault)
    failure = _check_head(upstream_request, exchange)
    if failure is not None:
        yield failure
        return
    if not upstream_request.payload.route.is_stream or exchange.status != _OK:
        yield await _read_whole(env, upstream_request, exchange, memory)
        return
    async for event in _read_stream(env, upstream_request, exchange, until_ms):
        yield event


async def _wait(
    read: Callable[[], Awaitable[T]],
    env: environment.Environment,
    until_ms: float,
    upstream_request: upstream_requests.UpstreamRequest,
) -> T | response_events.TargetSilent | outcomes.NotServed:
    """Waits until a time; distinguishes the deadline from a silent target.

    A process that was suspended may wake up after that time while the response
    has already arrived, so it reads once more before it reports a silence.
    """
    found = await _read_until(read, env, until_ms)
    late_ms = env.now_ms() - until_ms
    if isinstance(found, _TimedOut) and late_ms > _SUSPENDED_MS:
        reread_until_ms = env.now_ms() + _REREAD_MS
        found = await _read_until(read, env, reread_until_ms)
    if not isinstance(found, _TimedOut):
        return found
    if max(until_ms, env.now_ms()) >= upstream_request.deadline_ms:
        return _make_time_limit()
    return response_events.TargetSilent()


def _make_time_limit() -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.TIME_LIMIT,
        outcomes.Ran.UNKNOWN,
        "the deadline passed before the response was complete",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedOut:
    """Nothing was received in time."""


async def _read_until(
    read: Callable[[], Awaitable[T]],
    env: environment.Environment,
    until_ms: float,
) -> T | _TimedOut:
    remaining_ms = max(0.0, until_ms - env.now_ms())
    try:
        async with asyncio.timeout(remaining_ms / 1000.0):
            return await read()
    except TimeoutError:
        return _TimedOut()


def _make_target_lost(fault: client.Fault) -> outcomes.NotServed:
    if fault.is_too_large:
        return _make_size_error(fault.detail)
    if not fault.sent:
        reason = outcomes.Reason.TARGET_GONE
        if fault.timed_out:
            reason = outcomes.Reason.TARGET_UNREACHABLE
        return outcomes.refuse(reason, fault.detail)
    return outcomes.NotServed(
        outcomes.Reason.TARGET_LOST, outcomes.Ran.UNKNOWN, fault.detail
    )


def _read_hints(
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
    sent_ms: float,
) -> hint_types.Hints:
    return hints.read_hints(
        upstream_request.target,
        exchange.status,
        exchange.fields,
        request_id=_find_request_id(upstream_request),
        is_call=True,
        sent_ms=sent_ms,
    )


def _find_request_id(
    upstream_request: upstream_requests.UpstreamRequest,
) -> str:
    return dict(upstream_request.payload.fields).get(headers.REQUEST_ID, "")


def _read_load(
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
) -> response_events.LoadReported | None:
    found = _LOAD.match(exchange.headers.get(headers.LOAD, ""))
    if found is None:
        return None
    target_id = upstream_request.target.target_id
    return response_events.LoadReported(
        load_report.LoadReport(
            target_id=target_id,
            generation=target_id,
            running=int(found[1]) + int(found[2]),
            waiting_tokens=0,
            held_tokens=0,
            draining=False,
            age_ms=0.0,
            started_ms=upstream_request.target.started_ms,
        )
    )


def _find_helper_at_fault(
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
) -> str | None:
    """Returns the helper that the target reports at fault, by id or address."""
    named = exchange.headers.get(headers.AT_FAULT, "")
    for helper in upstream_request.helpers:
        if named in (helper.target_id, str(helper.address)):
            return helper.target_id
    return None


def _check_head(
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
) -> outcomes.NotServed | None:
    """Returns a failure if the response can't be one to this request."""
    response_headers = exchange.headers
    if exchange.status == _MISDIRECTED:
        return outcomes.refuse(
            outcomes.Reason.TARGET_REPLACED,
            f"another target serves at this address ({exchange.status})",
            _RETRY_MS,
        )
    if headers.NOT_RUN in response_headers:
        return outcomes.refuse(
            outcomes.Reason.TARGET_REFUSED,
            f"the target rejected the request with {exchange.status}",
            _RETRY_MS,
        )
    if exchange.status in _NOT_RUN_STATUSES:
        return outcomes.NotServed(
            outcomes.Reason.TARGET_REFUSED,
            outcomes.Ran.UNKNOWN,
            f"the target answered {exchange.status}, and may have run it",
        )
    sent_id = _find_request_id(upstream_request)
    echoed_id = response_headers.get(headers.REQUEST_ID)
    if echoed_id is not None and echoed_id != sent_id:
        return _make_protocol_error("the response belongs to another request")
    is_success = _OK <= exchange.status < _REDIRECTION
    if is_success and headers.SIGNATURE not in response_headers:
        return _make_protocol_error("the response has no signature")
    return None


def _make_size_error(detail: str) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.RESPONSE_TOO_LARGE, outcomes.Ran.UNKNOWN, detail
    )


def _make_protocol_error(detail: str) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.TARGET_BROKE_PROTOCOL, outcomes.Ran.UNKNOWN, detail
    )


async def _read_whole(
    env: environment.Environment,
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
    memory: body_memory.BodyMemory,
) -> response_events.Event:
    # What was read of a body is lost when reading times out, so there is no
    # second read as in `_wait`.
    body = await _read_until(
        lambda: exchange.read_all(memory), env, upstream_request.deadline_ms
    )
    if isinstance(body, _TimedOut):
        return _make_time_limit()
    if isinstance(body, client.Fault):
        return _make_target_lost(body)
    fields = headers.select_for_caller(exchange.fields)
    return response_events.CompleteResponse(exchange.status, fields, body)


async def _read_stream(
    env: environment.Environment,
    upstream_request: upstream_requests.UpstreamRequest,
    exchange: client.Exchange,
    until_ms: float,
) -> AsyncIterator[response_events.Event]:
    splitter = event_splitter.EventSplitter()
    has_begun = False
    while True:
        chunk = await _wait_for_chunk(exchange, env, until_ms, upstream_request)
        if isinstance(chunk, response_events.TargetSilent):
            yield chunk
            until_ms = upstream_request.deadline_ms
            continue
        if isinstance(chunk, outcomes.NotServed):
            yield chunk
            return
        if not (chunk or has_begun or exchange.is_framed):
            # The target may have crashed before the first event.
            yield _make_stream_lost("the stream ended without any event")
            return
        events = splitter.feed(chunk) if chunk else splitter.take_blank_rest()
        if splitter.is_too_long():
            yield _make_size_error(
                f"an event exceeds {event_splitter.MAX_EVENT_BYTES} bytes"
            )
            return
        if chunk and events is None:
            continue
        if not has_begun:
            has_begun = True
            fields = headers.select_for_caller(exchange.fields)
            yield response_events.StreamHead(exchange.status, fields)
        if events is not None:
            yield events
        if not chunk:
            yield _end_stream(splitter)
            return
        until_ms = min(
            upstream_request.deadline_ms,
            env.now_ms() + upstream_request.timeouts.gap_ms,
        )


async def _wait_for_chunk(
    exchange: client.Exchange,
    env: environment.Environment,
    until_ms: float,
    upstream_request: upstream_requests.UpstreamRequest,
) -> bytes | response_events.TargetSilent | outcomes.NotServed:
    """Returns the next bytes of a response; none at its end."""
    chunk = await _wait(exchange.read_chunk, env, until_ms, upstream_request)
    if isinstance(chunk, client.Fault):
        return _make_target_lost(chunk)
    return chunk


def _end_stream(
    splitter: event_splitter.EventSplitter,
) -> response_events.StreamEnd | outcomes.NotServed:
    if splitter.is_between_events():
        return response_events.StreamEnd()
    return _make_stream_lost("the stream ended within an event")


def _make_stream_lost(detail: str) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.TARGET_LOST, outcomes.Ran.UNKNOWN, detail
    )
