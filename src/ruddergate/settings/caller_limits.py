"""What one caller may send, as operators publish it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Published limits; None where the process's own limit holds.

    Attributes:
        header_bytes_max: Longest request line and headers.
        body_bytes_max: Longest body.
        idle_timeout_ms: Time that a connection may rest between requests.
    """

    header_bytes_max: int | None = None
    body_bytes_max: int | None = None
    idle_timeout_ms: float | None = None


NONE = CallerLimits()
