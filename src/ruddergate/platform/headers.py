"""Names of the platform's headers, in lower case."""

from collections.abc import Iterable

from ruddergate.http import message

# A caller's own name for one try of a call; each try has another.
REQUEST_ID = "x-attempt-id"
# Milliseconds that are left for the call.
TIME_LEFT = "x-deadline-ms"
API_KEY = "x-api-key"
# Prompt tokens and most output tokens, separated by a comma.
TOKENS = "x-token-usage"
# Parts of the prompt as name:tokens, in order, separated by commas.
PREFIX = "x-prefix-hash"
LAST_EVENT = "last-event-id"
# The workspace, as told to targets.
WORKSPACE = "x-tenant-id"
# The incarnation that is to run the call; others refuse it.
EXPECTED_TARGET = "x-expect-replica"
# Engines that read parts of the prompt, as address or address/ticket.
HELPERS = "helpers"
# 0 to 9, lower ones are let in first.
URGENCY = "priority"
EXPECTED_VERSION = "expect-version"
# Proof that an answer is a target's own.
SIGNATURE = "x-replica-signature"
# The target says that it did not run the call.
NOT_RUN = "x-not-executed"
# Beside a refusal: the target whose fault it was. A helper is named by the
# address at which it was asked to help, as HOST:PORT, not by its id.
AT_FAULT = "at-server"
# Calls running, calls waiting, places, separated by commas.
LOAD = "x-replica-load"
# In a target's refusal: seconds for which it wants nothing from this VM.
RETRY_AFTER = "retry-after"
# In all answers of a target that takes no new work any more: 1.
DRAINING = "server-leaving"
# In the answers of a target in need: requests a second that it takes from all
# VMs together.
RATE_LIMIT = "server-limit"
# In all answers of the store: rises by one when it is restored from a copy.
STORE_EPOCH = "store-era"

_ONE_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_HERE = frozenset(
    {
        "host",
        "content-length",
        TIME_LEFT,
        API_KEY,
        LAST_EVENT,
        WORKSPACE,
        EXPECTED_TARGET,
        HELPERS,
        URGENCY,
        EXPECTED_VERSION,
    }
)


def select_for_target(fields: message.Fields) -> message.Fields:
    """Returns a caller's header lines that a target is to see."""
    return _select(fields, _ONE_HOP | _SET_HERE | _named_in(fields))


def select_for_caller(fields: message.Fields) -> message.Fields:
    """Returns a target's header lines that a caller is to see."""
    length = {"content-length"}
    return _select(fields, _ONE_HOP | length | _named_in(fields))


def drop_retry_after(fields: message.Fields) -> message.Fields:
    """Returns a refusal's header lines without the time to come back.

    That is said to this VM, of one target; others may serve the caller at once.
    """
    return _select(fields, {RETRY_AFTER})


def _select(fields: message.Fields, left_out: Iterable[str]) -> message.Fields:
    return tuple(
        (name, value) for name, value in fields if name.lower() not in left_out
    )


def _named_in(fields: message.Fields) -> frozenset[str]:
    """Returns the names that a Connection header limits to one hop."""
    named: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            named.update(each.strip().lower() for each in value.split(","))
    return frozenset(named)
