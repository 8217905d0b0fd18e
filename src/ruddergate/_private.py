"""Helpers that the programs share."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Iterable


async def wait_while_running(
    awaited: Awaitable[object], tasks: Iterable[asyncio.Future]
) -> None:
    """Waits while tasks run beside; raises if one of them fails.

    A task that ends by an exception is a broken invariant: its process must
    not go on as if nothing had happened.
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
