"""Waits for a place for a relayed request."""

import asyncio
import dataclasses
import math

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import cost as costs
from ruddergate.decisions import length_band
from ruddergate.decisions import queueing
from ruddergate.decisions.routing import job as jobs
from ruddergate.entry import context as contexts
from ruddergate.entry import relay_progress
from ruddergate.entry import scheduler_messages

# How long a request waits for a target ahead of late ones, as a multiple of its
# route's `latency_slo_ms`, below which a response is in time. After that it is
# late anyway, and requests that can still be in time go first. A policy that
# holds long prompts back releases them earlier (routing/long_prompts.py).
ON_TIME_WAIT_SLO_FACTOR = 0.5
# It then waits behind those for `latency_slo_ms`, but at least this long.
# Callers give up a stream that has not begun after four times that latency, but
# not before two seconds.
MIN_LATE_WAIT_MS = 1_200.0
# Puts the ranks of late requests below those of all others.
_LATE_RANK_OFFSET = 1_000_000
# Range of the retry-after when no target is free or can be reached; random, so
# that callers don't come back all at once.
NO_TARGET_RETRY_MS = (400.0, 1_200.0)


async def wait_for_placement(
    request: requests.Request,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
    forbidden: frozenset[str] = frozenset(),
) -> scheduler_messages.PlacementGrant | outcomes.NotServed:
    """Waits for a target: ahead of late requests first, then among them.

    Args:
        request: The request.
        progress: Its progress.
        context: Shared objects of the entry.
        forbidden: Targets that must not be chosen.
    """
    pool = request.workload.pool.name
    await context.ensure_rate_token(pool)
    for is_late, wait_ms in _find_wait_times(request, progress, context):
        if is_late:
            await context.ensure_rate_token(pool)
        left_ms = request.remaining_ms(context.env.now_ms())
        wait_ms = min(wait_ms, left_ms)
        if wait_ms <= 0.0:
            continue
        placement_request = _make_placement_request(
            request, progress, context, is_late, wait_ms, forbidden
        )
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                grant = await context.scheduler.place(placement_request)
        except TimeoutError:
            continue
        if is_late or not _is_wait_refused(grant):
            return grant
    return outcomes.refuse(
        outcomes.Reason.NO_TARGET,
        f"no target of pool {pool} is available now",
        context.env.random.uniform(*NO_TARGET_RETRY_MS),
    )


def _is_wait_refused(
    grant: scheduler_messages.PlacementGrant | outcomes.NotServed,
) -> bool:
    return (
        isinstance(grant, outcomes.NotServed)
        and grant.reason is outcomes.Reason.CANNOT_FINISH_IN_TIME
    )


def _find_wait_times(
    request: requests.Request,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> tuple[tuple[bool, float], ...]:
    """Returns how long to wait as a request in time, then as a late one.

    Returns:
        Whether the request is late, and the wait in milliseconds, for each.
    """
    on_time_ms = find_on_time_wait_ms(request, progress, context)
    late_ms = max(MIN_LATE_WAIT_MS, request.payload.route.latency_slo_ms)
    return (False, on_time_ms), (True, late_ms)


def find_on_time_wait_ms(
    request: requests.Request,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> float:
    """Returns how long a request may still wait ahead of late ones."""
    on_time_ms = ON_TIME_WAIT_SLO_FACTOR * request.payload.route.latency_slo_ms
    if progress.has_head:
        return on_time_ms
    return on_time_ms - (context.env.now_ms() - request.arrived_ms)


def _make_placement_request(
    request: requests.Request,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
    is_late: bool,
    wait_ms: float,
    forbidden: frozenset[str],
) -> scheduler_messages.PlacementRequest:
    now_ms = context.env.now_ms()
    pool = request.workload.pool
    route = request.payload.route
    priority = request.workload.priority
    if is_late:
        rank = priority.rank - _LATE_RANK_OFFSET
        priority = dataclasses.replace(priority, name=str(rank), rank=rank)
    cost = costs.predict(
        pool, request.prompt_tokens, 0, request.output_tokens_expected
    )
    band = length_band.find_band(request.prompt_tokens)
    return scheduler_messages.PlacementRequest(
        job=queueing.Job(
            job_id=f"{request.request_id}.{progress.counted_attempts}."
            f"{progress.unsent_attempts}.{now_ms}",
            priority=priority,
            workspace=request.workload.workspace,
            weight=request.workload.weight,
            lane=queueing.Lane(pool.name, band),
            cost_ms=cost.engine_ms,
            unloaded_ms=0.0,
            deadline_ms=now_ms + wait_ms,
        ),
        routing_job=jobs.Job(
            prompt_tokens=request.prompt_tokens,
            held_tokens=cost.held_tokens,
            prefix="",
            prefix_tokens=0,
            is_long=band >= length_band.LONG_BAND,
            waited_ms=request.arrived_ms,
            ttft_slo_ms=route.latency_slo_ms,
            gap_slo_ms=route.gap_slo_ms if route.is_stream else math.inf,
            local_hall=context.config.hall,
            pinned_target_id=progress.pinned_target_id,
            may_be_poison=not progress.interrupted
            and context.quarantine.is_suspected(request),
            tie_break_seed=context.env.random.getrandbits(32),
        ),
        pool=pool,
        segments=(),
        excluded=progress.excluded,
        reply=asyncio.get_running_loop().create_future(),
        forbidden=forbidden,
        cost=_deduct_received(cost, progress, now_ms),
    )


def _deduct_received(
    cost: costs.Cost, progress: relay_progress.Progress, now_ms: float
) -> costs.Cost:
    """Returns the cost without the decoding of what the caller has.

    The events of a stream don't tell how many tokens they hold, so the time
    since the first one counts.
    """
    streamed_ms = max(0.0, now_ms - progress.begun_ms)
    decode_ms = max(0.0, cost.decode_ms - streamed_ms)
    return dataclasses.replace(cost, decode_ms=decode_ms)
