"""Tells those that wait for it when lives of targets have ended.

An engine whose helper has died stands still for a second and a half before it
refuses the prompt. Others know of the end within milliseconds: their streams
broke, or nobody listened any more.
"""

import asyncio
from collections.abc import Iterable

from ruddergate.fleet import life as lives

# Ends kept, for attempts that begin after them; the list of targets has dropped
# them long before so many more have ended.
_KEPT_MOST = 512


class EndedIncarnations:
    """Lives that have certainly ended; owned by the scheduler task."""

    def __init__(self) -> None:
        self._ended: dict[lives.Life, None] = {}
        self._waiting: dict[asyncio.Future[lives.Life], frozenset] = {}

    def note(self, life: lives.Life) -> None:
        """Notes that a life has ended."""
        self._ended[life] = None
        if len(self._ended) > _KEPT_MOST:
            del self._ended[next(iter(self._ended))]
        for waiting, awaited in self._waiting.items():
            if life in awaited and not waiting.done():
                waiting.set_result(life)

    async def wait_for_any(self, awaited: Iterable[lives.Life]) -> lives.Life:
        """Returns the first of some lives that has ended, once one has."""
        wanted = frozenset(awaited)
        for life in wanted:
            if life in self._ended:
                return life
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[waiting] = wanted
        try:
            return await waiting
        finally:
            del self._waiting[waiting]
