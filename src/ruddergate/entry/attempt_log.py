"""Log lines of one attempt: where it starts, and how it failed."""

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.entry import context as contexts
from ruddergate.entry import quarantine
from ruddergate.entry import relay_progress
from ruddergate.entry import scheduler_messages
from ruddergate.fleet import incarnation as incarnations
from ruddergate.telemetry import logs

# Parts of a prompt in a log line; callers choose how many there are.
MAX_LOGGED_PARTS = 16


def log_start(
    request: requests.Request,
    placements: tuple[scheduler_messages.Placement, ...],
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> None:
    """Logs where an attempt starts, and the load estimate behind the choice."""
    now_ms = context.env.now_ms()
    placement = placements[0]
    context.metrics.record_wait(
        request.prompt_tokens, now_ms - request.arrived_ms
    )
    logs.make_logger("attempt").info(
        "Attempt begins at {}.",
        placement.target.target_id,
        request_id=request.request_id,
        route=request.payload.route.name,
        pool=placement.target.pool,
        hall=placement.target.hall,
        prompt_tokens=request.prompt_tokens,
        helpers=[each.target.target_id for each in placements[1:]],
        believed=placement.estimated_load,
        resume_after=progress.last_event_id,
        sent=progress.counted_attempts,
        waited_ms=round(now_ms - request.arrived_ms),
        left_ms=round(request.remaining_ms(now_ms)),
        revision=request.workload.revision,
        view_age_ms=round(context.view.age_ms(now_ms)),
    )


def log_failure(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    failure: outcomes.NotServed,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> None:
    """Logs how an attempt failed, with what its request has in common."""
    logs.make_logger("attempt").info(
        "Attempt failed: {} ({}). {}",
        failure.reason.value,
        failure.ran.value,
        failure.detail,
        request_id=request.request_id,
        target=placement.target.target_id,
        content=quarantine.find_fingerprint(request),
        parts=request.payload.shared_parts[:MAX_LOGGED_PARTS],
        route=request.payload.route.name,
        sent=progress.counted_attempts,
        blamed=progress.faulted_helpers,
        last_event=progress.last_event_id,
        waited_ms=round(context.env.now_ms() - request.arrived_ms),
    )


def log_helper_end(
    request: requests.Request,
    placements: tuple[scheduler_messages.Placement, ...],
    incarnation: incarnations.Incarnation,
    context: contexts.EntryContext,
) -> None:
    """Logs that a helper of an attempt seems to have ended."""
    now_ms = context.env.now_ms()
    logs.make_logger("attempt").info(
        "Helper {} of target {} seems to have ended.",
        incarnation.target_id,
        placements[0].target.target_id,
        request_id=request.request_id,
        helpers=[each.target.target_id for each in placements[1:]],
        waited_ms=round(now_ms - request.arrived_ms),
        left_ms=round(request.remaining_ms(now_ms)),
    )


def log_silence(
    request: requests.Request,
    placement: scheduler_messages.Placement,
    state: str,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
) -> None:
    """Logs what becomes of an attempt whose target is silent, and why."""
    now_ms = context.env.now_ms()
    logs.make_logger("attempt").info(
        "Target {} is silent; {}.",
        placement.target.target_id,
        state,
        request_id=request.request_id,
        hall=placement.target.hall,
        tokens=round(context.budget.tokens, 2),
        sent=progress.counted_attempts,
        targets_max=request.payload.route.targets_max,
        last_event=progress.last_event_id,
        streams=round(
            context.scheduler.count_streams(placement.target.target_id), 1
        ),
        waited_ms=round(now_ms - request.arrived_ms),
        left_ms=round(request.remaining_ms(now_ms)),
    )
