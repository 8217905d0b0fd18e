"""The task that follows what the platform's store publishes.

It alone writes the view's catalog and targets. Each successful call proves
that the view was the newest when the call began; keys rest on that proof.
"""

import asyncio
import dataclasses

from ruddergate import environment
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import view as views
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.relay import published
from ruddergate.telemetry import logs

# A view this old has missed a round of calls.
BEHIND_LEAST_MS = 2_500.0
# Each pause between tries is so much longer than the one before.
_RETRY_GROWTH = 1.3
# While the store is away, the log says so again after this time.
_TELL_EVERY_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How often the store is asked, in milliseconds.

    Attributes:
        every_ms: Between the beginnings of two calls. Calls are paid for; a
            change must be in force within two seconds.
        wait_ms: Longest wait of a call for a change.
        retry_ms: After a call that failed.
        retry_most_ms: After many calls that failed; the pause grows to it.
        behind_ms: From a view this old on, all is read anew instead of the
            changes: the settings come once then, and not once a change.
        lapse_grace_ms: How long targets that went off the list while the store
            was out of reach may still be used: those that live are back within
            two seconds.
        outage_ms: Time without an answer that counts as out of reach.
    """

    every_ms: float = 1_300.0
    wait_ms: float = 0.0
    retry_ms: float = 150.0
    retry_most_ms: float = 500.0
    behind_ms: float = BEHIND_LEAST_MS
    lapse_grace_ms: float = 1_500.0
    outage_ms: float = BEHIND_LEAST_MS


class SourceSync:
    """Keeps the view up to date from a store."""

    def __init__(
        self,
        outside: environment.Environment,
        source: published.Source,
        view: views.View,
        scheduler: schedulers.Scheduler,
        pace: Pace,
    ) -> None:
        self._outside = outside
        self._source = source
        self._view = view
        self._scheduler = scheduler
        self._pace = pace
        self._position: int | None = None
        self._targets: dict[str, targets.Target] = {}
        self._lapsed_until_ms: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._answered_ms = outside.now_ms()
        self._current_ms = float("-inf")
        self._outage_ended_ms = float("-inf")
        self._is_lost = False
        self._told_ms = 0.0
        self._tries_failed = 0
        self._log = logs.make_logger("store")

    async def run(self) -> None:
        """Asks again and again until cancelled."""
        while True:
            began_ms = self._outside.now_ms()
            found = await self._ask()
            if isinstance(found, published.Changes):
                self._tries_failed = 0
                self._take(found, began_ms)
                pause_ms = began_ms + self._pace.every_ms
                pause_ms -= self._outside.now_ms()
            else:
                self._note_failure(found)
                pause_ms = self._draw_pause_ms()
                self._tries_failed += 1
            await asyncio.sleep(max(0.0, pause_ms) / 1000.0)

    async def _ask(
        self,
    ) -> published.Changes | published.HistoryLost | published.Unavailable:
        if self._is_behind():
            self._position = None
        if self._position is None:
            return await self._source.read_all()
        return await self._source.read_changes(
            self._position, self._pace.wait_ms
        )

    def _is_behind(self) -> bool:
        age_ms = self._outside.now_ms() - self._current_ms
        return age_ms > self._pace.behind_ms

    def _draw_pause_ms(self) -> float:
        """Returns the time to the next try; VMs are not to ask in step."""
        pace = self._pace
        grown_ms = pace.retry_ms * _RETRY_GROWTH**self._tries_failed
        return min(pace.retry_most_ms, grown_ms) * self._outside.random.uniform(
            0.7, 1.0
        )

    def _note_failure(
        self, found: published.HistoryLost | published.Unavailable
    ) -> None:
        if isinstance(found, published.HistoryLost):
            self._log.info("History lost, all is read anew.")
            self._position = None
            return
        now_ms = self._outside.now_ms()
        if not self._is_lost:
            self._is_lost = True
            self._told_ms = now_ms
            self._log.warning("Store lost. {}", found.detail)
        elif now_ms - self._told_ms >= _TELL_EVERY_MS:
            self._told_ms = now_ms
            self._log.warning(
                "Store still lost. {}",
                found.detail,
                away_ms=round(now_ms - self._answered_ms),
                revision=self._view.catalog.revision,
            )

    def _take(self, changes: published.Changes, asked_ms: float) -> None:
        now_ms = self._outside.now_ms()
        if now_ms - self._answered_ms > self._pace.outage_ms:
            self._outage_ended_ms = now_ms
        if self._is_lost:
            self._is_lost = False
            self._log.info(
                "Store regained.", away_ms=round(now_ms - self._answered_ms)
            )
        self._answered_ms = now_ms
        self._current_ms = asked_ms
        for problem in changes.problems:
            self._log.warning("Published item refused. {}", problem)
        self._take_catalog(changes, asked_ms)
        self._take_targets(changes, now_ms)
        self._position = changes.position
        self._view.take_targets(tuple(self._targets.values()), asked_ms)
        self._scheduler.post(schedulers.ViewChanged())

    def _take_catalog(
        self, changes: published.Changes, asked_ms: float
    ) -> None:
        if changes.catalog is not None and self._view.take_catalog(
            changes.catalog
        ):
            self._log.info(
                "Settings {} in force.",
                changes.catalog.revision,
                routes=len(changes.catalog),
                workspaces=len(changes.catalog.workspaces),
            )
        if not changes.problems:
            self._view.confirm_settings(asked_ms)

    def _take_targets(self, changes: published.Changes, now_ms: float) -> None:
        for target in changes.targets:
            if target.condition is condition.Condition.LEAVING:
                self._leaving.add(target.target_id)
        gone = set(changes.gone)
        listed = {
            each.target_id: each
            for each in changes.targets
            if each.target_id not in gone
        }
        if self._position is None:
            gone |= self._targets.keys() - listed.keys()
        for target_id in gone:
            self._drop(target_id, now_ms)
        for target_id, target in listed.items():
            self._lapsed_until_ms.pop(target_id, None)
            target = self._keep_leaving(target)
            if self._targets.get(target_id) != target:
                self._log_target(target)
            self._targets[target_id] = target
        self._forget_lapsed(now_ms)

    def _keep_leaving(self, target: targets.Target) -> targets.Target:
        """Returns the target, leaving if it ever was: late news can't undo it.

        A target that starts again has a new name.
        """
        if target.target_id not in self._leaving:
            return target
        return dataclasses.replace(
            target, condition=condition.Condition.LEAVING
        )

    def _drop(self, target_id: str, now_ms: float) -> None:
        """Takes a target off, later if its entry may only have lapsed."""
        if target_id not in self._targets:
            return
        grace_ms = self._outage_ended_ms + self._pace.lapse_grace_ms - now_ms
        if grace_ms > 0.0:
            self._lapsed_until_ms.setdefault(target_id, now_ms + grace_ms)
            loop = asyncio.get_running_loop()
            loop.call_later(grace_ms / 1000.0, self._end_grace)
            return
        self._forget(target_id)

    def _end_grace(self) -> None:
        """Takes off what has not come back, without waiting for the store.

        Its next answer may be a round away: a target that had left was sent a
        call 2.4 s after that, where 2 s are allowed.
        """
        self._forget_lapsed(self._outside.now_ms())
        self._view.take_targets(tuple(self._targets.values()), self._current_ms)
        self._scheduler.post(schedulers.ViewChanged())

    def _forget_lapsed(self, now_ms: float) -> None:
        for target_id, until_ms in list(self._lapsed_until_ms.items()):
            if now_ms >= until_ms:
                self._forget(target_id)

    def _forget(self, target_id: str) -> None:
        self._lapsed_until_ms.pop(target_id, None)
        del self._targets[target_id]
        self._log.info("Target {} is off the list.", target_id)

    def _log_target(self, target: targets.Target) -> None:
        self._log.info(
            "Target {} is {}.",
            target.target_id,
            target.condition.value,
            pool=target.pool,
            hall=target.hall,
            address=str(target.address),
        )
