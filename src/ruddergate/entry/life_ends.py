"""Tells those that wait for it when lives of targets have ended.

An engine whose helper has died stands still for a second and a half before it
refuses the prompt. Others know of the end within milliseconds: their streams
broke, or nobody listened any more.
"""

import asyncio
from collections.abc import Iterable

from ruddergate.fleet import incarnation as incarnations

# Ends kept, for attempts that begin after them; the list of targets has dropped
# them long before so many more have ended.
_KEPT_MOST = 512


class LifeEnds:
    """Lives that have certainly ended; owned by the scheduler task."""

    def __init__(self) -> None:
        self._ended: dict[incarnations.Incarnation, None] = {}
        self._waiting: dict[
            asyncio.Future[incarnations.Incarnation], frozenset
        ] = {}

    def note(self, incarnation: incarnations.Incarnation) -> None:
        """Notes that a life has ended."""
        self._ended[incarnation] = None
        if len(self._ended) > _KEPT_MOST:
            del self._ended[next(iter(self._ended))]
        for waiting, awaited in self._waiting.items():
            if incarnation in awaited and not waiting.done():
                waiting.set_result(incarnation)

    async def wait_for_any(
        self, awaited: Iterable[incarnations.Incarnation]
    ) -> incarnations.Incarnation:
        """Returns the first of some lives that has ended, once one has."""
        wanted = frozenset(awaited)
        for incarnation in wanted:
            if incarnation in self._ended:
                return incarnation
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[waiting] = wanted
        try:
            return await waiting
        finally:
            del self._waiting[waiting]
