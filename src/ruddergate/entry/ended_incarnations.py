"""Notifies waiting attempts when incarnations of targets have ended.

An engine whose helper has died stalls for 1.5 s before it refuses the prompt.
Other requests learn of the helper's end within milliseconds: their streams
break, or nothing listens at its address any more.
"""

import asyncio
from collections.abc import Iterable
import math

from ruddergate.fleet import incarnation as incarnations

# Ended incarnations kept for attempts that begin later.
_MAX_KEPT = 512
# How long. The list of targets has dropped an incarnation by then; one that is
# still listed has not ended, whatever a VM without links concluded.
KEPT_MS = 5_000.0
# A waiter learns of an end only once it was believed for this time. VMs that
# reach the target refute it sooner, also if the target is silent.
SETTLE_MS = 250.0


class EndedIncarnations:
    """Incarnations that seem to have ended; owned by the scheduler task."""

    def __init__(self) -> None:
        # When each was last reported, the latest last.
        self._ended: dict[incarnations.Incarnation, float] = {}
        self._waiters: dict[
            asyncio.Future[incarnations.Incarnation], frozenset
        ] = {}

    def note(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> None:
        """Records that an incarnation has ended."""
        self._ended.pop(incarnation, None)
        self._ended[incarnation] = now_ms
        if len(self._ended) > _MAX_KEPT:
            del self._ended[next(iter(self._ended))]
        for waiter, awaited in self._waiters.items():
            if incarnation in awaited and not waiter.done():
                waiter.set_result(incarnation)

    def is_recent(
        self, incarnation: incarnations.Incarnation, now_ms: float
    ) -> bool:
        """Returns whether an incarnation seems to have ended."""
        ended_ms = self._ended.get(incarnation)
        return ended_ms is not None and now_ms - ended_ms <= KEPT_MS

    def list_recent(self, now_ms: float) -> list[incarnations.Incarnation]:
        """Returns the incarnations that seem to have ended."""
        return [
            incarnation
            for incarnation, ended_ms in self._ended.items()
            if now_ms - ended_ms <= KEPT_MS
        ]

    def refute(
        self, incarnation: incarnations.Incarnation, at_ms: float = math.inf
    ) -> None:
        """Records that an incarnation has responded, and when it last did."""
        if self._ended.get(incarnation, math.inf) < at_ms:
            del self._ended[incarnation]

    async def wait_for_any(
        self, awaited: Iterable[incarnations.Incarnation], now_ms: float
    ) -> incarnations.Incarnation:
        """Waits until one of the incarnations has ended, and returns it.

        An end that is refuted within SETTLE_MS does not count.
        """
        wanted = frozenset(awaited)
        while True:
            incarnation = await self._wait_for_next(wanted, now_ms)
            await asyncio.sleep(SETTLE_MS / 1000.0)
            if incarnation in self._ended:
                return incarnation

    async def _wait_for_next(
        self, wanted: frozenset[incarnations.Incarnation], now_ms: float
    ) -> incarnations.Incarnation:
        for incarnation in self.list_recent(now_ms):
            if incarnation in wanted:
                return incarnation
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = wanted
        try:
            return await waiter
        finally:
            del self._waiters[waiter]
