"""One attempt to have a request answered by one engine."""

import asyncio
from collections.abc import AsyncIterator

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.engines import generation as generations
from ruddergate.adapters.engines import part as parts
from ruddergate.adapters.engines import stream as streams
from ruddergate.decisions import length_band
from ruddergate.entry import canceller
from ruddergate.entry import scheduler_messages
from ruddergate.entry import tools as tool_types

# After the time limit the agents' sweep takes over from the canceller.
_CANCEL_BEYOND_MS = 30_000.0
_RESUME_TIMEOUT_MS = 1_000.0

Event = parts.Tokens | outcomes.Finished | outcomes.NotServed


async def run(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    delivered: tuple[str, ...],
    tools: tool_types.Tools,
) -> AsyncIterator[Event]:
    """Yields the engine's tokens behind those delivered, then the outcome."""
    placement = grant.placements[0]
    wanted = make_generation(request, placement, delivered, tools)
    async for event in follow(request, placement, wanted, tools):
        yield event


def make_generation(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    delivered: tuple[str, ...],
    tools: tool_types.Tools,
    kv_parts: tuple[generations.KvPart, ...] = (),
    reservation: str = "",
    first_token: int = 0,
) -> generations.Generation:
    """Returns what an engine is asked for in this attempt."""
    key = request.idempotency_key if request.workload.pool.checks_key else ""
    return generations.Generation(
        stream_id=make_stream_id(placement, tools),
        owner=tools.owner,
        request_id=request.request_id,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens,
        first_token=first_token,
        output_tokens_max=request.output_tokens_max,
        delivered=delivered,
        priority=_make_priority(request, tools),
        prefix=request.prefix,
        lapse_ms=request.remaining_ms(tools.outside.now_ms()),
        key=key,
        reservation=reservation,
        kv_parts=kv_parts,
        traceparent=request.traceparent,
    )


def _make_priority(request: requests.Request, tools: tool_types.Tools) -> int:
    """Puts the class first and, inside it, the shorter prompt."""
    rank = request.workload.priority.rank
    if not tools.scheduler.shorter_first():
        return rank * length_band.BANDS
    band = length_band.find_band(request.prompt_tokens)
    return rank * length_band.BANDS + length_band.BANDS - 1 - band


def make_stream_id(
    placement: scheduler_messages.Placement, tools: tool_types.Tools
) -> str:
    """Returns the name of an attempt, unlike that of any other VM's."""
    return f"{tools.config.vm_id}.{tools.incarnation}.{placement.attempt_id}"


async def follow(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    wanted: generations.Generation,
    tools: tool_types.Tools,
) -> AsyncIterator[Event]:
    """Runs a generation to its end; frees the engine on any other exit."""
    ended = False
    failed = False
    started = False
    try:
        with tools.tracer.span("attempt", request.traceparent):
            async for event in _read(request, placement, wanted, tools):
                if isinstance(event, parts.Tokens) and not started:
                    started = True
                    _note_first_token(request, placement, tools)
                if isinstance(event, outcomes.NotServed):
                    failed = event.reason is not outcomes.Reason.TIME_LIMIT
                    ended = event.ran is outcomes.Ran.NOT_RUN
                elif isinstance(event, outcomes.Finished):
                    ended = True
                yield event
    finally:
        tools.scheduler.post(scheduler_messages.AttemptEnded(placement, failed))
        if not ended:
            cancel_later(request, placement, wanted.stream_id, tools)


def cancel_later(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    item_id: str,
    tools: tool_types.Tools,
) -> None:
    """Has the canceller free something on an engine."""
    until_ms = request.deadline_ms + _CANCEL_BEYOND_MS
    tools.canceller.post(canceller.Cancel(placement.target, item_id, until_ms))


def _note_first_token(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    tools: tool_types.Tools,
) -> None:
    prefix = request.prefix
    tools.scheduler.post(
        scheduler_messages.FirstToken(
            placement,
            prefix.name if prefix else "",
            prefix.tokens if prefix else 0,
        )
    )


async def _read(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    wanted: generations.Generation,
    tools: tool_types.Tools,
) -> AsyncIterator[Event]:
    stream = await streams.generate(
        tools.outside,
        placement.target,
        wanted,
        tools.config.patience,
        request.remaining_ms(tools.outside.now_ms()),
    )
    may_resume = True
    while True:
        if isinstance(stream, outcomes.NotServed):
            yield stream
            return
        if stream.report is not None:
            tools.scheduler.post(scheduler_messages.LoadReported(stream.report))
        broken: outcomes.NotServed | None = None
        try:
            async for event in _drain(request, stream, tools):
                if isinstance(event, outcomes.NotServed):
                    broken = event
                else:
                    yield event
        finally:
            stream.close()
        if broken is None:
            return
        if not may_resume or not _is_resumable(broken):
            yield broken
            return
        may_resume = False
        stream = await _resume(
            request, placement, wanted, stream, broken, tools
        )


def _is_resumable(broken: outcomes.NotServed) -> bool:
    return broken.reason is outcomes.Reason.TARGET_LOST


async def _resume(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    wanted: generations.Generation,
    stream: streams.Stream,
    broken: outcomes.NotServed,
    tools: tool_types.Tools,
) -> streams.Stream | outcomes.NotServed:
    """Takes the stream up where it broke, or returns why it broke."""
    left_ms = request.remaining_ms(tools.outside.now_ms())
    wait_ms = min(left_ms, _RESUME_TIMEOUT_MS)
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            resumed = await streams.resume(
                tools.outside,
                placement.target,
                wanted.stream_id,
                stream.position,
                tools.config.patience,
                wait_ms,
            )
    except TimeoutError:
        return broken
    if isinstance(resumed, outcomes.NotServed):
        return broken
    return resumed


async def _drain(
    request: requests.Request,
    stream: streams.Stream,
    tools: tool_types.Tools,
) -> AsyncIterator[Event]:
    def left_ms() -> float:
        return request.remaining_ms(tools.outside.now_ms())

    while True:
        found = await stream.next_part(left_ms)
        if isinstance(found, parts.End):
            yield outcomes.Finished(found.count, found.finish_reason)
            return
        yield found
        if isinstance(found, outcomes.NotServed):
            return
