"""Asks peers what they know, when a VM has just started.

A VM that starts can't tell whether the store was restored from an older copy:
it has read nothing before. Peers that were there know settings that the copy
lacks. A VM that starts as well can't tell either, and says so.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import itertools
from typing import TypeAlias

from ruddergate.fleet import store_position
from ruddergate.messages import store_changes

# Datagrams may be lost, and the port of a peer that starts as well may not be
# open yet, so peers are asked again after this time.
ROUND_MS = 30.0
# Callers wait for the rounds, so all of them together take no longer than one
# reply of a busy peer may.
ROUNDS = 3
# Peers asked in one round; the reply of one that was there is enough.
MAX_PEERS_ASKED = 6

RequestChanges: TypeAlias = Callable[
    [str], Awaitable[store_changes.StoreChangesReply | None]
]


def make_request(
    request_changes: Callable[
        [str, store_position.StorePosition, str],
        Awaitable[store_changes.StoreChangesReply | None],
    ],
    run_id: str,
) -> Callable[
    [str, store_position.StorePosition],
    Awaitable[store_changes.StoreChangesReply | None],
]:
    """Returns a function that asks a peer for its changes since a position.

    Args:
        request_changes: Asks a peer, with a correlation id.
        run_id: Name of this run of the VM. The correlation ids are made from
            it, so that a start takes no random numbers from what follows.
    """
    numbers = itertools.count()

    def request(
        peer: str, position: store_position.StorePosition
    ) -> Awaitable[store_changes.StoreChangesReply | None]:
        correlation_id = f"{run_id}-{next(numbers)}"
        return request_changes(peer, position, correlation_id)

    return request


async def ask(
    seeds: Sequence[str],
    list_peers: Callable[[], Sequence[str]],
    request_changes: RequestChanges,
    is_sufficient: Callable[[str, store_changes.StoreChangesReply], bool],
) -> None:
    """Asks peers until a reply is sufficient, but for a few rounds at most.

    Args:
        seeds: If all of these have just started as well, no reply is awaited.
        list_peers: Returns the peers known now, the seeds first.
        request_changes: Asks a peer; returns None without a reply.
        is_sufficient: Called with each peer that replies, and its reply.
    """
    is_done = asyncio.Event()
    starting: set[str] = set()

    async def ask_peer(peer: str) -> None:
        reply = await request_changes(peer)
        if reply is None:
            return
        if reply.age_ms == store_changes.AGE_UNKNOWN:
            starting.add(peer)
        if is_sufficient(peer, reply) or starting.issuperset(seeds):
            is_done.set()

    tasks: list[asyncio.Task[None]] = []
    try:
        for _ in range(ROUNDS):
            peers = list_peers()[:MAX_PEERS_ASKED]
            tasks += [asyncio.ensure_future(ask_peer(each)) for each in peers]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ROUND_MS / 1000.0):
                    await is_done.wait()
                return
    finally:
        # Cancelling a task that has failed would keep its error from the log.
        for task in tasks:
            if not task.done():
                task.cancel()
