"""How callers of one platform are understood and answered."""

from collections.abc import Callable
import dataclasses

from ruddergate import outcomes
from ruddergate.http import message


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A call before the settings are asked about it.

    Attributes:
        request_id: The caller's name for it.
        host: Host asked for.
        key: The caller's key, or empty.
        time_limit_ms: How long the caller waits, or None if it did not say.
        prompt_tokens: Length of the prompt; 0 for a plain call.
        output_tokens_max: Longest answer in tokens; 0 for a plain call.
        prefix_name: Name of the part of the prompt that others share.
        prefix_tokens: Its length.
        last_event: Id of the last event that the caller has, or empty.
        fields: Header lines that may be passed on.
    """

    request_id: str
    host: str
    key: str
    time_limit_ms: float | None
    prompt_tokens: int
    output_tokens_max: int
    prefix_name: str
    prefix_tokens: int
    last_event_id: str
    fields: message.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class CallerProtocol:
    """Translation between HTTP and the product, for one kind of caller.

    Attributes:
        read: Returns the call, or why it is none.
        write_failure: Returns the answer for a call that was not served.
    """

    read: Callable[
        [message.IncomingRequest], CallerRequest | outcomes.NotServed
    ]
    write_failure: Callable[[outcomes.NotServed], message.Response]
