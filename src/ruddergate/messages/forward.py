"""Forwarding of a request to the VM that owns its key or ticket."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's request, forwarded to the home VM of its key or ticket.

    Attributes:
        path: HTTP path as sent by the caller.
        headers: The caller's headers.
        body: The caller's body.
        time_limit_ms: Remaining time of the request.
    """

    path: str
    headers: dict[str, str]
    body: bytes
    time_limit_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardHead:
    """Status and headers of the home VM's response."""

    status: int
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPart:
    """A chunk of the response body; `last` marks its regular end."""

    data: bytes
    last: bool
