"""The targets that the store lists, and what is remembered about them.

An incarnation of a target that was ever found to be draining stays so, however
this became known. A target may start again under the same name, and is then a
new incarnation.

A target whose entry disappeared while the store was unreachable is kept for a
grace period, as live targets are soon listed again. So is one whose entry was
overwritten by another client with something malformed. A target that was
removed does not come back through an older copy of the store.
"""

from collections.abc import Iterable
import dataclasses

from ruddergate.decisions import draining
from ruddergate.decisions import tombstones
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.relay import published
from ruddergate.telemetry import logs
from ruddergate.telemetry import repeat_filter


@dataclasses.dataclass(frozen=True, slots=True)
class Grace:
    """Until when targets without a valid entry are kept.

    Attributes:
        removed_until_ms: Applies to targets whose entry was removed.
        malformed_until_ms: Applies to targets whose entry is malformed. A
            target rewrites its entry with its next heartbeat.
    """

    removed_until_ms: float
    malformed_until_ms: float


class TargetList:
    """Targets by name; owned by one task.

    Args:
        drain_state: Which incarnations of targets were found to be draining.

    Attributes:
        refused: Total number of entries that did not describe a target.
    """

    def __init__(self, drain_state: draining.DrainState) -> None:
        self.refused = 0
        self._drain_state = drain_state
        self._targets: dict[str, targets.Target] = {}
        self._kept_until_ms: dict[str, float] = {}
        # When the latest known incarnation of each target started.
        self._started_ms: dict[str, int] = {}
        self._removals = tombstones.Tombstones()
        # Targets that were removed, and that the store lists again only because
        # it was restored from a copy made before their removal.
        self._stale: dict[str, targets.Target] = {}
        self._logged = repeat_filter.RepeatFilter()
        self._log = logs.make_logger("store")

    def list_targets(self) -> tuple[targets.Target, ...]:
        """Returns the targets, with draining ones marked."""
        return tuple(map(self._mark_draining, self._targets.values()))

    def list_published(self) -> tuple[targets.Target, ...]:
        """Returns the targets as the store lists them."""
        current = (
            each
            for target_id, each in self._targets.items()
            if target_id not in self._kept_until_ms
        )
        return (*current, *self._stale.values())

    def has_stale(self) -> bool:
        """Returns whether removed targets are listed, from an older copy."""
        return bool(self._stale)

    def note_restored(self) -> None:
        """Records that the store was restored from an older copy."""
        self._removals.note_store_restored()

    def apply_changes(
        self,
        changes: published.Changes,
        is_full: bool,
        now_ms: float,
        grace: Grace,
    ) -> None:
        """Applies changes of the list.

        Args:
            changes: Entries in order, and names of removed targets.
            is_full: Whether the changes contain every listed target.
            now_ms: Current time.
            grace: Until when targets without a valid entry are kept.
        """
        removed = set(changes.removed)
        malformed = {each.target_id for each in changes.malformed}
        listed = self._find_latest(changes.targets)
        for each in changes.malformed:
            self._log_malformed(each)
        if is_full:
            removed |= self._targets.keys() - listed.keys() - malformed
            removed |= self._stale.keys() - listed.keys()
        for target_id in removed & self._stale.keys():
            del self._stale[target_id]
        for target_id in removed & self._targets.keys():
            self._removals.note_removed(self._targets[target_id])
            self._keep(target_id, grace.removed_until_ms, now_ms)
        for target_id in malformed & self._targets.keys():
            self._keep(target_id, grace.malformed_until_ms, now_ms)
        for target_id, each in listed.items():
            if target_id in removed | malformed:
                continue
            if self._removals.accept_entry(each, is_full):
                self._add(each, now_ms)
            else:
                self._set_aside(each)
        self.drop_expired(now_ms)

    def find_grace_end_ms(self) -> float | None:
        """Returns when the next grace period of a target ends."""
        return min(self._kept_until_ms.values(), default=None)

    def lacks_incarnation(self, target: targets.Target) -> bool:
        """Returns whether an entry lacks an incarnation that is known here.

        A peer of an earlier release passes entries on without it.
        """
        is_unknown = target.started_ms == incarnations.START_UNKNOWN
        return is_unknown and self._started_ms.get(target.target_id, 0) > 0

    def drop_expired(self, now_ms: float) -> None:
        """Drops targets whose grace period has ended."""
        for target_id, until_ms in list(self._kept_until_ms.items()):
            if now_ms >= until_ms:
                self._forget(target_id)

    def _find_latest(
        self, found: Iterable[targets.Target]
    ) -> dict[str, targets.Target]:
        """Returns the last entry of each target's latest incarnation.

        Draining is recorded from all entries that are not of an older
        incarnation, as a later entry may have replaced the draining one.
        """
        latest: dict[str, targets.Target] = {}
        for each in found:
            name = each.target_id
            if each.started_ms < self._started_ms.get(name, each.started_ms):
                self._log_once(
                    name, f"Target {name}: ignoring an older incarnation."
                )
                continue
            self._started_ms[name] = each.started_ms
            if each.condition is condition.Condition.DRAINING:
                self._drain_state.note_published_drain(each.incarnation)
            latest[name] = each
        return latest

    def _set_aside(self, target: targets.Target) -> None:
        """Keeps an entry from an older copy aside; its target is not used."""
        name = target.target_id
        self._stale[name] = target
        self._log_once(name, f"Target {name}: entry predates its removal.")

    def _add(self, target: targets.Target, now_ms: float) -> None:
        """Adds a target as listed; `list_targets` marks it if it drains."""
        name = target.target_id
        self._stale.pop(name, None)
        self._kept_until_ms.pop(name, None)
        self._logged.forget(name)
        self._drain_state.note_listed(target.incarnation, now_ms)
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

    def _mark_draining(self, target: targets.Target) -> targets.Target:
        """Returns a target, marked if its incarnation ever began to drain."""
        if not self._drain_state.may_be_draining(target.incarnation):
            return target
        return dataclasses.replace(
            target, condition=condition.Condition.DRAINING
        )

    def _keep(self, target_id: str, until_ms: float, now_ms: float) -> None:
        if until_ms > now_ms:
            self._kept_until_ms.setdefault(target_id, until_ms)
        else:
            self._forget(target_id)

    def _forget(self, target_id: str) -> None:
        self._kept_until_ms.pop(target_id, None)
        del self._targets[target_id]
        self._drain_state.note_unlisted(target_id)
        self._log.info("Target {} was removed from the list.", target_id)

    def _log_malformed(self, entry: published.MalformedEntry) -> None:
        self.refused += 1
        self._log_once(entry.target_id, f"Rejected entry. {entry.detail}")

    def _log_once(self, name: str, message: str) -> None:
        """Logs a message unless it is the last one logged for that name."""
        if self._logged.is_new(name, message):
            self._log.warning("{}", message)
