"""Enforces the rate limits that targets announce, shared among all VMs.

The rules are in decisions/rate_limits.py. This module applies response hints
and updates of peers, admits requests in the step that sends them, and probes
limited targets that have not responded for `rate_limits.PROBE_MS`.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import math

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import rate_limits
from ruddergate.fleet import rate_limit
from ruddergate.fleet import target as targets
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types

# Peers send a digest each second, so all are known after this time.
SETTLE_MS = 1_500.0
# A VM that knows no peer this long after its start is taken to be the only one.
ALONE_MS = 6_000.0
# A longer gap between two ticks means that the process was suspended.
_SUSPENDED_MS = 1_500.0
_TICK_MS = 500.0
# The list of members is refreshed after this time.
_MEMBERS_REFRESH_MS = 250.0
_PROBE_TIMEOUT_MS = 150.0
# Retry delay where none is known: another target may take the request at once.
_RETRY_MS = 200.0
# A key of the store has at most 200 bytes.
_MAX_NAME_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class _ShareKey:
    """Cache key: what decides, besides the members, which VMs share a limit.

    Attributes:
        target_id: The target.
        hall: Its data hall.
        rate_per_s: Its limit.
        pool_halls: Halls with targets of its pool.
    """

    target_id: str
    hall: str
    rate_per_s: float
    pool_halls: frozenset[str]


class RateLimiter:
    """Owns this VM's shares of all targets' limits.

    Args:
        env: Clock and random numbers.
        own: Name of this VM among its peers.
        find_members: Returns the halls of this VM and of live peers by name,
            given the time.
        find_target: Returns a listed target by name.
        find_pool_halls: Returns the halls with targets of a pool.
        note_change: Called when peers need an update.
        metrics: Metrics of the process.

    Attributes:
        limits: Limits and token buckets.
    """

    def __init__(
        self,
        env: environment.Environment,
        own: str,
        find_members: Callable[[float], Mapping[str, str]],
        find_target: Callable[[str], targets.Target | None],
        find_pool_halls: Callable[[str], Collection[str]],
        note_change: Callable[[], None],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self._env = env
        self._own = own
        self._find_members = find_members
        self._find_target = find_target
        self._find_pool_halls = find_pool_halls
        self._note_change = note_change
        self._metrics = metrics
        self._ticked_ms = env.now_ms()
        self._settling_since_ms = env.now_ms()
        self._changed = asyncio.Event()
        self._members: Mapping[str, str] = {}
        self._members_refreshed_ms = float("-inf")
        # Cached while the members stay the same: ranking a large hall is slow.
        self._holders: dict[_ShareKey, tuple[str, ...]] = {}
        # Gauges cannot be removed, so one whose limit ended is set to infinity.
        self._gauge_targets: set[str] = set()
        self._log = logs.make_logger("target")
        self.limits = rate_limits.RateLimits(
            env.random,
            self._count_holders,
            lambda: len(self._members),
        )

    def on_hints(self, hints: hint_types.Hints) -> None:
        """Applies the rate limit in a target's response, or its absence."""
        now_ms = self._env.now_ms()
        target_id = hints.incarnation.target_id
        if hints.rate_limit_per_s is not None:
            is_new = self.limits.observe_limit(
                target_id, hints.rate_limit_per_s, hints.sent_ms, now_ms
            )
        elif hints.is_unlimited:
            is_new = self.limits.observe_no_limit(
                target_id, hints.is_call, hints.sent_ms, now_ms
            )
        else:
            return
        if is_new:
            self._log_change(
                target_id, hints.rate_limit_per_s, hints.request_id
            )
            self._note_change()

    def summarize(self) -> tuple[rate_limit.RateLimitUpdate, ...]:
        """Returns the updates due for peers."""
        return self.limits.summarize(self._env.now_ms())

    def merge_gossip(
        self, updates: Sequence[rate_limit.RateLimitUpdate], peer: str
    ) -> None:
        """Merges a peer's updates for listed targets."""
        now_ms = self._env.now_ms()
        for update in updates[: rate_limits.MAX_UPDATES]:
            if not _is_valid(update):
                self._log.warning("Ignoring malformed rate limit.", peer=peer)
                continue
            if self._find_target(update.target_id) is None:
                continue
            if self.limits.merge(update, now_ms):
                self._log_change(update.target_id, update.rate_per_s, peer=peer)

    def take_token(
        self, target: targets.Target, attempt_id: str
    ) -> outcomes.NotServed | None:
        """Takes a token in the step that sends, or returns a refusal."""
        now_ms = self._env.now_ms()
        if self.limits.take_token(target.target_id, attempt_id, now_ms):
            return None
        next_ms = self.limits.find_token_ms(target.target_id, now_ms)
        return self._refuse(target.target_id, "writer", next_ms - now_ms)

    def refuse_helpers(
        self, helpers: Iterable[targets.Target]
    ) -> outcomes.NotServed | None:
        """Returns a refusal if a chosen helper engine has a rate limit.

        A helper gets several requests: memory is reserved, renewed and
        released.
        """
        for helper in helpers:
            if self.limits.is_limited(helper.target_id):
                return self._refuse(helper.target_id, "helper", _RETRY_MS)
        return None

    def return_token(self, target: targets.Target, attempt_id: str) -> None:
        """Returns the token of a request that was not sent after all."""
        self.limits.return_token(target.target_id, attempt_id)

    def find_lenders(self, target_id: str) -> tuple[str, ...]:
        """Returns the peers that hold shares of a target's limit."""
        now_ms = self._env.now_ms()
        rate_per_s, _ = self.limits.find_share(target_id, now_ms)
        target = self._find_target(target_id)
        if rate_per_s <= 0.0 or math.isinf(rate_per_s) or target is None:
            return ()
        self._refresh_members(now_ms)
        holders = self._find_holders(target, rate_per_s)
        return tuple(each for each in holders if each != self._own)

    def find_hall(self, peer: str) -> str:
        """Returns the hall of a live peer, or empty."""
        return self._members.get(peer, "")

    def charge_orders(self, inner: orders.Orders) -> orders.Orders:
        """Wraps orders so that they count against their targets' limits."""

        def charge(target: targets.Target) -> None:
            self.limits.charge(target.target_id, self._env.now_ms())

        async def reserve(
            reservation: orders.Reservation, hold_ms: float
        ) -> orders.OrderResult:
            charge(reservation.target)
            return await inner.reserve(reservation, hold_ms)

        async def release(held: orders.Reservation) -> orders.OrderResult:
            charge(held.target)
            return await inner.release(held)

        async def probe(target: targets.Target) -> orders.ProbeResult:
            charge(target)
            return await inner.probe(target)

        return orders.Orders(reserve, release, probe)

    async def run(
        self, probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]]
    ) -> None:
        """Probes limited targets until cancelled.

        Args:
            probe: Sends a health probe to a target.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TICK_MS / 1_000.0):
                    await self._changed.wait()
            self._changed.clear()
            now_ms = self._env.now_ms()
            self._detect_suspension(now_ms)
            self.limits.forget_old(now_ms)
            due = map(self._find_target, self.limits.take_due_probes(now_ms))
            probes = [self._probe(probe, each) for each in due if each]
            if probes:
                await asyncio.gather(*probes)

    def set_gauges(self) -> None:
        """Updates the gauges before they are read."""
        now_ms = self._env.now_ms()
        self._gauge_targets |= set(self.limits.list_limited())
        for target_id in self._gauge_targets:
            limit, own = self.limits.find_share(target_id, now_ms)
            self._metrics.rate_limits.set({"target": target_id}, limit)
            self._metrics.rate_limit_shares.set({"target": target_id}, own)

    async def _probe(
        self,
        probe: Callable[[targets.Target], Awaitable[orders.ProbeResult]],
        target: targets.Target,
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PROBE_TIMEOUT_MS / 1_000.0):
                await probe(target)

    def _count_holders(
        self, target_id: str, rate_per_s: float, now_ms: float
    ) -> int:
        """Returns how many VMs share a limit; 0 if this VM has no share."""
        self._detect_suspension(now_ms)
        self._refresh_members(now_ms)
        is_alone = len(self._members) == 1
        settle_ms = ALONE_MS if is_alone else SETTLE_MS
        target = self._find_target(target_id)
        if now_ms - self._settling_since_ms < settle_ms or target is None:
            return 0
        holders = self._find_holders(target, rate_per_s)
        return len(holders) if self._own in holders else 0

    def _find_holders(
        self, target: targets.Target, rate_per_s: float
    ) -> tuple[str, ...]:
        pool_halls = frozenset(self._find_pool_halls(target.pool))
        key = _ShareKey(target.target_id, target.hall, rate_per_s, pool_halls)
        if key not in self._holders:
            if len(self._holders) >= rate_limits.MAX_LIMITS:
                self._holders.clear()
            self._holders[key] = tuple(
                rate_limits.choose_holders(
                    key.target_id,
                    key.hall,
                    key.rate_per_s,
                    self._members,
                    key.pool_halls,
                )
            )
        return self._holders[key]

    def _refresh_members(self, now_ms: float) -> None:
        if now_ms - self._members_refreshed_ms < _MEMBERS_REFRESH_MS:
            return
        self._members_refreshed_ms = now_ms
        members = self._find_members(now_ms)
        if members != self._members:
            self._members = members
            self._holders.clear()

    def _detect_suspension(self, now_ms: float) -> None:
        if now_ms - self._ticked_ms > _SUSPENDED_MS:
            self._settling_since_ms = now_ms
        self._ticked_ms = now_ms

    def _refuse(
        self, target_id: str, role: str, retry_ms: float
    ) -> outcomes.NotServed:
        self._metrics.skipped_sends.inc({"reason": "rate_limit", "part": role})
        if math.isinf(retry_ms):
            retry_ms = _RETRY_MS
        return outcomes.refuse(
            outcomes.Reason.TARGET_RATE_LIMITED,
            f"target {target_id} is rate-limited",
            retry_ms,
        )

    def _log_change(
        self,
        target_id: str,
        rate_per_s: float | None,
        request_id: str = "",
        peer: str = "",
    ) -> None:
        self._metrics.rate_limit_changes.inc({})
        self._changed.set()
        now_ms = self._env.now_ms()
        _, own = self.limits.find_share(target_id, now_ms)
        if rate_per_s is None:
            self._log.info(
                "Target {} has no rate limit any more.",
                target_id,
                request_id=request_id,
                peer=peer,
            )
            return
        self._log.info(
            "Target {} has a rate limit of {:g} requests/s.",
            target_id,
            rate_per_s,
            own_share=round(own, 3),
            request_id=request_id,
            peer=peer,
        )


def _is_valid(update: rate_limit.RateLimitUpdate) -> bool:
    rate_per_s = update.rate_per_s
    is_valid_rate = rate_per_s is None or (
        math.isfinite(rate_per_s) and rate_per_s >= 0.0
    )
    is_valid_age = math.isfinite(update.age_ms) and update.age_ms >= 0.0
    return (
        is_valid_rate
        and is_valid_age
        and len(update.target_id) <= _MAX_NAME_LENGTH
    )
