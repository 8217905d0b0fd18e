"""Whether a request may be sent to a further target after crashes.

A target that crashes takes all its streams with it, and the request that caused
the crash may meet them again at the next one. Poison requests crash their
targets before the first event, so a stream that has begun did not cause the
crash. A target that it loses then does not count against the route's limit if
that target is known to have ended.
"""

from ruddergate import request as requests
from ruddergate.entry import context as contexts
from ruddergate.entry import relay_progress
from ruddergate.telemetry import logs

# Crashed targets of one request that do not count.
MAX_UNCOUNTED = 2


async def is_limit_reached(
    request: requests.Request,
    progress: relay_progress.Progress,
    context: contexts.EntryContext,
    sending_to: frozenset[str] = frozenset(),
) -> bool:
    """Returns whether a request has used all the targets of its route.

    This waits for a probe that may still be finding out whether a lost target
    has ended.

    Args:
        request: The request.
        progress: Its progress; crashed targets are recorded there.
        context: Shared objects of the entry.
        sending_to: Targets that the request is being sent to now.
    """
    targets_max = request.payload.route.targets_max
    if progress.count_targets_used(sending_to) < targets_max:
        return False
    for incarnation in progress.interrupted - progress.uncounted:
        if len(progress.uncounted) >= MAX_UNCOUNTED:
            break
        if not await context.has_crashed(incarnation):
            continue
        progress.uncounted |= {incarnation}
        context.metrics.uncounted_crashes.inc({})
        logs.make_logger("attempt").info(
            "Target {} crashed and does not count against the limit.",
            incarnation.target_id,
            request_id=request.request_id,
            born_ms=incarnation.started_ms,
            sent=progress.counted_attempts,
            last_event=progress.last_event_id,
        )
    return progress.count_targets_used(sending_to) >= targets_max
