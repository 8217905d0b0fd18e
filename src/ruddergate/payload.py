"""A request that is forwarded to a target unchanged."""

import dataclasses

from ruddergate.http import message
from ruddergate.settings import route as routes


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that a target receives unchanged.

    Attributes:
        route: The route that the request matches.
        method: HTTP method.
        host: Host that the caller requested.
        target: HTTP request target: path and query exactly as received.
        fields: Header fields to forward.
        body: Whole body.
        last_event_id: Id of the last event that the caller has received; empty
            when it requests a stream from its start.
        shared_parts: Names of the parts of the prompt that other requests may
            share, in order.
    """

    route: routes.Route
    method: str
    host: str
    target: str
    fields: message.Fields
    body: bytes
    last_event_id: str
    shared_parts: tuple[str, ...] = ()
