"""Helpers shared by the programs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Iterable


async def wait_while_running(
    awaited: Awaitable[object], tasks: Iterable[asyncio.Future]
) -> None:
    """Waits while background tasks run; raises if one of them fails.

    An exception in a background task means that an invariant is broken, so the
    process must not continue.
    """
    waiting = asyncio.ensure_future(awaited)
    try:
        await asyncio.wait(
            {waiting, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done():
                task.result()
    finally:
        waiting.cancel()
