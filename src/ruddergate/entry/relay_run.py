"""Runs one relayed request, with retries, to its outcome."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import length_band
from ruddergate.decisions import retries
from ruddergate.entry import attempt_log
from ruddergate.entry import attempt_outcome
from ruddergate.entry import context as contexts
from ruddergate.entry import crashed_targets
from ruddergate.entry import failover
from ruddergate.entry import model_run
from ruddergate.entry import relay_attempt
from ruddergate.entry import relay_placement
from ruddergate.entry import relay_progress
from ruddergate.entry import reservation_keeper
from ruddergate.entry import scheduler_messages
from ruddergate.fleet import target as targets
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests

# Largest number of attempts that end before the request is sent; those after
# which it was sent are limited by the route.
MAX_UNSENT_ATTEMPTS = 8
# How often a request goes to the same target again after a helper has failed.
MAX_HELPER_FAILURES = 3
# How long a request waits for a way to any target while there is none. Callers
# may be served by another VM, so it is short.
MAX_WAY_WAIT_MS = 80.0


async def run(
    request: requests.Request,
    progress: relay_progress.Progress,
    send: upstream_requests.Send,
    keeper: reservation_keeper.ReservationKeeper,
    context: contexts.EntryContext,
) -> AsyncIterator[response_events.Event]:
    """Yields the response's events in order, and last the outcome.

    Each event is yielded once.

    Args:
        request: The request.
        progress: Its progress, without any attempt yet.
        send: Sends it to a target.
        keeper: Holds memory on helpers.
        context: Shared objects of the entry.
    """
    refusal = context.quarantine.check_admission(request)
    way_wait_ms = relay_placement.find_on_time_wait_ms(
        request, progress, context
    )
    refusal = refusal or await context.wait_for_way(
        min(MAX_WAY_WAIT_MS, way_wait_ms)
    )
    if refusal is not None:
        yield refusal
        return
    context.budget.note_first_attempt()
    make_attempt = _make_attempt_factory(request, send, keeper, context)
    while True:
        refusal = await context.quarantine.wait_for_trial(
            request, request.remaining_ms(context.env.now_ms())
        )
        if refusal is not None:
            yield _conclude(refusal, progress)
            return
        grant = await relay_placement.wait_for_placement(
            request, progress, context
        )
        if isinstance(grant, outcomes.NotServed):
            yield _conclude(grant, progress)
            return
        outcome: response_events.Event | None = None
        attempt = failover.FailoverAttempt(
            request, grant, progress, make_attempt, context
        )
        async with contextlib.aclosing(attempt.run()) as events:
            async for event in events:
                if isinstance(
                    event,
                    response_events.StreamHead | response_events.StreamEvents,
                ):
                    yield event
                else:
                    outcome = event
        grant, progress = attempt.grant, attempt.progress
        if isinstance(
            outcome,
            response_events.StreamEnd | response_events.CompleteResponse,
        ):
            context.quarantine.on_request_finished(request)
        if isinstance(outcome, response_events.StreamEnd):
            yield outcome
            return
        final = await _conclude_or_retry(
            request, grant, outcome, progress, context
        )
        if final is not None:
            yield final
            return


def conclude_early(
    failure: outcomes.NotServed, progress: relay_progress.Progress
) -> response_events.CompleteResponse | outcomes.NotServed:
    """Returns the outcome of a request that was given up in any stage.

    Args:
        failure: Why, for a request that no target has.
        progress: Progress of the request; the caller has no response head.
    """
    if progress.current.is_sent:
        failure = dataclasses.replace(failure, ran=outcomes.Ran.UNKNOWN)
    return _conclude(failure, progress)


def _make_attempt_factory(
    request: requests.Request,
    send: upstream_requests.Send,
    keeper: reservation_keeper.ReservationKeeper,
    context: contexts.EntryContext,
) -> failover.MakeAttempt:
    def make_attempt(
        grant: scheduler_messages.PlacementGrant,
        progress: relay_progress.Progress,
        probe_timeout_ms: float | None,
    ) -> relay_attempt.RelayAttempt:
        return relay_attempt.RelayAttempt(
            request, grant, progress, send, keeper, context, probe_timeout_ms
        )

    return make_attempt


async def _conclude_or_retry(
    request: requests.Request,
    grant: scheduler_messages.PlacementGrant,
    outcome: response_events.Event | None,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> response_events.Event | None:
    """Returns the final event, or None after the delay before a retry."""
    if outcome is None:
        raise AssertionError("an attempt ended without an outcome")
    failure = attempt_outcome.find_failure(outcome, progress)
    if failure is None:
        return outcome
    progress.current.stage = relay_progress.Stage.RETRYING
    route = request.payload.route
    placement = grant.placements[0]
    attempt_log.log_failure(request, placement, failure, progress, context)
    context.metrics.failed_attempts.inc({"result": failure.reason.value})
    attempt_outcome.note_failure(placement.target.target_id, failure, progress)
    if _is_helper_failure(failure, progress):
        # The target itself may accept the request with other helpers. It is
        # the same target, so this doesn't count as sending to a further one.
        progress.pinned_target_id = placement.target.target_id
        progress.helper_failures += 1
        return await _pause_for_retry(request, failure, progress, context)
    attempt_outcome.exclude_target(
        placement.target.target_id, failure, progress
    )
    if failure.reason in attempt_outcome.UNSENT_REASONS:
        return _conclude_unsent(failure, progress, context)
    progress.counted_attempts += 1
    await _wait_for_verdict(
        request, placement.target, failure, progress, context
    )
    can_continue = route.is_resumable or not progress.has_head
    if not can_continue or await crashed_targets.is_limit_reached(
        request, progress, context
    ):
        return _conclude(failure, progress)
    return await _pause_for_retry(request, failure, progress, context)


async def _wait_for_verdict(
    request: requests.Request,
    target: targets.Target,
    outcome: outcomes.NotServed,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> None:
    """Waits until it is known whether a part of a prompt crashed a target.

    Otherwise the request might crash a second one before this VM counts the
    first crash.
    """
    if outcome.reason is not outcomes.Reason.TARGET_LOST:
        return
    if request.payload.shared_parts and not progress.has_lasted:
        await context.has_crashed(target.incarnation)


def _conclude_unsent(
    outcome: outcomes.NotServed,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> response_events.Event | None:
    """Returns the outcome, or None to try again.

    Nothing was sent, so the attempt counts neither against the number of
    targets of the route nor against the retry budget.
    """
    progress.unsent_attempts += 1
    if outcome.reason is outcomes.Reason.QUARANTINED:
        return _conclude(outcome, progress)
    if progress.unsent_attempts <= MAX_UNSENT_ATTEMPTS:
        return None
    if outcome.retry_after_ms is None:
        retry_after_ms = context.env.random.uniform(
            *relay_placement.NO_TARGET_RETRY_MS
        )
        outcome = dataclasses.replace(outcome, retry_after_ms=retry_after_ms)
    return _conclude(outcome, progress)


def _is_helper_failure(
    outcome: outcomes.NotServed, progress: relay_progress.Progress
) -> bool:
    """Returns whether a target refused because of a helper.

    After MAX_HELPER_FAILURES such failures they count as those of the target.
    """
    return (
        bool(progress.faulted_helpers)
        and outcome.ran is outcomes.Ran.NOT_RUN
        and progress.helper_failures < MAX_HELPER_FAILURES
    )


async def _pause_for_retry(
    request: requests.Request,
    outcome: outcomes.NotServed,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> response_events.Event | None:
    """Returns None after the delay, or the outcome if no retry is allowed."""
    if retries.is_safe_to_retry(outcome, request.repeatable):
        await context.ensure_retry(length_band.is_long(request.prompt_tokens))
    decided = retries.decide(
        outcome,
        request.repeatable,
        max(1, progress.counted_attempts),
        request.remaining_ms(context.env.now_ms()),
        0.0,
        context.budget,
        context.env.random,
    )
    if isinstance(decided, outcomes.NotServed):
        return _conclude(decided, progress)
    await asyncio.sleep(decided.delay_ms / 1000.0)
    return None


def _conclude(
    outcome: outcomes.NotServed, progress: relay_progress.Progress
) -> response_events.CompleteResponse | outcomes.NotServed:
    """Returns the outcome of all attempts.

    That is a target's own error response, if there was one and the caller has
    no response head yet.
    """
    if progress.error_response is not None and not progress.has_head:
        return progress.error_response
    ran = model_run.combine_ran(progress.ran, outcome.ran)
    return dataclasses.replace(outcome, ran=ran)
