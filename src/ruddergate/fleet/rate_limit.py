"""A target's rate limit, as VMs tell each other of it."""

import msgspec


class RateLimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a VM has heard from a target of its limit.

    Attributes:
        target_id: The target.
        rate_per_s: Requests a second that it takes from all VMs together; None
            if it names no limit any more.
        age_ms: How long ago it said so.
    """

    target_id: str
    rate_per_s: float | None
    age_ms: float
