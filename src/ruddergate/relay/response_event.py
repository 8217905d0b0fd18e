"""Events that make up a target's response to a relayed request."""

import dataclasses

from ruddergate import outcomes
from ruddergate.fleet import load_report
from ruddergate.http import message


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that was read completely, to be relayed unchanged.

    Attributes:
        status: HTTP status.
        fields: Header lines to relay.
        body: Complete body.
    """

    status: int
    fields: message.Fields
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """The head of an event stream; the first events follow it.

    Attributes:
        status: HTTP status.
        fields: Header lines to relay.
    """

    status: int
    fields: message.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvents:
    """One or more complete events.

    Attributes:
        data: Their bytes as received.
        last_event_id: Id of the last event that has one; empty if there was
            none yet in this response.
    """

    data: bytes
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """The regular end of an event stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target reported its load with a response."""

    report: load_report.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class HelperFaultReported:
    """A target reported that one of its helpers was at fault.

    Attributes:
        target_id: The helper at fault.
    """

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSilent:
    """Nothing was received for a while; the response may still go on."""


Event = (
    CompleteResponse
    | StreamHead
    | StreamEvents
    | StreamEnd
    | LoadReported
    | HelperFaultReported
    | TargetSilent
    | outcomes.NotServed
)
"""The last event is a CompleteResponse, a StreamEnd or a NotServed."""
