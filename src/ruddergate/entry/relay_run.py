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
from ruddergate.entry import model_run
from ruddergate.entry import placement
from ruddergate.entry import reservation_keeper
from ruddergate.entry import tools as tool_types
from ruddergate.relay import answer as answers
from ruddergate.relay import errand as errands
from ruddergate.relay import orders
from ruddergate.telemetry import logs

# A connection to a target in reach is up in a few milliseconds; packets lost
# on the way are sent again after a second, which is too late to wait for.
CONNECT_TIMEOUT_MS = 500.0
# Targets tried for a connection, besides those that were sent the call.
UNREACHABLE_MAX = 4
_NOT_THE_TARGETS_FAULT = (
    outcomes.Reason.TIME_LIMIT,
    outcomes.Reason.NO_MEMORY,
)
_NOTHING_SENT = (
    outcomes.Reason.TARGET_UNREACHABLE,
    outcomes.Reason.NO_MEMORY,
)
# Silence that a target is allowed before another one takes over, where the
# route lets another one take over: times the aim, and at least so long.
SILENCE_AIMS = 3.0
SILENCE_LEAST_MS = 900.0
# What a target that fails with its own 5xx says is the answer; from here on a
# repeatable call is worth another try.
_SERVER_ERROR = 500
# How long a call waits for a target at most, in aims; a policy that holds long
# prompts back lets them go earlier (by_region.HOLD_AIM_PART).
NO_TARGET_WAIT_AIMS = 0.5
_NO_TARGET_RETRY_MS = 500.0


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a call has come, over all its attempts."""

    last_id: str
    ran: outcomes.Ran = outcomes.Ran.NOT_RUN
    sent: int = 0
    unreachable: int = 0
    is_begun: bool = False
    excluded: frozenset[str] = frozenset()
    answer: answers.WholeAnswer | None = None


async def run(
    request: requests.Request,
    send: errands.Send,
    keeper: reservation_keeper.ReservationKeeper,
    tools: tool_types.Tools,
) -> AsyncIterator[answers.Event]:
    """Yields the answer in order, each event once; the last tells the end."""
    progress = _Progress(request.payload.last_event)
    tools.budget.note_first_attempt()
    while True:
        placed = await _place(request, progress, tools)
        if isinstance(placed, outcomes.NotServed):
            yield _conclude(placed, progress)
            return
        ended: answers.Event | None = None
        attempt = _attempt(request, placed, progress, send, keeper, tools)
        async with contextlib.aclosing(attempt) as events:
            async for event in events:
                if isinstance(event, answers.StreamHead | answers.StreamEvents):
                    yield event
                else:
                    ended = event
        if isinstance(ended, answers.StreamEnd):
            yield ended
            return
        final = await _decide(request, placed, ended, progress, tools)
        if final is not None:
            yield final
            return


async def _attempt(
    request: requests.Request,
    placed: placement.Placed,
    progress: _Progress,
    send: errands.Send,
    keeper: reservation_keeper.ReservationKeeper,
    tools: tool_types.Tools,
) -> AsyncIterator[answers.Event]:
    """Sends the call to one target and follows its answer."""
    reservations = _make_reservations(placed, tools)
    _log_start(request, placed, progress, tools)
    failed = False
    is_first = True
    try:
        missing = await keeper.take(
            tuple(reservations.values()), request.request_id
        )
        if missing is not None:
            progress.excluded |= {missing.target.target_id}
            # A reservation runs nothing, whatever became of it.
            yield outcomes.refuse(
                outcomes.Reason.NO_MEMORY,
                f"{missing.target.target_id} has no memory to set aside",
                _NO_TARGET_RETRY_MS,
            )
            return
        errand = _make_errand(request, placed, reservations, progress, tools)
        with tools.tracer.span("attempt", request.traceparent):
            async with contextlib.aclosing(send(errand)) as events:
                async for event in events:
                    if isinstance(event, answers.LoadTold):
                        tools.scheduler.post(placement.Reported(event.report))
                        continue
                    if is_first and isinstance(event, answers.StreamEvents):
                        is_first = False
                        _note_first(request, placed, tools)
                    if isinstance(event, answers.StreamEvents):
                        progress.last_id = event.last_id
                    if isinstance(event, answers.StreamHead):
                        if progress.is_begun:
                            continue
                        progress.is_begun = True
                    failed = _is_targets_fault(event)
                    yield event
    finally:
        keeper.give_back(tuple(reservations.values()))
        for index, seat in enumerate(placed.seats):
            is_main = index == 0
            tools.scheduler.post(placement.Ended(seat, failed and is_main))


def _is_targets_fault(event: answers.Event) -> bool:
    return isinstance(event, outcomes.NotServed) and (
        event.reason not in _NOT_THE_TARGETS_FAULT
    )


def _make_reservations(
    placed: placement.Placed, tools: tool_types.Tools
) -> dict[str, orders.Reservation]:
    """Returns the memory to set aside on helpers, by target."""
    return {
        seat.target.target_id: orders.Reservation(
            seat.target,
            f"{tools.config.vm_id}.{tools.incarnation}.{seat.attempt_id}",
            seat.held_tokens,
        )
        for seat in placed.seats[1:]
        if seat.held_tokens
    }


def _make_helper(
    seat: placement.Seat, reservations: dict[str, orders.Reservation]
) -> errands.Helper:
    held = reservations.get(seat.target.target_id)
    return errands.Helper(seat.target.address, held.name if held else "")


def _make_errand(
    request: requests.Request,
    placed: placement.Placed,
    reservations: dict[str, orders.Reservation],
    progress: _Progress,
    tools: tool_types.Tools,
) -> errands.Errand:
    route = request.payload.route
    left_ms = request.remaining_ms(tools.outside.now_ms())
    first_ms = gap_ms = left_ms
    if route.repeatable:
        first_ms = max(SILENCE_LEAST_MS, SILENCE_AIMS * route.aim_ms)
        gap_ms = max(SILENCE_LEAST_MS, SILENCE_AIMS * route.gap_aim_ms)
    return errands.Errand(
        payload=request.payload,
        target=placed.seats[0].target,
        workspace=request.workload.workspace,
        deadline_ms=request.deadline_ms,
        urgency=_find_urgency(request),
        resume_after=progress.last_id,
        helpers=tuple(
            _make_helper(seat, reservations) for seat in placed.seats[1:]
        ),
        patience=errands.Patience(CONNECT_TIMEOUT_MS, first_ms, gap_ms),
    )


def _find_urgency(request: requests.Request) -> int:
    """Lets shorter prompts in before longer ones."""
    return 3 + length_band.find_band(request.prompt_tokens)


def _note_first(
    request: requests.Request,
    placed: placement.Placed,
    tools: tool_types.Tools,
) -> None:
    took_ms = tools.outside.now_ms() - request.arrived_ms
    tools.metrics.note_first_token(request.prompt_tokens, took_ms)
    for seat in placed.seats:
        tools.scheduler.post(placement.FirstToken(seat, "", 0))


async def _decide(
    request: requests.Request,
    placed: placement.Placed,
    ended: answers.Event | None,
    progress: _Progress,
    tools: tool_types.Tools,
) -> answers.Event | None:
    """Returns the final event, or None after the pause for a retry."""
    if isinstance(ended, answers.WholeAnswer):
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
    _log_attempt(request, seat, ended, progress, tools)
    tools.metrics.attempts.inc({"result": ended.reason.value})
    progress.ran = model_run.worse(progress.ran, ended.ran)
    if ended.reason is not outcomes.Reason.NO_MEMORY:
        progress.excluded |= {seat.target.target_id}
    if ended.reason in _NOTHING_SENT:
        # Nothing was sent, so this counts against no limit of attempts.
        progress.unreachable += 1
        if progress.unreachable > UNREACHABLE_MAX:
            return _conclude(ended, progress)
        return None
    progress.sent += 1
    may_go_on = route.is_resumable or not progress.is_begun
    if not may_go_on or progress.sent >= route.targets_max:
        return _conclude(ended, progress)
    decided = retries.decide(
        ended,
        request.repeatable,
        progress.sent,
        request.remaining_ms(tools.outside.now_ms()),
        0.0,
        tools.budget,
        tools.outside.random,
    )
    if isinstance(decided, outcomes.NotServed):
        return _conclude(decided, progress)
    await asyncio.sleep(decided.delay_ms / 1000.0)
    return None


def _log_start(
    request: requests.Request,
    placed: placement.Placed,
    progress: _Progress,
    tools: tool_types.Tools,
) -> None:
    now_ms = tools.outside.now_ms()
    seat = placed.seats[0]
    tools.metrics.note_wait(request.prompt_tokens, now_ms - request.arrived_ms)
    logs.make_logger("attempt").info(
        "Attempt begins at {}.",
        seat.target.target_id,
        request_id=request.request_id,
        route=request.payload.route.name,
        pool=seat.target.pool,
        hall=seat.target.hall,
        prompt_tokens=request.prompt_tokens,
        helpers=[each.target.target_id for each in placed.seats[1:]],
        believed=seat.believed,
        resume_after=progress.last_id,
        sent=progress.sent,
        waited_ms=round(now_ms - request.arrived_ms),
        left_ms=round(request.remaining_ms(now_ms)),
        revision=request.workload.revision,
        view_age_ms=round(tools.view.age_ms(now_ms)),
    )


def _log_attempt(
    request: requests.Request,
    seat: placement.Seat,
    ended: outcomes.NotServed,
    progress: _Progress,
    tools: tool_types.Tools,
) -> None:
    logs.make_logger("attempt").info(
        "Attempt failed: {} ({}). {}",
        ended.reason.value,
        ended.ran.value,
        ended.detail,
        request_id=request.request_id,
        target=seat.target.target_id,
        route=request.payload.route.name,
        sent=progress.sent,
        last_event=progress.last_id,
        waited_ms=round(tools.outside.now_ms() - request.arrived_ms),
    )


def _conclude(
    ended: outcomes.NotServed, progress: _Progress
) -> answers.WholeAnswer | outcomes.NotServed:
    """Tells of all attempts, or hands on what a target itself answered."""
    if progress.answer is not None and not progress.is_begun:
        return progress.answer
    ran = model_run.worse(progress.ran, ended.ran)
    return dataclasses.replace(ended, ran=ran)


async def _place(
    request: requests.Request,
    progress: _Progress,
    tools: tool_types.Tools,
) -> placement.Placed | outcomes.NotServed:
    now_ms = tools.outside.now_ms()
    pool = request.workload.pool
    route = request.payload.route
    cost = costs.predict(
        pool, request.prompt_tokens, 0, request.output_tokens_expected
    )
    band = length_band.find_band(request.prompt_tokens)
    wait_ms = min(
        request.remaining_ms(now_ms), NO_TARGET_WAIT_AIMS * route.aim_ms
    )
    asked = placement.Place(
        job=queueing.Job(
            job_id=f"{request.request_id}.{progress.sent}."
            f"{progress.unreachable}.{now_ms}",
            priority=request.workload.priority,
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
            waited_ms=now_ms,
            aim_ms=route.aim_ms,
            pause_aim_ms=route.gap_aim_ms if route.is_stream else math.inf,
            hall=tools.config.hall,
        ),
        pool=pool,
        segments=(),
        excluded=progress.excluded,
        reply=asyncio.get_running_loop().create_future(),
    )
    try:
        async with asyncio.timeout(wait_ms / 1000.0):
            return await tools.scheduler.place(asked)
    except TimeoutError:
        return outcomes.refuse(
            outcomes.Reason.NO_TARGET,
            f"no target of pool {pool.name} can be used now",
            _NO_TARGET_RETRY_MS,
        )
