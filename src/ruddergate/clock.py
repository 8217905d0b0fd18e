"""The clock that ages, deadlines and timers go by.

A VM may be suspended for seconds. The monotonic clock stands still meanwhile,
and a VM that goes by it wakes with proofs, leases and deadlines that look as
young as they were: it would use a key that was removed while it slept. The
clock used here counts that time.
"""

import time

# Where the system has none that counts, the monotonic clock has to do.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_s() -> float:
    """Returns seconds since some moment, those of a suspension included."""
    return time.clock_gettime(_CLOCK_ID)
