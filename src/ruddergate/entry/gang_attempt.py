"""One attempt at a prompt larger than one engine's memory.

Memory is reserved on every engine of the gang, all or nothing and in one
global order; each reservation expires by itself. Each engine then prefills its
segment, importing the KV cache of those before it, and the last one generates.
All reservations are released on any exit.
"""

from collections.abc import AsyncIterator

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.engines import control
from ruddergate.adapters.engines import generation_request
from ruddergate.adapters.engines import stream_event as parts
from ruddergate.decisions import gangs
from ruddergate.entry import attempt
from ruddergate.entry import context as contexts
from ruddergate.entry import scheduler_messages

_RESERVE_TIMEOUT_MS = 2_000.0

Event = parts.Tokens | outcomes.Finished | outcomes.NotServed


async def run(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    delivered: tuple[str, ...],
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    """Yields the gang's tokens after those delivered, then the outcome."""
    pool = request.workload.pool
    segments = gangs.plan_segments(
        request.prompt_tokens,
        request.output_tokens_max,
        pool.memory_tokens,
        pool.gang_engines_max,
    )
    faulted: set[str] = set()
    try:
        failure = await _reserve_segments(request, grant, segments, context)
        if failure is None:
            failure = await _prefill_segments(
                request, grant, segments, context, faulted
            )
        if failure is not None:
            yield failure
            return
        first_token = segments[-1].first_token
        async for event in _generate(
            request, grant, delivered, first_token, context
        ):
            yield event
    finally:
        for placement in grant.placements:
            is_target_fault = placement.target.target_id in faulted
            context.scheduler.post(
                scheduler_messages.AttemptEnded(placement, is_target_fault)
            )
            reservation = _make_reservation_id(placement, context)
            attempt.cancel_in_background(
                request, placement, reservation, context
            )


async def _reserve_segments(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    segments: tuple[gangs.Segment, ...],
    context: contexts.EntryContext,
) -> outcomes.NotServed | None:
    for placement, segment in zip(grant.placements, segments, strict=True):
        left_ms = request.remaining_ms(context.env.now_ms())
        answer = await control.reserve(
            context.env,
            placement.target,
            _make_reservation_id(placement, context),
            context.owner,
            segment.held_tokens,
            left_ms,
            min(left_ms, _RESERVE_TIMEOUT_MS),
        )
        if not isinstance(answer, control.Done):
            # A reservation runs nothing, whether or not it took effect.
            return outcomes.refuse(
                outcomes.Reason.TARGET_REFUSED,
                f"{placement.target.target_id} could not reserve memory",
                1_000.0,
            )
    return None


async def _prefill_segments(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    segments: tuple[gangs.Segment, ...],
    context: contexts.EntryContext,
    faulted: set[str],
) -> outcomes.NotServed | None:
    """Prefills all segments but the last, which is part of the generation."""
    for index, segment in enumerate(segments[:-1]):
        placement = grant.placements[index]
        answer = await control.prefill(
            context.env,
            placement.target,
            _make_reservation_id(placement, context),
            segment,
            _make_kv_parts(grant.placements[:index], context),
            request.remaining_ms(context.env.now_ms()),
        )
        if isinstance(answer, control.Done):
            context.scheduler.post(
                scheduler_messages.FirstToken(placement, "", 0)
            )
            continue
        if request.remaining_ms(context.env.now_ms()) <= 0.0:
            reason = outcomes.Reason.TIME_LIMIT
        else:
            reason = outcomes.Reason.TARGET_LOST
            faulted.add(placement.target.target_id)
        # Prefill yields no answer, but the target may have done the work.
        return outcomes.NotServed(
            reason, outcomes.Ran.UNKNOWN, "a segment could not be prefilled"
        )
    return None


async def _generate(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    delivered: tuple[str, ...],
    first_token: int,
    context: contexts.EntryContext,
) -> AsyncIterator[Event]:
    last = grant.placements[-1]
    generation = attempt.make_generation(
        request,
        last,
        delivered,
        context,
        _make_kv_parts(grant.placements[:-1], context),
        _make_reservation_id(last, context),
        first_token,
    )
    async for event in attempt.run_generation(
        request, last, generation, context
    ):
        yield event


def _make_kv_parts(
    placements: tuple[scheduler_messages.Placement, ...],
    context: contexts.EntryContext,
) -> tuple[generation_request.KvPart, ...]:
    return tuple(
        generation_request.KvPart(
            str(placement.target.address),
            _make_reservation_id(placement, context),
        )
        for placement in placements
    )


def _make_reservation_id(
    placement: scheduler_messages.Placement, context: contexts.EntryContext
) -> str:
    """Returns the reservation id, which differs from the stream id."""
    return f"{attempt.make_stream_id(placement, context)}.part"
