"""Waits for the first event of a response, or a failure seen elsewhere."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Sequence

from ruddergate import outcomes
from ruddergate.relay import response_event as response_events


async def wait_for_first(
    events: AsyncIterator[response_events.Event],
    failure_watches: Sequence[Awaitable[outcomes.NotServed]],
) -> response_events.Event:
    """Returns the first event, or the failure that came before it.

    Args:
        events: The events of the response.
        failure_watches: Each returns a failure once no event can be expected.
    """
    reading = asyncio.ensure_future(anext(events))
    watching = [asyncio.ensure_future(each) for each in failure_watches]
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
    """Cancels a task unless it is done, and waits until it is."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
