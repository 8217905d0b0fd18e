"""Records in the progress of a request how an attempt failed."""

from ruddergate import outcomes
from ruddergate.entry import model_run
from ruddergate.entry import relay_progress
from ruddergate.relay import response_event as response_events

# One of the targets, or a helper, accepts no requests at the moment, or there
# is no retry. No target has to be excluded for this: the scheduler knows which
# one it is when it chooses the next ones, and a second attempt avoids silent
# targets by itself.
_UNAVAILABLE_REASONS = (
    outcomes.Reason.RETRY_BUDGET_SPENT,
    outcomes.Reason.TARGET_SILENT,
    outcomes.Reason.TARGET_LEAVING,
    outcomes.Reason.TARGET_QUIET,
    outcomes.Reason.TARGET_RATE_LIMITED,
)
# The attempt ended before the request was sent.
UNSENT_REASONS = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_UNREACHABLE,
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
    outcomes.Reason.QUARANTINED,
    outcomes.Reason.TRIAL_RUNNING,
    *_UNAVAILABLE_REASONS,
)
# The target that was to respond need not be the one that failed, so it is not
# excluded.
_KEEP_TARGET_REASONS = (
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
    outcomes.Reason.TRIAL_RUNNING,
    *_UNAVAILABLE_REASONS,
)
# After these, a target that refused because of a helper stays pinned.
_KEEP_PIN_REASONS = (outcomes.Reason.HELPER_UNREACHABLE, *_UNAVAILABLE_REASONS)
# Responses below this status are final. From here on a repeatable request is
# retried; if all retries fail, the caller gets the last such response.
_MIN_SERVER_ERROR_STATUS = 500


def find_failure(
    outcome: response_events.Event, progress: relay_progress.Progress
) -> outcomes.NotServed | None:
    """Returns the failure that an outcome is, or None for a success.

    A target's own error response is kept for the caller.
    """
    if isinstance(outcome, outcomes.NotServed):
        return outcome
    if not isinstance(outcome, response_events.CompleteResponse):
        return None
    if progress.has_head:
        # It can't go on with the stream that the caller has begun to receive.
        return outcomes.NotServed(
            outcomes.Reason.TARGET_BROKE_PROTOCOL,
            outcomes.Ran.UNKNOWN,
            f"the target answered {outcome.status} to a resumed stream",
        )
    if outcome.status < _MIN_SERVER_ERROR_STATUS:
        return None
    progress.error_response = outcome
    return outcomes.NotServed(
        outcomes.Reason.TARGET_REFUSED,
        outcomes.Ran.RAN,
        f"the target answered {outcome.status}",
    )


def note_failure(
    target_id: str,
    outcome: outcomes.NotServed,
    progress: relay_progress.Progress,
) -> None:
    """Records whether an attempt that failed had sent and run the request."""
    progress.ran = model_run.combine_ran(progress.ran, outcome.ran)
    if outcome.reason not in UNSENT_REASONS:
        progress.sent_targets |= {target_id}


def exclude_target(
    target_id: str,
    outcome: outcomes.NotServed,
    progress: relay_progress.Progress,
) -> None:
    """Excludes a target that failed from further attempts."""
    if outcome.reason not in _KEEP_PIN_REASONS:
        progress.pinned_target_id = ""
    if outcome.reason not in _KEEP_TARGET_REASONS:
        progress.excluded |= {target_id}
