"""Reports when this VM falls behind what the store publishes.

It runs beside the task that reads the store, since that task can't report a
read that takes too long, or never ends.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping

from ruddergate import environment
from ruddergate.telemetry import logs

_CHECK_MS = 500.0
# While the VM stays behind, this is logged again after this time.
_LOG_INTERVAL_MS = 10_000.0


async def watch(
    env: environment.Environment,
    find_age_ms: Callable[[], float],
    age_max_ms: float,
    describe: Callable[[], Mapping[str, object]],
) -> None:
    """Logs when this VM becomes stale and when it is current again.

    Args:
        env: The clock.
        find_age_ms: Returns the time since this VM was last current.
        age_max_ms: It is stale beyond this.
        describe: Returns what this VM knows, and how its last read went.
    """
    log = logs.make_logger("store")
    stale_since_ms: float | None = None
    logged_ms = 0.0
    while True:
        await asyncio.sleep(_CHECK_MS / 1000.0)
        now_ms, age_ms = env.now_ms(), find_age_ms()
        if age_ms <= age_max_ms:
            if stale_since_ms is not None:
                log.info(
                    "This VM follows the store again.",
                    away_ms=round(now_ms - stale_since_ms),
                    **describe(),
                )
            stale_since_ms = None
            continue
        is_new = stale_since_ms is None
        if is_new:
            stale_since_ms = now_ms - age_ms
        if is_new or now_ms - logged_ms >= _LOG_INTERVAL_MS:
            logged_ms = now_ms
            log.warning(
                "This VM no longer follows the store.",
                age_ms=round(age_ms),
                **describe(),
            )
