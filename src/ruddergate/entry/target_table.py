"""What is believed of each listed target, and which of them take calls."""

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import rate_limits
from ruddergate.decisions import withdrawals
from ruddergate.entry import view as views
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets

_NEVER_MS = float("inf")


class TargetTable:
    """Estimates by target and by pool; owned by the scheduler task.

    Args:
        view: The list and the settings of pools.
        withdrawn: Which lives of targets take no calls.
        limits: Rate limits that targets name.
    """

    def __init__(
        self,
        view: views.View,
        withdrawn: withdrawals.Withdrawals,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._view = view
        self._withdrawn = withdrawn
        self._limits = limits
        self._by_name: dict[str, estimates.Estimate] = {}
        self._by_pool: dict[str, list[estimates.Estimate]] = {}

    def list_all(self) -> list[estimates.Estimate]:
        """Returns what is believed of each target."""
        return list(self._by_name.values())

    def has_pool(self, pool: str) -> bool:
        """Returns whether a pool has any target, whatever state it is in."""
        return bool(self._by_pool.get(pool))

    def find_named(self, target_id: str) -> estimates.Estimate | None:
        """Returns what is believed of a target, whichever life it is in."""
        return self._by_name.get(target_id)

    def find(self, target: targets.Target) -> estimates.Estimate | None:
        """Returns what is believed of a target, if that is of the same life.

        A target that has started again knows nothing of what was sent before,
        and what comes late of its former life says nothing of it.
        """
        estimate = self._by_name.get(target.target_id)
        if (
            estimate is None
            or estimate.target.incarnation != target.incarnation
        ):
            return None
        return estimate

    def find_told(
        self, incarnation: incarnations.Incarnation
    ) -> estimates.Estimate | None:
        """Returns what is believed of a target that a peer has told of.

        Peers of an earlier release name no life.
        """
        estimate = self._by_name.get(incarnation.target_id)
        if estimate is None:
            return None
        is_same = incarnation.started_ms in (
            incarnations.START_UNKNOWN,
            estimate.target.started_ms,
        )
        return estimate if is_same else None

    def take_view(self, now_ms: float) -> None:
        """Goes by the list and the settings as they are now."""
        listed = {each.incarnation: each for each in self._view.listing.targets}
        names = {incarnation.target_id for incarnation in listed}
        for target_id in self._by_name.keys() - names:
            del self._by_name[target_id]
        self._withdrawn.forget_quiet(listed, now_ms)
        self._by_pool = {}
        for target in listed.values():
            pool = self._view.index.find_pool(target.pool)
            if pool is None:
                continue
            known = self._by_name.get(target.target_id)
            if known is None or not _is_same(known.target, target):
                known = estimates.Estimate(target, pool)
                self._by_name[target.target_id] = known
            known.target = target
            known.pool = pool
            self._by_pool.setdefault(pool.name, []).append(known)

    def find_halls(self, pool: str) -> set[str]:
        """Returns the halls with targets of a pool, whatever their state.

        VMs have to agree on it, and states are known to some of them earlier.
        """
        return {each.target.hall for each in self._by_pool.get(pool, [])}

    def list_taking(self, pool: str, now_ms: float) -> list[estimates.Estimate]:
        """Returns the targets of a pool that take calls, however they fare."""
        return [
            each
            for each in self._by_pool.get(pool, [])
            if self.takes_calls(each, now_ms)
        ]

    def takes_calls(self, each: estimates.Estimate, now_ms: float) -> bool:
        """Returns whether a target takes calls, however it fares.

        One whose quiet time has ended takes one call of this VM first: 36 calls
        of six VMs that waited for one target reached it within 90 ms otherwise,
        now 6 at most (emulated fleet).
        """
        if not each.may_take_work():
            return False
        target_id = each.target.target_id
        if len(self._limits) and not self._limits.can_send(target_id, now_ms):
            return False
        if not self._withdrawn.has_quiet():
            # Those that leave are listed so. To look 150 targets up took 0.7 ms
            # of a core (mean of 200), in each turn of the scheduler.
            return True
        incarnation = each.target.incarnation
        is_busy = (
            self._withdrawn.is_on_trial(incarnation) and each.own_streams() > 0
        )
        return self._withdrawn.takes_calls(incarnation, now_ms) and not is_busy

    def find_first_ms(self, pool: str, now_ms: float) -> float:
        """Returns when the first target of a pool takes calls.

        Returns:
            A time not after now where one does; infinity where all leave.
        """
        able = (
            each for each in self._by_pool.get(pool, []) if each.may_take_work()
        )
        if not self._withdrawn.has_quiet() and not len(self._limits):
            return now_ms if any(True for _ in able) else _NEVER_MS
        return min(
            (
                max(
                    self._withdrawn.find_until_ms(
                        each.target.incarnation, now_ms
                    ),
                    self._limits.find_next_ms(each.target.target_id, now_ms),
                )
                for each in able
            ),
            default=_NEVER_MS,
        )

    def find_capacity_per_s(self, pool: str, now_ms: float) -> float:
        """Returns how many calls of this VM a pool takes a second.

        Returns:
            Infinity unless all targets that take calls name rate limits.
        """
        shares = [
            self._limits.find_share(each.target.target_id, now_ms)[1]
            for each in self._by_pool.get(pool, [])
            if each.may_take_work()
            and self._withdrawn.takes_calls(each.target.incarnation, now_ms)
        ]
        return sum(shares)

    def is_usable(self, each: estimates.Estimate, now_ms: float) -> bool:
        """Returns whether a target may be sent calls and had better be."""
        return each.is_usable(now_ms) and self.takes_calls(each, now_ms)

    def count_usable(self, pool: str, now_ms: float) -> int:
        """Returns how many targets of a pool may and had better be used.

        Those that wait for a token of their rate limit count.
        """
        return sum(
            each.is_usable(now_ms)
            and (
                self.takes_calls(each, now_ms)
                or self._has_share(each.target.target_id, now_ms)
            )
            for each in self._by_pool.get(pool, [])
        )

    def _has_share(self, target_id: str, now_ms: float) -> bool:
        """Returns whether this VM holds a part of a target's rate limit."""
        if not self._limits.is_limited(target_id):
            return False
        return self._limits.find_share(target_id, now_ms)[1] > 0.0


def _is_same(one: targets.Target, other: targets.Target) -> bool:
    """Returns whether two entries are of the same life at the same place."""
    return one.incarnation == other.incarnation and one.address == other.address
