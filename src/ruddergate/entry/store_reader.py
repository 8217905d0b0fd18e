"""Reads the platform's store, with a growing delay after failed calls."""

from collections.abc import Callable
import dataclasses

from ruddergate import environment
from ruddergate.decisions import freshness
from ruddergate.entry import poll_config
from ruddergate.entry import store_epochs
from ruddergate.entry import view as views
from ruddergate.fleet import store_position
from ruddergate.relay import published
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# Factor by which the delay grows after each failed call.
_RETRY_FACTOR = 1.3
# While the store is unavailable, this is logged again after this time.
_LOG_INTERVAL_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A response of the store.

    Attributes:
        changes: The changes.
        since: The position after which they start; None for a full read.
        asked_ms: When the call began.
    """

    changes: published.Changes
    since: store_position.StorePosition | None
    asked_ms: float


class StoreReader:
    """Reads the store and backs off while it fails; owned by one task.

    Args:
        env: Clock and random numbers.
        source: Calls to the store.
        view: The current view, for logs.
        polling: Delays after failed calls.
        find_age_ms: Returns the age of this VM's view.
        metrics: Counts the calls.

    Attributes:
        failed_ms: When the last call began that found the store unavailable.
    """

    def __init__(
        self,
        env: environment.Environment,
        source: published.Source,
        view: views.View,
        polling: poll_config.PollConfig,
        find_age_ms: Callable[[], float],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._source = source
        self._view = view
        self._polling = polling
        self._find_age_ms = find_age_ms
        self._metrics = metrics
        self.failed_ms = float("-inf")
        # The last epoch read from the store itself; a peer may be wrong.
        self._known_epoch = store_position.EPOCH_UNKNOWN
        self._is_unavailable = False
        self._logged_ms = 0.0
        self._failed_calls = 0
        # After a failure the store is not called again before this time.
        self._next_call_ms = float("-inf")
        self._log = logs.make_logger("store")

    def is_due(self) -> bool:
        """Returns whether the store may be called now."""
        return self._env.now_ms() >= self._next_call_ms

    def find_wait_ms(self) -> float:
        """Returns the time until the store may be called."""
        return self._next_call_ms - self._env.now_ms()

    async def read_watermark(
        self, known: store_position.StorePosition, retry_max_ms: float
    ) -> freshness.HighWatermark | published.HistoryLost | None:
        """Reads the store's position.

        Args:
            known: The position that this VM has reached.
            retry_max_ms: Longest delay after a failed call.

        Returns:
            The position, HistoryLost if it is behind the known one or of
            another epoch, or None if there was no valid response.
        """
        asked_ms = self._env.now_ms()
        self._metrics.store_calls.inc({"reads": "position"})
        found = await self._source.read_position()
        if isinstance(found, store_position.StorePosition):
            found = store_epochs.check_position(found, known, self._known_epoch)
        if isinstance(found, published.Unavailable):
            self._back_off(found, asked_ms, retry_max_ms)
            return None
        if isinstance(found, published.HistoryLost):
            self._log_history_lost(found)
            return found
        if found == known:
            # Otherwise calls that read the changes may fail.
            self._note_answered()
        return freshness.HighWatermark(found, asked_ms)

    async def read(
        self, since: store_position.StorePosition | None, retry_max_ms: float
    ) -> Read | None:
        """Reads changes since a position, or all if their history is lost.

        Args:
            since: The position; None for a full read.
            retry_max_ms: Longest delay after a failed call.

        Returns:
            The response, or None if there was no valid one.
        """
        asked_ms = self._env.now_ms()
        found = await self._call_store(since)
        if isinstance(found, published.HistoryLost):
            self._log_history_lost(found)
            since, asked_ms = None, self._env.now_ms()
            found = await self._call_store(since)
        if isinstance(found, published.Changes):
            self._known_epoch = found.position.epoch
            self._note_answered()
            return Read(found, since, asked_ms)
        self._back_off(found, asked_ms, retry_max_ms)
        return None

    async def _call_store(
        self, since: store_position.StorePosition | None
    ) -> published.Changes | published.HistoryLost | published.Unavailable:
        if since is None:
            found = await self._source.read_all()
        else:
            found = await self._source.read_changes(since.revision)
        kind = "all" if since is None else "changes"
        if not isinstance(found, published.Changes):
            self._metrics.store_calls.inc({"reads": kind})
            return found
        self._metrics.store_calls.add({"reads": kind}, found.responses)
        return store_epochs.check_epoch(found, since, self._known_epoch)

    def _back_off(
        self,
        found: published.HistoryLost | published.Unavailable,
        asked_ms: float,
        max_ms: float,
    ) -> None:
        """Records a failed call, and delays the next one."""
        self._metrics.failed_store_calls.inc({})
        self._note_failed(found, asked_ms)
        delay_ms = self._draw_retry_delay_ms(max_ms)
        self._next_call_ms = self._env.now_ms() + delay_ms
        self._failed_calls += 1

    def _draw_retry_delay_ms(self, max_ms: float) -> float:
        """Returns the delay, with jitter so that VMs do not retry in step."""
        grown_ms = (
            self._polling.retry_initial_ms * _RETRY_FACTOR**self._failed_calls
        )
        return min(max_ms, grown_ms) * self._env.random.uniform(0.7, 1.0)

    def _note_answered(self) -> None:
        self._failed_calls = 0
        self._next_call_ms = float("-inf")
        if self._is_unavailable:
            self._is_unavailable = False
            self._log.info(
                "Store is available again.",
                away_ms=round(self._find_age_ms()),
                **self._describe_position(),
            )

    def _note_failed(
        self,
        found: published.HistoryLost | published.Unavailable,
        asked_ms: float,
    ) -> None:
        if isinstance(found, published.HistoryLost):
            self._log_history_lost(found)
            return
        self.failed_ms = asked_ms
        now_ms = self._env.now_ms()
        if not self._is_unavailable:
            self._is_unavailable = True
            self._logged_ms = now_ms
            self._log.warning("Store is unavailable. {}", found.detail)
        elif now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._log.warning(
                "Store is still unavailable. {}",
                found.detail,
                away_ms=round(self._find_age_ms()),
                revision=self._view.catalog.revision,
            )

    def _log_history_lost(self, found: published.HistoryLost) -> None:
        self._log.info(
            "Store no longer has the change history; reading everything.",
            store_epoch=found.epoch,
            **self._describe_position(),
        )

    def _describe_position(self) -> dict[str, int]:
        return self._view.store_position.describe()
