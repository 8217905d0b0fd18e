"""Calls of the platform's store: pauses after failures, and what logs tell."""

from collections.abc import Callable
import dataclasses

from ruddergate import environment
from ruddergate.entry import epochs
from ruddergate.entry import source_pace
from ruddergate.entry import view as views
from ruddergate.fleet import store_position
from ruddergate.relay import published
from ruddergate.telemetry import logs

# Each pause between tries is so much longer than the one before.
_RETRY_GROWTH = 1.3
# While the store is away, the log says so again after this time.
_TELL_EVERY_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """What the store has told.

    Attributes:
        changes: What was told.
        since: The position behind which it begins; None for everything.
        asked_ms: When the call began.
    """

    changes: published.Changes
    since: store_position.StorePosition | None
    asked_ms: float


class StoreReader:
    """Reads the store, if it is there; owned by one task.

    Args:
        env: Clock and chance.
        source: Calls of the store.
        view: What this VM goes by, for logs.
        pace: Pauses after failures.
        find_age_ms: Returns the age of what this VM knows.

    Attributes:
        failed_ms: When the last call began that the store did not answer.
    """

    def __init__(
        self,
        env: environment.Environment,
        source: published.Source,
        view: views.View,
        pace: source_pace.Pace,
        find_age_ms: Callable[[], float],
    ) -> None:
        self._env = env
        self._source = source
        self._view = view
        self._pace = pace
        self._find_age_ms = find_age_ms
        self.failed_ms = float("-inf")
        # The last epoch that the store itself has named; a peer may be wrong.
        self._epoch = store_position.EPOCH_UNKNOWN
        self._is_lost = False
        self._told_ms = 0.0
        self._tries_failed = 0
        # Before this time the store is not asked again after a failure.
        self._due_ms = float("-inf")
        self._log = logs.make_logger("store")

    def is_due(self) -> bool:
        """Returns whether the store may be asked now."""
        return self._env.now_ms() >= self._due_ms

    def find_wait_ms(self) -> float:
        """Returns the time until the store may be asked."""
        return self._due_ms - self._env.now_ms()

    async def read(
        self, since: store_position.StorePosition | None, retry_most_ms: float
    ) -> Read | None:
        """Reads what came behind a position, or everything where that is lost.

        Args:
            since: The position; None for everything.
            retry_most_ms: Longest pause after a call that failed.

        Returns:
            What the store told, or None if it did not answer with sense.
        """
        asked_ms = self._env.now_ms()
        found = await self._ask(since)
        if isinstance(found, published.HistoryLost):
            self._log_history_lost(found)
            since, asked_ms = None, self._env.now_ms()
            found = await self._ask(since)
        if isinstance(found, published.Changes):
            self._epoch = found.position.epoch
            self._note_answered()
            return Read(found, since, asked_ms)
        self._note_failed(found, asked_ms)
        self._due_ms = self._env.now_ms() + self._draw_pause_ms(retry_most_ms)
        self._tries_failed += 1
        return None

    async def _ask(
        self, since: store_position.StorePosition | None
    ) -> published.Changes | published.HistoryLost | published.Unavailable:
        if since is None:
            found = await self._source.read_all()
        else:
            found = await self._source.read_changes(
                since.revision, self._pace.wait_ms
            )
        if isinstance(found, published.Changes):
            return epochs.check(found, since, self._epoch)
        return found

    def _draw_pause_ms(self, most_ms: float) -> float:
        """Returns the time to the next try; VMs are not to ask in step."""
        grown_ms = self._pace.retry_ms * _RETRY_GROWTH**self._tries_failed
        return min(most_ms, grown_ms) * self._env.random.uniform(0.7, 1.0)

    def _note_answered(self) -> None:
        self._tries_failed = 0
        self._due_ms = float("-inf")
        if self._is_lost:
            self._is_lost = False
            self._log.info(
                "Store regained.",
                away_ms=round(self._find_age_ms()),
                **self._show_position(),
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
        if not self._is_lost:
            self._is_lost = True
            self._told_ms = now_ms
            self._log.warning("Store lost. {}", found.detail)
        elif now_ms - self._told_ms >= _TELL_EVERY_MS:
            self._told_ms = now_ms
            self._log.warning(
                "Store still lost. {}",
                found.detail,
                away_ms=round(self._find_age_ms()),
                revision=self._view.catalog.revision,
            )

    def _log_history_lost(self, found: published.HistoryLost) -> None:
        self._log.info(
            "History lost, all is read anew.",
            store_epoch=found.epoch,
            **self._show_position(),
        )

    def _show_position(self) -> dict[str, int]:
        return self._view.store_position.describe()
