"""One attempt to have a prompt answered by one engine."""

import asyncio
from collections.abc import AsyncIterator

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.engines import generation_request
from ruddergate.adapters.engines import stream as streams
from ruddergate.adapters.engines import stream_event
from ruddergate.decisions import length_band
from ruddergate.entry import canceller
from ruddergate.entry import context as contexts
from ruddergate.entry import scheduler_messages

# How long after the deadline the canceller goes on; then the agents' sweep
# frees what is left.
_CANCEL_AFTER_DEADLINE_MS = 30_000.0
_RESUME_TIMEOUT_MS = 1_000.0

Event = stream_event.Tokens | outcomes.Finished | outcomes.NotServed


async def run(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    delivered: tuple[str, ...],
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    """Yields the engine's tokens after those delivered, then the outcome."""
    placement = grant.placements[0]
    generation = make_generation(request, placement, delivered, context)
    async for event in run_generation(request, placement, generation, context):
        yield event


def make_generation(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    delivered: tuple[str, ...],
    context: contexts.EntryContext,
    kv_parts: tuple[generation_request.KvPart, ...] = (),
    reservation: str = "",
    first_token: int = 0,
) -> generation_request.GenerationRequest:
    """Returns the generation request of this attempt."""
    key = request.idempotency_key if request.workload.pool.checks_key else ""
    return generation_request.GenerationRequest(
        stream_id=make_stream_id(placement, context),
        owner=context.owner,
        request_id=request.request_id,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens,
        first_token=first_token,
        output_tokens_max=request.output_tokens_max,
        delivered=delivered,
        priority=_make_priority(request, context),
        prefix=request.prefix,
        expiry_age_ms=request.remaining_ms(context.env.now_ms()),
        key=key,
        reservation=reservation,
        kv_parts=kv_parts,
        traceparent=request.traceparent,
    )


def _make_priority(
    request: requests.Request, context: contexts.EntryContext
) -> int:
    """Returns a priority by class and, within a class, by prompt length."""
    rank = request.workload.priority.rank
    if not context.scheduler.shorter_first():
        return rank * length_band.BANDS
    band = length_band.find_band(request.prompt_tokens)
    return rank * length_band.BANDS + length_band.BANDS - 1 - band


def make_stream_id(
    placement: scheduler_messages.Placement, context: contexts.EntryContext
) -> str:
    """Returns a stream id for an attempt that is unique across VMs."""
    return (
        f"{context.config.vm_id}.{context.incarnation}.{placement.attempt_id}"
    )


async def run_generation(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    generation: generation_request.GenerationRequest,
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    """Runs a generation to its end; cancels it on any other exit."""
    has_ended = False
    is_target_fault = False
    has_started = False
    try:
        with context.tracer.span("attempt", request.traceparent):
            async for event in _read_events(
                request, placement, generation, context
            ):
                if isinstance(event, stream_event.Tokens) and not has_started:
                    has_started = True
                    _note_first_token(request, placement, context)
                if isinstance(event, outcomes.NotServed):
                    is_target_fault = (
                        event.reason is not outcomes.Reason.TIME_LIMIT
                    )
                    has_ended = event.ran is outcomes.Ran.NOT_RUN
                elif isinstance(event, outcomes.Finished):
                    has_ended = True
                yield event
    finally:
        context.scheduler.post(
            scheduler_messages.AttemptEnded(placement, is_target_fault)
        )
        if not has_ended:
            cancel_in_background(
                request, placement, generation.stream_id, context
            )


def cancel_in_background(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    item_id: str,
    context: contexts.EntryContext,
) -> None:
    """Has the canceller free a stream or reservation on an engine."""
    until_ms = request.deadline_ms + _CANCEL_AFTER_DEADLINE_MS
    context.canceller.post(
        canceller.Cancel(placement.target, item_id, until_ms)
    )


def _note_first_token(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    context: contexts.EntryContext,
) -> None:
    prefix = request.prefix
    context.scheduler.post(
        scheduler_messages.FirstToken(
            placement,
            prefix.name if prefix else "",
            prefix.tokens if prefix else 0,
        )
    )


async def _read_events(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    generation: generation_request.GenerationRequest,
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    stream = await streams.generate(
        context.env,
        placement.target,
        generation,
        context.config.engine_timeouts,
        request.remaining_ms(context.env.now_ms()),
    )
    can_resume = True
    while True:
        if isinstance(stream, outcomes.NotServed):
            yield stream
            return
        if stream.report is not None:
            context.scheduler.post(
                scheduler_messages.LoadReported(stream.report)
            )
        failure: outcomes.NotServed | None = None
        try:
            async for event in _read_parts(request, stream, context):
                if isinstance(event, outcomes.NotServed):
                    failure = event
                else:
                    yield event
        finally:
            stream.close()
        if failure is None:
            return
        if not can_resume or not _is_resumable(failure):
            yield failure
            return
        can_resume = False
        stream = await _resume(
            request, placement, generation, stream, failure, context
        )


def _is_resumable(failure: outcomes.NotServed) -> bool:
    return failure.reason is outcomes.Reason.TARGET_LOST


async def _resume(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    generation: generation_request.GenerationRequest,
    stream: streams.Stream,
    failure: outcomes.NotServed,
    context: contexts.EntryContext,
) -> streams.Stream | outcomes.NotServed:
    """Resumes the stream where it broke off, or returns the failure."""
    left_ms = request.remaining_ms(context.env.now_ms())
    wait_ms = min(left_ms, _RESUME_TIMEOUT_MS)
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            resumed = await streams.resume(
                context.env,
                placement.target,
                generation.stream_id,
                stream.position,
                context.config.engine_timeouts,
                wait_ms,
            )
    except TimeoutError:
        return failure
    if isinstance(resumed, outcomes.NotServed):
        return failure
    return resumed


async def _read_parts(
    request: requests.Request,
    stream: streams.Stream,
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    def left_ms() -> float:
        return request.remaining_ms(context.env.now_ms())

    while True:
        event = await stream.next_event(left_ms)
        if isinstance(event, stream_event.End):
            yield outcomes.Finished(event.count, event.finish_reason)
            return
        yield event
        if isinstance(event, outcomes.NotServed):
            return
