"""Limits on what one caller may send, as published by operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Published limits; None means that the process's own limit applies.

    Attributes:
        header_bytes_max: Maximum size of the request line and headers.
        body_bytes_max: Maximum size of the body.
        idle_timeout_ms: Time that a connection may be idle between requests.
    """

    header_bytes_max: int | None = None
    body_bytes_max: int | None = None
    idle_timeout_ms: float | None = None


NONE = CallerLimits()
