"""The targets that the store lists, with what must outlast its answers.

A life of a target that was ever found to leave stays so, whichever way told it;
the target may start again under its name, and is then another life. A target
that went off the list while the store was out of reach is kept for a moment,
since those that live are listed again soon; so is one whose entry another
writer has spoilt. One that was removed does not come back by an older copy of
the store.
"""

from collections.abc import Iterable
import dataclasses

from ruddergate.decisions import removals
from ruddergate.decisions import withdrawals
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import published
from ruddergate.telemetry import logs
from ruddergate.telemetry import told_once


@dataclasses.dataclass(frozen=True, slots=True)
class Grace:
    """Until when targets are kept that are not listed.

    Attributes:
        lapsed_ms: Those that went off the list.
        spoilt_ms: Those whose entry is none of a target any more. A target
            writes its own again within a heartbeat.
    """

    lapsed_ms: float
    spoilt_ms: float


class TargetList:
    """Targets by name; owned by one task.

    Args:
        withdrawn: Which lives of targets were found to leave.

    Attributes:
        refused: Entries that were none of a target, in all.
    """

    def __init__(self, withdrawn: withdrawals.Withdrawals) -> None:
        self.refused = 0
        self._withdrawn = withdrawn
        self._targets: dict[str, targets.Target] = {}
        self._kept_until_ms: dict[str, float] = {}
        # The youngest life of each target that was seen.
        self._born_ms: dict[str, int] = {}
        self._removals = removals.Removals()
        # Listed, but by nothing newer than a copy from before their removal.
        self._stale: dict[str, targets.Target] = {}
        self._told = told_once.ToldOnce()
        self._log = logs.make_logger("store")

    def listed(self) -> tuple[targets.Target, ...]:
        """Returns the targets that may be used or are leaving."""
        return tuple(map(self._mark, self._targets.values()))

    def list_published(self) -> tuple[targets.Target, ...]:
        """Returns what the store lists, as it does."""
        used = (
            each
            for target_id, each in self._targets.items()
            if target_id not in self._kept_until_ms
        )
        return (*used, *self._stale.values())

    def has_stale(self) -> bool:
        """Returns whether the store lists targets as an older copy did."""
        return bool(self._stale)

    def note_restored(self) -> None:
        """Notes that the store was restored from an older copy."""
        self._removals.note_restored()

    def take(
        self,
        changes: published.Changes,
        is_all: bool,
        now_ms: float,
        grace: Grace,
    ) -> None:
        """Takes in what the store tells of targets.

        Args:
            changes: Entries in order, and names that are off the list.
            is_all: Whether everything that is listed is in it.
            now_ms: Time.
            grace: Until when targets are kept that are not listed.
        """
        off = set(changes.removed)
        malformed = {each.target_id for each in changes.malformed}
        listed = self._find_newest(changes.targets)
        for each in changes.malformed:
            self._tell_spoilt(each)
        if is_all:
            off |= self._targets.keys() - listed.keys() - malformed
            off |= self._stale.keys() - listed.keys()
        for target_id in off & self._stale.keys():
            del self._stale[target_id]
        for target_id in off & self._targets.keys():
            self._removals.note_removed(self._targets[target_id])
            self._keep_until(target_id, grace.lapsed_ms, now_ms)
        for target_id in malformed & self._targets.keys():
            self._keep_until(target_id, grace.spoilt_ms, now_ms)
        for target_id, each in listed.items():
            if target_id in off | malformed:
                continue
            if self._removals.take_entry(each, is_all):
                self._put(each, now_ms)
            else:
                self._hold_back(each)
        self.forget_lapsed(now_ms)

    def find_grace_end_ms(self) -> float | None:
        """Returns when the next target that is not listed is to be dropped."""
        return min(self._kept_until_ms.values(), default=None)

    def is_vague(self, target: targets.Target) -> bool:
        """Returns whether an entry does not say which life it is of.

        A peer of an earlier release hands entries on without it.
        """
        is_untold = target.started_ms == incarnations.START_UNKNOWN
        return is_untold and self._born_ms.get(target.target_id, 0) > 0

    def forget_lapsed(self, now_ms: float) -> None:
        """Takes off targets that have not come back in time."""
        for target_id, until_ms in list(self._kept_until_ms.items()):
            if now_ms >= until_ms:
                self._forget(target_id)

    def _find_newest(
        self, found: Iterable[targets.Target]
    ) -> dict[str, targets.Target]:
        """Returns the last entry of the youngest life of each target.

        Leavings are noted of all of them: one may have been replaced since.
        """
        newest: dict[str, targets.Target] = {}
        for each in found:
            name = each.target_id
            if each.started_ms < self._born_ms.get(name, each.started_ms):
                self._tell_once(name, f"Target {name}: older life dropped.")
                continue
            self._born_ms[name] = each.started_ms
            if each.condition is condition.Condition.DRAINING:
                self._withdrawn.note_published(each.incarnation)
            newest[name] = each
        return newest

    def _hold_back(self, target: targets.Target) -> None:
        """Keeps an entry that an older copy holds; it names nobody to use."""
        name = target.target_id
        self._stale[name] = target
        self._tell_once(name, f"Target {name}: entry from before its removal.")

    def _put(self, target: targets.Target, now_ms: float) -> None:
        """Lists a target as the store does; `listed` says whether it leaves."""
        name = target.target_id
        self._stale.pop(name, None)
        self._kept_until_ms.pop(name, None)
        self._told.forget(name)
        self._withdrawn.note_listed(target.incarnation, now_ms)
        if self._targets.get(name) != target:
            self._log.info(
                "Target {} is {}.",
                name,
                target.condition.value,
                pool=target.pool,
                hall=target.hall,
                address=str(target.address),
                born_ms=target.started_ms,
            )
        self._targets[name] = target

    def _mark(self, target: targets.Target) -> targets.Target:
        """Returns a target as leaving, if its life was ever found to leave."""
        if not self._withdrawn.has_left(target.incarnation):
            return target
        return dataclasses.replace(
            target, condition=condition.Condition.DRAINING
        )

    def _keep_until(
        self, target_id: str, until_ms: float, now_ms: float
    ) -> None:
        if until_ms > now_ms:
            self._kept_until_ms.setdefault(target_id, until_ms)
        else:
            self._forget(target_id)

    def _forget(self, target_id: str) -> None:
        self._kept_until_ms.pop(target_id, None)
        del self._targets[target_id]
        self._withdrawn.note_unlisted(target_id)
        self._log.info("Target {} is off the list.", target_id)

    def _tell_spoilt(self, entry: published.MalformedEntry) -> None:
        self.refused += 1
        self._tell_once(entry.target_id, f"Entry refused. {entry.detail}")

    def _tell_once(self, name: str, sentence: str) -> None:
        """Logs a sentence unless it was the last one of that name."""
        if self._told.is_new(name, sentence):
            self._log.warning("{}", sentence)
