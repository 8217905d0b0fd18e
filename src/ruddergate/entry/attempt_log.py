"""The log lines of one attempt: where it begins, and how it failed."""

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.entry import placement
from ruddergate.entry import relay_progress
from ruddergate.entry import suspects
from ruddergate.entry import tools as tool_types
from ruddergate.telemetry import logs


def log_start(
    request: requests.Request,
    seats: tuple[placement.Seat, ...],
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> None:
    """Tells where an attempt begins, and what that choice went by."""
    now_ms = tools.outside.now_ms()
    seat = seats[0]
    tools.metrics.note_wait(request.prompt_tokens, now_ms - request.arrived_ms)
    logs.make_logger("attempt").info(
        "Attempt begins at {}.",
        seat.target.target_id,
        request_id=request.request_id,
        route=request.payload.route.name,
        pool=seat.target.pool,
        hall=seat.target.hall,
        prompt_tokens=request.prompt_tokens,
        helpers=[each.target.target_id for each in seats[1:]],
        believed=seat.believed,
        resume_after=progress.last_event_id,
        sent=progress.sent,
        waited_ms=round(now_ms - request.arrived_ms),
        left_ms=round(request.remaining_ms(now_ms)),
        revision=request.workload.revision,
        view_age_ms=round(tools.view.age_ms(now_ms)),
    )


def log_failure(
    request: requests.Request,
    seat: placement.Seat,
    ended: outcomes.NotServed,
    progress: relay_progress.Progress,
    tools: tool_types.Tools,
) -> None:
    """Tells how an attempt failed, and of which content it was."""
    logs.make_logger("attempt").info(
        "Attempt failed: {} ({}). {}",
        ended.reason.value,
        ended.ran.value,
        ended.detail,
        request_id=request.request_id,
        target=seat.target.target_id,
        content=suspects.name_content(request),
        route=request.payload.route.name,
        sent=progress.sent,
        blamed=progress.blamed,
        last_event=progress.last_event_id,
        waited_ms=round(tools.outside.now_ms() - request.arrived_ms),
    )
