"""The programs' event loop, whose timers include the time of a suspension.

asyncio's own loops use the monotonic clock: after a suspension of five seconds
every timer is five seconds late, deadlines of requests among them. With a clock
that includes suspended time, overdue timers run as soon as the loop resumes, or
after one more wait of the selector, which takes at most half a second while the
scheduler ticks.
"""

import asyncio
from collections.abc import Callable

from ruddergate import clock


def make_event_loop(
    read_s: Callable[[], float] = clock.read_s,
) -> asyncio.AbstractEventLoop:
    """Returns an event loop that uses the given clock.

    Args:
        read_s: Returns the time in seconds.
    """
    loop = asyncio.SelectorEventLoop()
    # The loop reads the time only through this method.
    loop.time = read_s
    return loop
