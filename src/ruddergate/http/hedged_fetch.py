"""Fetches a response, with a second request beside one that is not answered.

Only for requests that may run twice.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeAlias

from ruddergate import environment
from ruddergate.http import client
from ruddergate.http import message

_Task: TypeAlias = asyncio.Task[client.CompleteResponse | client.Fault]


async def fetch_hedged(
    env: environment.Environment,
    address: environment.Address,
    request: message.OutgoingRequest,
    timeouts: client.Timeouts,
    body_bytes_max: int,
    hedge_after_ms: float,
    on_head: Callable[[float], None],
    on_hedge: Callable[[], None],
) -> client.CompleteResponse | client.Fault:
    """Sends the request, and once more if no response begins in time.

    Args:
        env: Clock and streams.
        address: Where to send it.
        request: The request.
        timeouts: Timeouts of each of both.
        body_bytes_max: A longer body is a fault.
        hedge_after_ms: When the second one is sent; infinity for never.
        on_head: Called when a response begins, with the time since its request
            was begun.
        on_hedge: Called when a second request is sent.

    Returns:
        The first whole response, or the fault of the first request.
    """
    has_begun = asyncio.Event()

    def note_head(took_ms: float) -> None:
        has_begun.set()
        on_head(took_ms)

    def start() -> _Task:
        fetching = client.fetch_within(
            env, address, request, timeouts, body_bytes_max, note_head
        )
        return asyncio.create_task(fetching)

    tasks = [start()]
    try:
        await _wait_for_head(tasks[0], has_begun, hedge_after_ms)
        if not has_begun.is_set() and not tasks[0].done():
            on_hedge()
            tasks.append(start())
        return await _find_response(tasks)
    finally:
        for task in tasks:
            task.cancel()


async def _wait_for_head(
    task: _Task, has_begun: asyncio.Event, limit_ms: float
) -> None:
    """Waits until a response begins, the task ends, or the time is over."""
    waiting = asyncio.create_task(has_begun.wait())
    try:
        await asyncio.wait(
            {waiting, task},
            timeout=limit_ms / 1000.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        waiting.cancel()


async def _find_response(
    tasks: Sequence[_Task],
) -> client.CompleteResponse | client.Fault:
    """Returns the first whole response, or the fault of the first task.

    The second one does not prolong what has failed.
    """
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not isinstance(task.result(), client.Fault):
                return task.result()
        if tasks[0].done():
            return tasks[0].result()
