"""The protocol that the callers of one platform speak."""

from collections.abc import Callable
import dataclasses

from ruddergate import outcomes
from ruddergate.http import message


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request, before any settings are applied to it.

    Attributes:
        request_id: The id that the caller gave it.
        host: Host that the request is for.
        key: The caller's API key, or empty.
        time_limit_ms: How long the caller waits, or None if not specified.
        prompt_tokens: Length of the prompt; 0 for a plain service.
        output_tokens_max: Maximum output tokens; 0 for a plain service.
        shared_parts: Names of the parts of the prompt that other requests may
            share, in order.
        last_event_id: Id of the last event that the caller received, or empty.
        fields: Header lines that may be forwarded.
    """

    request_id: str
    host: str
    key: str
    time_limit_ms: float | None
    prompt_tokens: int
    output_tokens_max: int
    shared_parts: tuple[str, ...]
    last_event_id: str
    fields: message.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class CallerProtocol:
    """Translates between HTTP and the internal types, for one platform.

    Attributes:
        read: Parses a request, or returns why it is invalid.
        write_failure: Returns the response to a request that was not served.
    """

    read: Callable[
        [message.IncomingRequest], CallerRequest | outcomes.NotServed
    ]
    write_failure: Callable[[outcomes.NotServed], message.Response]
