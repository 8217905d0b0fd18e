"""Runs one prompt on engines, with retries, until it has an outcome."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.engines import stream_event as parts
from ruddergate.decisions import cost as costs
from ruddergate.decisions import gangs
from ruddergate.decisions import length_band
from ruddergate.decisions import queueing
from ruddergate.decisions import retries
from ruddergate.decisions.routing import job as jobs
from ruddergate.entry import attempt
from ruddergate.entry import context as contexts
from ruddergate.entry import gang_attempt
from ruddergate.entry import scheduler_messages

_MEMORY_RACE_PAUSE_MS = (500.0, 2_000.0)

Event = parts.Tokens | outcomes.Finished | outcomes.NotServed


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of a request over all its attempts.

    Attributes:
        delivered: Tokens that the caller has, as texts.
        ran: Whether any attempt ran the request, as far as known.
        attempts: Number of attempts.
        excluded: Ids of targets that have failed the request.
    """

    delivered: list[str]
    ran: outcomes.Ran
    attempts: int
    excluded: frozenset[str]


async def run(
    request: requests.Request, context: contexts.EntryContext
) -> AsyncIterator[Event]:
    """Yields tokens in order, each once, and last the outcome."""
    progress = _Progress([], outcomes.Ran.NOT_RUN, 0, frozenset())
    context.budget.note_first_attempt()
    while True:
        grant = await _place(request, progress, context)
        if isinstance(grant, outcomes.NotServed):
            yield _with_combined_ran(grant, progress)
            return
        progress.attempts += 1
        run_once = (
            gang_attempt.run if len(grant.placements) > 1 else attempt.run
        )
        outcome: outcomes.Finished | outcomes.NotServed | None = None
        async for event in run_once(
            request, grant, tuple(progress.delivered), context
        ):
            if isinstance(event, parts.Tokens):
                progress.delivered.extend(event.texts)
                yield event
            else:
                outcome = event
        if isinstance(outcome, outcomes.Finished):
            yield outcome
            return
        final = await _conclude_or_retry(
            request, grant, outcome, progress, context
        )
        if final is not None:
            yield final
            return


async def _conclude_or_retry(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    outcome: outcomes.NotServed,
    progress: _Progress,
    context: contexts.EntryContext,
) -> outcomes.NotServed | None:
    """Returns the final outcome, or None after the delay before a retry."""
    context.metrics.failed_attempts.inc({"result": outcome.reason.value})
    if _lost_memory_race(grant, outcome):
        # Another gang reserved the memory first. No work was lost, and queueing
        # again costs the engines nothing.
        pause_ms = context.env.random.uniform(*_MEMORY_RACE_PAUSE_MS)
        await asyncio.sleep(pause_ms / 1000.0)
        return None
    progress.ran = combine_ran(progress.ran, outcome.ran)
    failed = {placement.target.target_id for placement in grant.placements}
    progress.excluded = progress.excluded | failed
    now_ms = context.env.now_ms()
    predicted = _predict(request, progress)
    decided = retries.decide(
        outcome,
        request.repeatable,
        progress.attempts,
        request.remaining_ms(now_ms),
        predicted.unloaded_ms,
        context.budget,
        context.env.random,
    )
    if isinstance(decided, outcomes.NotServed):
        return _with_combined_ran(decided, progress)
    await asyncio.sleep(decided.delay_ms / 1000.0)
    return None


async def _place(
    request: requests.Request,
    progress: _Progress,
    context: contexts.EntryContext,
) -> scheduler_messages.PlacementGrant | outcomes.NotServed:
    now_ms = context.env.now_ms()
    pool = request.workload.pool
    segments: tuple[gangs.Segment, ...] = ()
    output_tokens = request.output_tokens_max
    if gangs.needs_gang(
        request.prompt_tokens, output_tokens, pool.memory_tokens
    ):
        planned = _plan_gang(request)
        if isinstance(planned, outcomes.NotServed):
            return planned
        segments = planned
    cost = _predict(request, progress)
    band = length_band.find_band(request.prompt_tokens)
    prefix = request.prefix
    placement_request = scheduler_messages.PlacementRequest(
        job=queueing.Job(
            job_id=f"{request.request_id}.{progress.attempts}",
            priority=request.workload.priority,
            workspace=request.workload.workspace,
            weight=request.workload.weight,
            lane=queueing.Lane(pool.name, band),
            cost_ms=cost.engine_ms,
            unloaded_ms=cost.unloaded_ms,
            deadline_ms=request.deadline_ms,
        ),
        routing_job=jobs.Job(
            prompt_tokens=request.prompt_tokens,
            held_tokens=cost.held_tokens,
            prefix=prefix.name if prefix else "",
            prefix_tokens=prefix.tokens if prefix else 0,
            is_long=band >= length_band.LONG_BAND,
            waited_ms=now_ms,
        ),
        pool=pool,
        segments=segments,
        excluded=progress.excluded,
        reply=asyncio.get_running_loop().create_future(),
    )
    return await place_before_deadline(request, placement_request, context)


async def place_before_deadline(
    request: requests.Request,
    placement_request: scheduler_messages.PlacementRequest,
    context: contexts.EntryContext,
) -> scheduler_messages.PlacementGrant | outcomes.NotServed:
    """Waits for a target until the request's deadline."""
    left_ms = request.remaining_ms(context.env.now_ms())
    try:
        async with asyncio.timeout(left_ms / 1000.0):
            return await context.scheduler.place(placement_request)
    except TimeoutError:
        return outcomes.refuse(
            outcomes.Reason.TIME_LIMIT, "the time limit passed in the queue"
        )


def _plan_gang(
    request: requests.Request,
) -> tuple[gangs.Segment, ...] | outcomes.NotServed:
    pool = request.workload.pool
    planned = gangs.plan_segments(
        request.prompt_tokens,
        request.output_tokens_max,
        pool.memory_tokens,
        pool.gang_engines_max,
    )
    if planned is None or not pool.exports_kv:
        return outcomes.refuse(
            outcomes.Reason.PROMPT_TOO_LONG,
            f"pool {pool.name} has no memory for a prompt of this length",
        )
    return planned


def _predict(request: requests.Request, progress: _Progress) -> costs.Cost:
    done = len(progress.delivered)
    return costs.predict(
        request.workload.pool,
        request.prompt_tokens + done,
        0,
        max(1, request.output_tokens_expected - done),
    )


def _with_combined_ran(
    outcome: outcomes.NotServed, progress: _Progress
) -> outcomes.NotServed:
    """Returns the outcome with `ran` combined over all attempts."""
    ran = combine_ran(progress.ran, outcome.ran)
    return dataclasses.replace(outcome, ran=ran)


def _lost_memory_race(
    grant: scheduler_messages.PlacementGrant, outcome: outcomes.NotServed
) -> bool:
    return (
        len(grant.placements) > 1
        and outcome.ran is outcomes.Ran.NOT_RUN
        and outcome.reason is outcomes.Reason.TARGET_REFUSED
    )


def combine_ran(first: outcomes.Ran, second: outcomes.Ran) -> outcomes.Ran:
    """Returns whether either of two attempts ran, as far as known."""
    for ran in (outcomes.Ran.RAN, outcomes.Ran.UNKNOWN):
        if ran in (first, second):
            return ran
    return outcomes.Ran.NOT_RUN
