"""Waits for the first event of an answer beside what may make it hopeless."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Sequence

from ruddergate import outcomes
from ruddergate.relay import response_event as response_events


async def await_first(
    events: AsyncIterator[response_events.Event],
    hopeless: Sequence[Awaitable[outcomes.NotServed]],
) -> response_events.Event:
    """Returns the first event, or how the attempt ends without one.

    Args:
        events: The answer.
        hopeless: Each returns an end once there is no hope of an event.
    """
    reading = asyncio.ensure_future(anext(events))
    watching = [asyncio.ensure_future(each) for each in hopeless]
    try:
        await asyncio.wait(
            {reading, *watching}, return_when=asyncio.FIRST_COMPLETED
        )
        if reading.done():
            return reading.result()
        return next(each for each in watching if each.done()).result()
    finally:
        for each in (reading, *watching):
            await _end(each)


async def _end(task: asyncio.Future) -> None:
    """Cancels a task unless it has ended, and waits for its end."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
