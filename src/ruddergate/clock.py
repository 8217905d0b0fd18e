"""The clock behind ages, deadlines and timers.

A VM may be suspended for seconds. The monotonic clock stops meanwhile, so a VM
that relied on it would resume with settings, leases and deadlines that look as
fresh as before, and would for instance accept a key that was removed
during the suspension. The clock used here includes suspended time.
"""

import time

# Systems without CLOCK_BOOTTIME fall back to the monotonic clock.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_s() -> float:
    """Returns seconds since an arbitrary moment, suspended time included."""
    return time.clock_gettime(_CLOCK_ID)
