"""The programs' event loop, whose timers count the time of a suspension.

asyncio's own loops go by the monotonic clock: after a suspension of five
seconds each timer is five seconds late, deadlines of calls among them. With a
clock that counts, all that is overdue runs as soon as the loop goes on; one
wait of the selector, half a second at most while the scheduler ticks, may
still be in the way.
"""

import asyncio
from collections.abc import Callable

from ruddergate import clock


def make_event_loop(
    read_s: Callable[[], float] = clock.read_s,
) -> asyncio.AbstractEventLoop:
    """Returns a loop that goes by a clock.

    Args:
        read_s: The clock, in seconds.
    """
    loop = asyncio.SelectorEventLoop()
    # The loop asks itself for the time; nothing else of it depends on a clock.
    loop.time = read_s
    return loop
