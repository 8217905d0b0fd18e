"""The outcomes of a request, as values.

They are returned and never raised, by every stage that handles a request.
"""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether a target executed any part of a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was not served; stable names for callers and metrics."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_WORKLOAD = "unknown_workload"
    PROMPT_TOO_LONG = "prompt_too_long"
    QUEUE_FULL = "queue_full"
    CANNOT_FINISH_IN_TIME = "cannot_finish_in_time"
    LIMIT_REACHED = "limit_reached"
    NO_TARGET = "no_target"
    NO_SETTINGS = "no_settings"
    VIEW_TOO_OLD = "view_too_old"
    SETTINGS_TOO_OLD = "settings_too_old"
    STOPPING = "stopping"
    TIME_LIMIT = "time_limit"
    TARGET_REFUSED = "target_refused"
    NO_MEMORY = "no_memory"
    HELPER_UNREACHABLE = "helper_unreachable"
    TARGET_GONE = "target_gone"
    TARGET_LEAVING = "target_leaving"
    TARGET_QUIET = "target_quiet"
    TARGET_RATE_LIMITED = "target_rate_limited"
    TARGET_REPLACED = "target_replaced"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_LOST = "target_lost"
    TARGET_SILENT = "target_silent"
    TARGET_BROKE_PROTOCOL = "target_broke_protocol"
    RESPONSE_TOO_LARGE = "response_too_large"
    QUARANTINED = "quarantined"
    TRIAL_RUNNING = "trial_running"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    KEY_HOME_UNREACHABLE = "key_home_unreachable"
    KEY_HOME_UNSETTLED = "key_home_unsettled"
    KEY_ALREADY_USED = "key_already_used"
    TICKET_HOME_GONE = "ticket_home_gone"
    CALLER_LEFT = "caller_left"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class NotServed:
    """A request that ended without its whole answer.

    Attributes:
        reason: Why it ended, as a stable name.
        ran: Whether a target executed any part of it.
        detail: One sentence for the caller.
        retry_after_ms: Delay after which to retry; None if retrying won't help.
    """

    reason: Reason
    ran: Ran
    detail: str
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """A request whose whole answer has been delivered.

    Attributes:
        output_tokens: Tokens delivered; 0 for a plain service.
        finish_reason: The engine's reason to stop, such as `stop`.
    """

    output_tokens: int
    finish_reason: str


Outcome = Finished | NotServed


def refuse(
    reason: Reason, detail: str, retry_after_ms: float | None = None
) -> NotServed:
    """Returns the outcome of a request that no target has received."""
    return NotServed(reason, Ran.NOT_RUN, detail, retry_after_ms)
