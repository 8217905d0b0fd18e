"""A target's rate limit, as VMs pass it on to each other."""

import msgspec


class RateLimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a VM has learned from a target about its rate limit.

    Attributes:
        target_id: The target.
        rate_per_s: Requests per second that it accepts from all VMs together;
            None if it no longer reports a limit.
        age_ms: Time since the target reported this.
    """

    target_id: str
    rate_per_s: float | None
    age_ms: float
