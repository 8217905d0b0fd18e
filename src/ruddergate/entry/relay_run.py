"""Runs one call that is passed on unchanged, with retries, to its outcome."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import cost as costs
from ruddergate.decisions import length_band
from ruddergate.decisions import queueing
from ruddergate.decisions import retries
from ruddergate.decisions.routing import job as jobs
from ruddergate.entry import attempt_log
from ruddergate.entry import model_run
from ruddergate.entry import placement
from ruddergate.entry import relay_attempt
from ruddergate.entry import relay_progress
from ruddergate.entry import reservation_keeper
from ruddergate.entry import tools as tool_types
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests

# Targets tried for a connection, besides those that were sent the call.
UNREACHABLE_MAX = 8
# Times that a call goes to the same target again because of one of its helpers.
HELPERS_FAILED_MAX = 3
# Any of a call's targets may take no calls now. Which of them is known where
# the next ones are chosen, so none has to be excluded.
_WITHDRAWN = (
    outcomes.Reason.TARGET_LEAVING,
    outcomes.Reason.TARGET_QUIET,
    outcomes.Reason.TARGET_RATE_LIMITED,
)
_NOTHING_SENT = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_UNREACHABLE,
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
    outcomes.Reason.QUARANTINED,
    *_WITHDRAWN,
)
# Failures of other engines than the one that was to write the answer.
_NOT_THE_WRITERS = (
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
    *_WITHDRAWN,
)
# After these the engine that refused for a helper is asked again.
_KEEP_PINNED = (outcomes.Reason.HELPER_UNREACHABLE, *_WITHDRAWN)
# What a target that fails with its own 5xx says is the answer; from here on a
# repeatable call is worth another try.
_SERVER_ERROR = 500
# How long a call waits for a place ahead of others, in aims: after that it is
# late anyway, and those that can still be in time go first. A policy that holds
# long prompts back lets them go earlier (routing/long_prompts.py).
ON_TIME_WAIT_AIMS = 0.5
# It then waits behind those for an aim, and for so long at least: callers give
# a stream up that has not begun after four aims, two seconds at least.
LATE_WAIT_LEAST_MS = 1_200.0
# Ranks of late calls lie below those of all others.
_LATE_RANKS = 1_000_000
# When a place may have become free; callers are not to come back together.
_NO_TARGET_RETRY_MS = (400.0, 1_200.0)


async def run(
    request: requests.Request,
    send: upstream_requests.Send,
    keeper: reservation_keeper.ReservationKeeper,
    tools: tool_types.Tools,
) -> AsyncIterator[response_events.Event]:
    """Yields the answer in order, each event once; the last tells the end."""
    progress = relay_progress.Progress(request.payload.last_event_id)
    refusal = tools.suspects.refuse(request)
    if refusal is not None:
        yield refusal
        return
    tools.budget.note_first_attempt()
    while True:
        placed = await _place(request, progress, tools)
        if isinstance(placed, outcomes.NotServed):
            yield _conclude(placed, progress)
            return
        ended: response_events.Event | None = None
        attempt = relay_attempt.RelayAttempt(
            request, placed, progress, send, keeper, tools
        )
        async with contextlib.aclosing(attempt.run()) as events:
            async for event in events:
                if isinstance(
                    event,
                    response_events.StreamHead | response_events.StreamEvents,
                ):
                    yield event
                else:
                    ended = event
        if isinstance(
            ended, response_events.StreamEnd | response_events.CompleteResponse
        ):
            tools.suspects.note_finished(request)
        if isinstance(ended, response_events.StreamEnd):
            yield ended
            return
        final = await _decide(request, placed, ended, progress, tools)
        if final is not None:
            yield final
            return


async def _decide(
    request: requests.Request,
    placed: placement.Placed,
    ended: response_events.Event | None,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> response_events.Event | None:
    """Returns the final event, or None after the pause for a retry."""
    if isinstance(ended, response_events.CompleteResponse):
        if ended.status < _SERVER_ERROR:
            return ended
        progress.answer = ended
        ended = outcomes.NotServed(
            outcomes.Reason.TARGET_REFUSED,
            outcomes.Ran.RAN,
            f"the target answered {ended.status}",
        )
    if ended is None:
        raise AssertionError("an attempt ended without an outcome")
    route = request.payload.route
    seat = placed.seats[0]
    attempt_log.log_failure(request, seat, ended, progress, tools)
    tools.metrics.attempts.inc({"result": ended.reason.value})
    progress.ran = model_run.worse(progress.ran, ended.ran)
    if ended.reason not in _NOTHING_SENT:
        progress.sent_to |= {seat.target.target_id}
    if _is_helpers_fault(ended, progress):
        # The target itself may well take the call, with other helpers; it is
        # the same target, and so no further one that was sent the call.
        progress.pinned = seat.target.target_id
        progress.helpers_failed += 1
        return await _try_again(request, ended, progress, tools)
    if ended.reason not in _KEEP_PINNED:
        progress.pinned = ""
    if ended.reason not in _NOT_THE_WRITERS:
        progress.excluded |= {seat.target.target_id}
    if ended.reason in _NOTHING_SENT:
        return _conclude_unsent(ended, progress)
    progress.sent += 1
    may_go_on = route.is_resumable or not progress.is_begun
    if not may_go_on or progress.count_sent() >= route.targets_max:
        return _conclude(ended, progress)
    return await _try_again(request, ended, progress, tools)


def _conclude_unsent(
    ended: outcomes.NotServed, progress: relay_progress.Progress
) -> response_events.Event | None:
    """Returns None for another try, which counts against no limit of sends."""
    progress.unreachable += 1
    is_quarantined = ended.reason is outcomes.Reason.QUARANTINED
    if is_quarantined or progress.unreachable > UNREACHABLE_MAX:
        return _conclude(ended, progress)
    return None


def _is_helpers_fault(
    ended: outcomes.NotServed, progress: relay_progress.Progress
) -> bool:
    """Returns whether a target refused because of one that was to help it."""
    is_refusal = ended.ran is outcomes.Ran.NOT_RUN
    is_given_up = ended.reason is outcomes.Reason.HELPER_ENDED
    return (
        bool(progress.blamed)
        and (is_refusal or is_given_up)
        and progress.helpers_failed < HELPERS_FAILED_MAX
    )


async def _try_again(
    request: requests.Request,
    ended: outcomes.NotServed,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> response_events.Event | None:
    """Returns None after a pause, or the outcome if no try is left."""
    if retries.may_run_again(ended, request.repeatable):
        await tools.secure_retry(length_band.is_long(request.prompt_tokens))
    decided = retries.decide(
        ended,
        request.repeatable,
        max(1, progress.sent),
        request.remaining_ms(tools.outside.now_ms()),
        0.0,
        tools.budget,
        tools.outside.random,
    )
    if isinstance(decided, outcomes.NotServed):
        return _conclude(decided, progress)
    await asyncio.sleep(decided.delay_ms / 1000.0)
    return None


def _conclude(
    ended: outcomes.NotServed, progress: relay_progress.Progress
) -> response_events.CompleteResponse | outcomes.NotServed:
    """Tells of all attempts, or hands on what a target itself answered."""
    if progress.answer is not None and not progress.is_begun:
        return progress.answer
    ran = model_run.worse(progress.ran, ended.ran)
    return dataclasses.replace(ended, ran=ran)


async def _place(
    request: requests.Request,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> placement.Placed | outcomes.NotServed:
    """Waits for a place: ahead of late calls first, and then among them."""
    for is_late, wait_ms in _find_waits(request, progress, tools):
        left_ms = request.remaining_ms(tools.outside.now_ms())
        wait_ms = min(wait_ms, left_ms)
        if wait_ms <= 0.0:
            continue
        asked = _make_place(request, progress, tools, is_late, wait_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                placed = await tools.scheduler.place(asked)
        except TimeoutError:
            continue
        if is_late or not _is_too_long_a_wait(placed):
            return placed
    return outcomes.refuse(
        outcomes.Reason.NO_TARGET,
        f"no target of pool {request.workload.pool.name} can be used now",
        tools.outside.random.uniform(*_NO_TARGET_RETRY_MS),
    )


def _is_too_long_a_wait(
    placed: placement.Placed | outcomes.NotServed,
) -> bool:
    return (
        isinstance(placed, outcomes.NotServed)
        and placed.reason is outcomes.Reason.CANNOT_FINISH_IN_TIME
    )


def _find_waits(
    request: requests.Request,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> tuple[tuple[bool, float], ...]:
    """Returns how long to wait as a call in time, and then as a late one."""
    aim_ms = request.payload.route.latency_slo_ms
    on_time_ms = ON_TIME_WAIT_AIMS * aim_ms
    if not progress.is_begun:
        on_time_ms -= tools.outside.now_ms() - request.arrived_ms
    return (False, on_time_ms), (True, max(LATE_WAIT_LEAST_MS, aim_ms))


def _make_place(
    request: requests.Request,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
    is_late: bool,
    wait_ms: float,
) -> placement.Place:
    now_ms = tools.outside.now_ms()
    pool = request.workload.pool
    route = request.payload.route
    priority = request.workload.priority
    if is_late:
        rank = priority.rank - _LATE_RANKS
        priority = dataclasses.replace(priority, name=str(rank), rank=rank)
    cost = costs.predict(
        pool, request.prompt_tokens, 0, request.output_tokens_expected
    )
    band = length_band.find_band(request.prompt_tokens)
    return placement.Place(
        job=queueing.Job(
            job_id=f"{request.request_id}.{progress.sent}."
            f"{progress.unreachable}.{now_ms}",
            priority=priority,
            workspace=request.workload.workspace,
            weight=request.workload.weight,
            lane=queueing.Lane(pool.name, band),
            cost_ms=cost.engine_ms,
            alone_ms=0.0,
            deadline_ms=now_ms + wait_ms,
        ),
        route=jobs.Job(
            prompt_tokens=request.prompt_tokens,
            held_tokens=cost.held_tokens,
            prefix="",
            prefix_tokens=0,
            is_long=band >= length_band.LONG_BAND,
            waited_ms=request.arrived_ms,
            aim_ms=route.latency_slo_ms,
            pause_aim_ms=route.gap_slo_ms if route.is_stream else math.inf,
            home_hall=tools.config.hall,
            pinned_target=progress.pinned,
            is_suspect=tools.suspects.is_suspect(request),
            salt=tools.outside.random.getrandbits(32),
        ),
        pool=pool,
        segments=(),
        excluded=progress.excluded,
        reply=asyncio.get_running_loop().create_future(),
    )
