"""The targets that the store lists, with what must outlast its answers.

A target that was ever seen leaving stays so, and one that went off the list
while the store was out of reach is kept for a moment, since those that live are
listed again soon.
"""

from collections.abc import Iterable
import dataclasses

from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.telemetry import logs


class TargetList:
    """Targets by name; owned by one task."""

    def __init__(self) -> None:
        self._targets: dict[str, targets.Target] = {}
        self._lapsed_until_ms: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._log = logs.make_logger("store")

    def listed(self) -> tuple[targets.Target, ...]:
        """Returns the targets that may be used or are leaving."""
        return tuple(self._targets.values())

    def take(
        self,
        found: Iterable[targets.Target],
        gone: Iterable[str],
        is_all: bool,
        now_ms: float,
        grace_until_ms: float,
    ) -> bool:
        """Takes in entries and names that went off the list.

        Args:
            found: Entries in order, also those that others have replaced.
            gone: Names that are not listed any more.
            is_all: Whether everything that is listed was found.
            now_ms: Monotonic time.
            grace_until_ms: Until when targets that went off are kept.

        Returns:
            Whether any is kept for that time.
        """
        off = set(gone)
        listed: dict[str, targets.Target] = {}
        for each in found:
            if each.condition is condition.Condition.LEAVING:
                self._leaving.add(each.target_id)
            if each.target_id not in off:
                listed[each.target_id] = each
        if is_all:
            off |= self._targets.keys() - listed.keys()
        for target_id in off & self._targets.keys():
            if grace_until_ms > now_ms:
                self._lapsed_until_ms.setdefault(target_id, grace_until_ms)
            else:
                self._forget(target_id)
        for each in listed.values():
            self._put(each)
        self.forget_lapsed(now_ms)
        return bool(self._lapsed_until_ms)

    def forget_lapsed(self, now_ms: float) -> None:
        """Takes off targets that have not come back in time."""
        for target_id, until_ms in list(self._lapsed_until_ms.items()):
            if now_ms >= until_ms:
                self._forget(target_id)

    def _put(self, target: targets.Target) -> None:
        """Lists a target, leaving if it ever was: late news can't undo it.

        A target that starts again has a new name.
        """
        self._lapsed_until_ms.pop(target.target_id, None)
        if target.target_id in self._leaving:
            target = dataclasses.replace(
                target, condition=condition.Condition.LEAVING
            )
        if self._targets.get(target.target_id) != target:
            self._log.info(
                "Target {} is {}.",
                target.target_id,
                target.condition.value,
                pool=target.pool,
                hall=target.hall,
                address=str(target.address),
            )
        self._targets[target.target_id] = target

    def _forget(self, target_id: str) -> None:
        self._lapsed_until_ms.pop(target_id, None)
        del self._targets[target_id]
        self._log.info("Target {} is off the list.", target_id)
