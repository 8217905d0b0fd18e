"""Reads the platform's store until a VM has reached the store's position.

The store may need several responses for its changes. They are read one after
the other without a pause, and everything at once if that is shorter.
"""

from collections.abc import Callable
import math
from typing import TypeAlias

from ruddergate import environment
from ruddergate.decisions import freshness
from ruddergate.entry import store_reader
from ruddergate.fleet import store_position
from ruddergate.relay import published
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# Applies changes after a position, or everything if that is None.
Apply: TypeAlias = Callable[
    [published.Changes, freshness.AsOf, store_position.StorePosition | None],
    None,
]


class StoreCatchUp:
    """Reads the store in as many calls as it takes; owned by one task.

    Args:
        env: The clock.
        reader: Calls the store.
        apply: Applies what was read.
        metrics: Counts reads that took several responses.
    """

    def __init__(
        self,
        env: environment.Environment,
        reader: store_reader.StoreReader,
        apply: Apply,
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._reader = reader
        self._apply = apply
        self._metrics = metrics
        # Responses that the last read of everything took.
        self._list_responses = 1
        self._log = logs.make_logger("store")

    async def read_all(self, retry_max_ms: float) -> bool:
        """Reads everything; returns whether that succeeded.

        Args:
            retry_max_ms: Longest delay after a failed call.
        """
        found = await self._reader.read(None, retry_max_ms)
        if found is None:
            return False
        self._apply_all(found)
        return True

    async def read_changes(
        self, known: store_position.StorePosition, retry_max_ms: float
    ) -> bool:
        """Reads what has changed; returns whether this VM is current then.

        Args:
            known: The position that this VM has reached.
            retry_max_ms: Longest delay after a failed call.
        """
        watermark = await self._reader.read_watermark(known, retry_max_ms)
        if watermark is None:
            return False
        if isinstance(watermark, published.HistoryLost):
            return await self.read_all(retry_max_ms)
        if watermark.position == known:
            self._apply(
                _make_unchanged(known),
                freshness.AsOf(watermark.as_of_ms, watermark.as_of_ms),
                known,
            )
            return True
        return await self._read_backlog(known, watermark, retry_max_ms)

    async def _read_backlog(
        self,
        known: store_position.StorePosition,
        watermark: freshness.HighWatermark,
        retry_max_ms: float,
    ) -> bool:
        """Reads changes until the watermark is reached, or everything."""
        first = known
        responses = 0
        while True:
            found = await self._reader.read(known, retry_max_ms)
            if found is None:
                self._report(first, known, watermark, responses, "failed")
                return False
            if found.since is None:
                self._apply_all(found)
                return True
            responses += 1
            reached = found.changes.position
            proven_ms = freshness.find_proven_ms(reached, watermark)
            as_of = freshness.AsOf(found.asked_ms, proven_ms)
            self._apply(found.changes, as_of, known)
            if proven_ms > -math.inf:
                self._report(first, reached, watermark, responses, "changes")
                return True
            covered = reached.revision - known.revision
            known = reached
            if freshness.should_read_all(
                watermark.position.revision - known.revision,
                covered,
                responses,
                self._list_responses,
            ):
                self._report(first, known, watermark, responses, "all")
                return await self.read_all(retry_max_ms)

    def _apply_all(self, found: store_reader.Read) -> None:
        self._list_responses = found.changes.responses
        as_of = freshness.AsOf(found.asked_ms, found.asked_ms)
        self._apply(found.changes, as_of, None)

    def _report(
        self,
        first: store_position.StorePosition,
        reached: store_position.StorePosition,
        watermark: freshness.HighWatermark,
        responses: int,
        result: str,
    ) -> None:
        """Reports a read that one response was not enough for."""
        is_backlog = responses > (1 if result == "changes" else 0)
        if not is_backlog:
            return
        self._metrics.store_backlogs.inc({"result": result})
        self._log.info(
            "The store has more changes than one response holds.",
            result=result,
            responses=responses,
            since_revision=first.revision,
            read_revision=reached.revision,
            store_revision=watermark.position.revision,
            took_ms=round(self._env.now_ms() - watermark.as_of_ms),
        )


def _make_unchanged(
    position: store_position.StorePosition,
) -> published.Changes:
    """Returns that nothing has changed since a position."""
    return published.Changes(position, None, (), (), ())
