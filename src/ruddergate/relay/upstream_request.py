"""A request as it is sent to one target."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate.fleet import target as targets
from ruddergate.relay import response_event as response_events


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that prefills part of the prompt.

    Attributes:
        target_id: Name of the engine.
        address: Address at which it serves.
        reservation_name: Name of the memory reservation there, or empty.
    """

    target_id: str
    address: environment.Address
    reservation_name: str = ""


def _admit() -> outcomes.NotServed | None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts for a target, in milliseconds.

    After `first_ms` or `gap_ms` a silence is reported, once; the response is
    then waited for until the deadline.

    Attributes:
        connect_ms: For connecting.
        first_ms: For the first event, or for the response head of a plain
            service.
        gap_ms: Between two events.
    """

    connect_ms: float
    first_ms: float
    gap_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What to send, and to which target.

    Attributes:
        payload: The request to relay.
        target: The target that is to run it.
        workspace: The workspace of the caller; empty for an open route.
        deadline_ms: Deadline, as monotonic time.
        urgency: 0 to 9; the target admits lower values first.
        resume_after: Id of the last event that the caller received, or empty.
        helpers: Engines that prefill parts of the prompt.
        timeouts: How long to wait for the target.
        check_admission: Called once the connection is up, in the same step
            that sends the first byte; returns a refusal if the request must
            not be sent.
    """

    payload: payloads.Payload
    target: targets.Target
    workspace: str
    deadline_ms: float
    urgency: int
    resume_after: str
    helpers: tuple[Helper, ...]
    timeouts: Timeouts
    check_admission: Callable[[], outcomes.NotServed | None] = _admit


Send: TypeAlias = Callable[
    [UpstreamRequest], AsyncIterator[response_events.Event]
]
"""Sends a request; closing the iterator abandons it."""
