"""Notifies waiting attempts when incarnations of targets have ended.

An engine whose helper has died stalls for 1.5 s before it refuses the prompt.
Other requests learn of the helper's end within milliseconds: their streams
break, or nothing listens at its address any more.
"""

import asyncio
from collections.abc import Iterable

from ruddergate.fleet import incarnation as incarnations

# Ended incarnations kept for attempts that begin later. The list of targets has
# dropped an incarnation long before this many others have ended.
_MAX_KEPT = 512


class EndedIncarnations:
    """Incarnations that have certainly ended; owned by the scheduler task."""

    def __init__(self) -> None:
        self._ended: dict[incarnations.Incarnation, None] = {}
        self._waiters: dict[
            asyncio.Future[incarnations.Incarnation], frozenset
        ] = {}

    def note(self, incarnation: incarnations.Incarnation) -> None:
        """Records that an incarnation has ended."""
        self._ended[incarnation] = None
        if len(self._ended) > _MAX_KEPT:
            del self._ended[next(iter(self._ended))]
        for waiter, awaited in self._waiters.items():
            if incarnation in awaited and not waiter.done():
                waiter.set_result(incarnation)

    async def wait_for_any(
        self, awaited: Iterable[incarnations.Incarnation]
    ) -> incarnations.Incarnation:
        """Waits until one of the incarnations has ended, and returns it."""
        wanted = frozenset(awaited)
        for incarnation in wanted:
            if incarnation in self._ended:
                return incarnation
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = wanted
        try:
            return await waiter
        finally:
            del self._waiters[waiter]
