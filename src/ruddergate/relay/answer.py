"""What a target's answer to a call that is passed on brings."""

import dataclasses

from ruddergate import outcomes
from ruddergate.fleet import load_report
from ruddergate.http import message


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """An answer read to its end, to be handed on as it is.

    Attributes:
        status: HTTP status.
        fields: Header lines to hand on.
        body: Whole body.
    """

    status: int
    fields: message.Fields
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """The beginning of a series of events; the first events follow it.

    Attributes:
        status: HTTP status.
        fields: Header lines to hand on.
    """

    status: int
    fields: message.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvents:
    """One or more whole events.

    Attributes:
        data: Their bytes as received.
        last_id: Id of the last of them.
    """

    data: bytes
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """The proper end of a series of events."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target told its load with an answer."""

    report: load_report.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class HelperFaultReported:
    """A target told that another one was at fault, which helped it.

    Attributes:
        target_id: The one at fault.
    """

    target_id: str


Event = (
    CompleteResponse
    | StreamHead
    | StreamEvents
    | StreamEnd
    | LoadReported
    | HelperFaultReported
    | outcomes.NotServed
)
"""The last event is a WholeAnswer, a StreamEnd or a NotServed."""
