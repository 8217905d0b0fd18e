"""One call as it is sent to one target."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate.fleet import target as targets
from ruddergate.relay import answer as answers


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that reads part of the prompt.

    Attributes:
        target_id: Its name.
        address: Where it serves.
        ticket: Name of the memory set aside there, or empty.
    """

    target_id: str
    address: environment.Address
    ticket: str = ""


async def _always() -> bool:
    return True


def _refuse_nothing() -> outcomes.NotServed | None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """How long to wait for a target, in milliseconds.

    Attributes:
        connect_ms: For a connection.
        first_ms: For the first event, or a plain answer's head.
        gap_ms: Between two events.
        may_end: Asked when that is over: whether the target is to be given up,
            or else waited for until the call's deadline.
    """

    connect_ms: float
    first_ms: float
    gap_ms: float
    may_give_up: Callable[[], Awaitable[bool]] = _always


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What to send to whom.

    Attributes:
        payload: The call.
        target: Who is to run it.
        workspace: Whose call it is; empty for an open route.
        deadline_ms: Monotonic time at which it must have ended.
        urgency: 0 to 9; the target lets lower ones in first.
        resume_after: Id of the last event the caller has; empty for none.
        helpers: Engines that read parts of the prompt.
        patience: How long to wait.
        refuse: Asked when all is ready, in the step that sends the first byte:
            returns why the call is not to be sent after all, if so.
    """

    payload: payloads.Payload
    target: targets.Target
    workspace: str
    deadline_ms: float
    urgency: int
    resume_after: str
    helpers: tuple[Helper, ...]
    timeouts: Timeouts
    check_admission: Callable[[], outcomes.NotServed | None] = _refuse_nothing


Send: TypeAlias = Callable[[UpstreamRequest], AsyncIterator[answers.Event]]
"""Sends an errand; the caller closes the iterator to give it up."""
