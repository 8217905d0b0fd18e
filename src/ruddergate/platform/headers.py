"""Names of the platform's headers, in lower case."""

from collections.abc import Iterable

from ruddergate.http import message

# The caller's id for one attempt at a request; each attempt has its own.
REQUEST_ID = "x-attempt-id"
# Remaining time of the request, in milliseconds.
TIME_LEFT = "x-deadline-ms"
API_KEY = "x-api-key"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKENS = "x-token-usage"
# Parts of the prompt as name:tokens, in order, separated by commas.
PARTS = "x-prefix-hash"
LAST_EVENT = "last-event-id"
# The workspace, as sent to targets.
WORKSPACE = "x-tenant-id"
# The incarnation that is to run the request; others reject it.
EXPECTED_TARGET = "x-expect-replica"
# Engines that prefill parts of the prompt, as ADDRESS or ADDRESS/RESERVATION.
HELPERS = "helpers"
# 0 to 9, lower values are admitted first.
URGENCY = "priority"
EXPECTED_VERSION = "expect-version"
# Proves that a response comes from the target itself.
SIGNATURE = "x-replica-signature"
# Sent by a target that did not run the request.
NOT_RUN = "x-not-executed"
# Sent with a rejection: the target at fault. A helper is identified by the
# address at which it was contacted, as HOST:PORT, not by its id.
AT_FAULT = "at-server"
# Requests running, requests waiting and slots, separated by commas.
LOAD = "x-replica-load"
# In a target's rejection: seconds for which this VM should send it nothing.
RETRY_AFTER = "retry-after"
# In all responses of a draining target: 1.
DRAINING = "server-leaving"
# In the responses of an overloaded target: requests per second that it accepts
# from all VMs together.
RATE_LIMIT = "server-limit"
# In all responses of the store: increases by one when it is restored from a
# copy.
STORE_EPOCH = "store-era"

_HOP_BY_HOP = frozenset(
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
_SET_BY_GATEWAY = frozenset(
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
    """Returns the header lines of a caller to forward to a target."""
    return _select(
        fields, _HOP_BY_HOP | _SET_BY_GATEWAY | _find_connection_options(fields)
    )


def select_for_caller(fields: message.Fields) -> message.Fields:
    """Returns the header lines of a target to forward to a caller."""
    length = {"content-length"}
    return _select(
        fields, _HOP_BY_HOP | length | _find_connection_options(fields)
    )


def _select(fields: message.Fields, excluded: Iterable[str]) -> message.Fields:
    return tuple(
        (name, value) for name, value in fields if name.lower() not in excluded
    )


def _find_connection_options(fields: message.Fields) -> frozenset[str]:
    """Returns the hop-by-hop headers that a Connection header lists."""
    options: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            options.update(each.strip().lower() for each in value.split(","))
    return frozenset(options)
