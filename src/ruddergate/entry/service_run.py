"""Runs one call of a plain service, with retries where they are allowed."""

import asyncio

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.services import call as service_calls
from ruddergate.decisions import queueing
from ruddergate.decisions import retries
from ruddergate.decisions.routing import job as jobs
from ruddergate.entry import context as contexts
from ruddergate.entry import model_run
from ruddergate.entry import scheduler_messages

# Assumed cost of a service call, in milliseconds.
_CALL_COST_MS = 20.0


async def run(
    request: requests.Request, context: contexts.EntryContext
) -> service_calls.ServiceResponse | outcomes.NotServed:
    """Returns the service's whole answer, or the outcome."""
    ran = outcomes.Ran.NOT_RUN
    excluded: frozenset[str] = frozenset()
    attempts = 0
    context.budget.note_first_attempt()
    while True:
        grant = await _place(request, attempts, excluded, context)
        if isinstance(grant, outcomes.NotServed):
            return _with_ran(grant, ran)
        attempts += 1
        placement = grant.placements[0]
        answer = await _call(request, placement, context)
        if isinstance(answer, service_calls.ServiceResponse):
            return answer
        ran = model_run.combine_ran(ran, answer.ran)
        excluded = excluded | {placement.target.target_id}
        decided = retries.decide(
            answer,
            request.repeatable,
            attempts,
            request.remaining_ms(context.env.now_ms()),
            _CALL_COST_MS,
            context.budget,
            context.env.random,
        )
        if isinstance(decided, outcomes.NotServed):
            return _with_ran(decided, ran)
        await asyncio.sleep(decided.delay_ms / 1000.0)


async def _call(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    context: contexts.EntryContext,
) -> service_calls.ServiceResponse | outcomes.NotServed:
    is_target_fault = True
    try:
        with context.tracer.span("attempt", request.traceparent):
            answer = await service_calls.call(
                context.env,
                placement.target,
                request,
                request.remaining_ms(context.env.now_ms()),
            )
        is_target_fault = isinstance(answer, outcomes.NotServed)
        return answer
    finally:
        context.scheduler.post(
            scheduler_messages.AttemptEnded(placement, is_target_fault)
        )


async def _place(
    request: requests.Request,
    attempts: int,
    excluded: frozenset[str],
    context: contexts.EntryContext,
) -> scheduler_messages.PlacementGrant | outcomes.NotServed:
    now_ms = context.env.now_ms()
    pool = request.workload.pool
    placement_request = scheduler_messages.PlacementRequest(
        job=queueing.Job(
            job_id=f"{request.request_id}.{attempts}",
            priority=request.workload.priority,
            workspace=request.workload.workspace,
            weight=request.workload.weight,
            lane=queueing.Lane(pool.name, 0),
            cost_ms=_CALL_COST_MS,
            unloaded_ms=0.0,
            deadline_ms=request.deadline_ms,
        ),
        routing_job=jobs.Job(0, 0, "", 0, False, now_ms),
        pool=pool,
        segments=(),
        excluded=excluded,
        reply=asyncio.get_running_loop().create_future(),
    )
    return await model_run.place_before_deadline(
        request, placement_request, context
    )


def _with_ran(
    outcome: outcomes.NotServed, ran: outcomes.Ran
) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcome.reason,
        model_run.combine_ran(ran, outcome.ran),
        outcome.detail,
        outcome.retry_after_ms,
    )
