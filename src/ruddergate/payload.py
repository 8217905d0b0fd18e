"""A call that is passed on to a target as it came."""

import dataclasses

from ruddergate.http import message
from ruddergate.settings import route as routes


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """What a target is to receive unchanged.

    Attributes:
        route: The route that covers the call.
        method: HTTP method.
        host: Host that the caller asked for.
        target: Path and query exactly as received.
        fields: Header lines to pass on.
        body: Whole body.
        last_event: Id of the last event that the caller already has; empty
            when it asks for a stream from its start.
    """

    route: routes.Route
    method: str
    host: str
    target: str
    fields: message.Fields
    body: bytes
    last_event_id: str
