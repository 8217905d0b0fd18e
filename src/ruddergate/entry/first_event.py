"""Reads a response up to its first event, while other signs are watched."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Sequence

from ruddergate import outcomes
from ruddergate.relay import response_event as response_events


async def read_first(
    events: AsyncIterator[response_events.Event],
    watches: Sequence[
        Awaitable[outcomes.NotServed | response_events.TargetSilent]
    ],
) -> AsyncIterator[response_events.Event]:
    """Yields silences, then the first event or the failure before it.

    A silence does not end the reading, since the response may still go on.

    Args:
        events: The events of the response.
        watches: Each returns a failure once no event can be expected, or a
            silence once other signs show one.
    """
    reading = asyncio.ensure_future(anext(events))
    watching = {asyncio.ensure_future(each) for each in watches}
    try:
        while True:
            await asyncio.wait(
                {reading, *watching}, return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done():
                event = reading.result()
            else:
                done = next(each for each in watching if each.done())
                watching.discard(done)
                event = done.result()
            is_silence = isinstance(event, response_events.TargetSilent)
            if is_silence and reading.done():
                reading = asyncio.ensure_future(anext(events))
            yield event
            if not is_silence:
                return
    finally:
        for each in (reading, *watching):
            await _end(each)


async def _end(task: asyncio.Future) -> None:
    """Cancels a task unless it is done, and waits until it is."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
