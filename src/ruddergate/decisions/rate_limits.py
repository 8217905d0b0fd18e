"""Rate limits that targets report, enforced by all VMs together.

A target's limit counts the requests of all VMs, which share no counter. For
each limited target a few VMs, chosen by rendezvous hashing among the nearest,
hold equal shares of the limit; the others send it nothing. Each share is a
token bucket with a burst of one.

A VM that has more requests than tokens asks holders for theirs. A holder takes
a token out of its bucket for good before it replies, and the requester may
spend it only for the time `v` (`TRANSFER_VALID_MS`) after its request. So each
token is spent at most once, and at most `v` later than it left a bucket.

With `m` holders of a limit of `r` requests a second, a window of 4 s has at
most `m` saved tokens and `4r` earned ones, and `vr` that were transferred just
before it. If all holders are replaced in the meantime, the new ones add `m`
saved tokens and what another second earns, `r`. Where tokens come too rarely to
learn from responses whether the limit still holds, each holder also sends a
probe. `find_max_holders` keeps `2m + (5 + v)r`, or `3m + (5 + v)r` with probes,
within `6r + 5`.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import random

from ruddergate.decisions import rendezvous
from ruddergate.fleet import rate_limit

# Requests that a window may have beyond 1.5 times the limit.
_WINDOW_SLACK = 5.0
# Requests of a holder beyond those that it earns in a window: one saved by it
# and one by its successor, and a probe where probes take no token.
_SAVED_PER_HOLDER = 2.0
_PROBES_PER_HOLDER = 1.0
# From this rate on, a share pays a token for each probe.
_PROBE_TOKEN_RATE_PER_S = 0.5
# A holder probes a target that has not responded to it for this time.
PROBE_MS = 4_000.0
# A VM without a share sends a trial request if the limit was not confirmed for
# this time.
UNCONFIRMED_MS = 10_000.0
# Mean time between trial requests to a target whose limit is known from peers
# alone. It is multiplied by the number of VMs, so that the trial requests of
# all VMs together are bounded.
TRIAL_INTERVAL_MS_PER_VM = 4_000.0
# Peers' updates are ignored for this time after a response refuted them.
REFUTED_MS = 60_000.0
# Slow start after the end of a limit: its duration, and the minimum rate of a
# VM during it.
RECOVERY_MS = 2_000.0
RECOVERY_PER_S = 2.0
# How long after a response its limit is announced to peers, and how often.
ANNOUNCE_DURATION_MS = 10_000.0
ANNOUNCE_INTERVAL_MS = 500.0
# Updates in one digest.
MAX_UPDATES = 16
# A limit that was not confirmed for this time is dropped.
FORGET_MS = 60_000.0
# How long a transferred token can be spent, from the request for it on.
TRANSFER_VALID_MS = 250.0
# Transferred tokens that a VM keeps for one target.
_MAX_BORROWED = 64
# Limits kept; the oldest are dropped first.
MAX_LIMITS = 4_096
# Holders are looked up again after this time.
_HOLDERS_REFRESH_MS = 500.0
# A request that was placed and not sent within this time no longer counts.
_PLACED_TIMEOUT_MS = 1_000.0
# Maximum debt of a bucket for requests that can't be withheld.
_MAX_DEBT = 5.0
_NEVER_MS = float("inf")
# A whole token, less rounding errors of refills.
_WHOLE_TOKEN = 1.0 - 1e-9


@dataclasses.dataclass(slots=True)
class _Limit:
    """A limit and this VM's share of it.

    Attributes:
        rate_per_s: Limit for all VMs together.
        confirmed_ms: When the target last reported it, to any VM.
        responded_ms: When a response to this VM last reported it; -inf if it
            is known from peers alone.
        tokens: Requests that may be sent now; negative in debt.
        filled_ms: When tokens were last added.
        holders: Number of VMs that hold a share; 0 if this VM is not one of
            them.
        holders_checked_ms: When the holders were last looked up.
        probe_due_ms: When to probe the target unless it responds before.
        trial_due_ms: From when on one request may be sent without a token, to
            confirm the limit.
        recovers_until_ms: End of the slow start after the limit has ended; None
            while the limit is in force.
        announced_ms: When it was last announced to peers.
        placed: Requests that are placed and not sent yet, by attempt, with the
            time until which they count.
        borrowed: Until when each token that a peer transferred can be spent.
        borrowed_by: Attempts that have taken such a token and not ended.
    """

    rate_per_s: float
    confirmed_ms: float
    responded_ms: float
    tokens: float
    filled_ms: float
    holders: int = 0
    holders_checked_ms: float = float("-inf")
    probe_due_ms: float = _NEVER_MS
    trial_due_ms: float = _NEVER_MS
    recovers_until_ms: float | None = None
    announced_ms: float = float("-inf")
    placed: dict[str, float] = dataclasses.field(default_factory=dict)
    borrowed: list[float] = dataclasses.field(default_factory=list)
    borrowed_by: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedLimit:
    """A limit that has ended.

    Attributes:
        rate_per_s: The former limit.
        sent_ms: When the request was sent whose response showed the end.
        ended_ms: When that response came.
        is_first_hand: Whether this VM got that response itself.
    """

    rate_per_s: float
    sent_ms: float
    ended_ms: float
    is_first_hand: bool


def find_max_holders(rate_per_s: float) -> int:
    """Returns the maximum number of VMs that may hold shares of a limit."""
    slack = _WINDOW_SLACK + rate_per_s * (1.0 - TRANSFER_VALID_MS / 1_000.0)
    with_free_probes = int(slack / (_SAVED_PER_HOLDER + _PROBES_PER_HOLDER))
    with_paid_probes = min(
        slack / _SAVED_PER_HOLDER, rate_per_s / _PROBE_TOKEN_RATE_PER_S
    )
    return max(1, with_free_probes, int(with_paid_probes))


def choose_holders(
    target_id: str,
    hall: str,
    rate_per_s: float,
    members: Mapping[str, str],
    pool_halls: Collection[str],
) -> list[str]:
    """Returns the VMs that hold shares of a target's limit.

    Requests stay in their hall where they can, so the holders are VMs that have
    no nearer target: those of the target's hall, and of halls without targets
    of the pool. If there are none, any VM may hold a share.

    Args:
        target_id: The target.
        hall: Its data hall.
        rate_per_s: Its limit.
        members: Halls of the VMs, by VM name.
        pool_halls: Halls with targets of the same pool.
    """
    max_holders = find_max_holders(rate_per_s)
    nearest = [
        name
        for name, vm_hall in members.items()
        if vm_hall == hall or vm_hall not in pool_halls
    ]
    return rendezvous.choose(target_id, nearest or members, max_holders)


class RateLimits:
    """Limits of targets, and this VM's token bucket for each.

    Args:
        rng: Source of jitter.
        count_holders: Returns how many VMs hold shares of a target's limit, or
            0 if this VM holds none, given the target, the limit and the time.
        count_vms: Returns how many VMs there are, including this one.
    """

    def __init__(
        self,
        rng: random.Random,
        count_holders: Callable[[str, float, float], int],
        count_vms: Callable[[], int] = lambda: 1,
    ) -> None:
        self._rng = rng
        self._count_holders = count_holders
        self._count_vms = count_vms
        self._limits: dict[str, _Limit] = {}
        self._ended_limits: dict[str, _EndedLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def observe_limit(
        self, target_id: str, rate_per_s: float, sent_ms: float, now_ms: float
    ) -> bool:
        """Notes that a target has reported its limit in a response.

        Responses may arrive out of order. One to a request that was sent before
        the last response came neither raises the limit nor restores a limit
        that has ended.

        Args:
            target_id: The target.
            rate_per_s: Its limit.
            sent_ms: When the request was sent.
            now_ms: Time.

        Returns:
            Whether peers need to know: the limit is new to this VM, has changed
            or was never announced by it.
        """
        known = self._find_active(target_id)
        if known is None:
            ended = self._ended_limits.get(target_id)
            if ended is not None and _is_outdated(ended, rate_per_s, sent_ms):
                return False
        elif rate_per_s > known.rate_per_s and sent_ms < known.responded_ms:
            return False
        limit = self._get_or_create(target_id, rate_per_s, now_ms)
        is_new = known is None or known.announced_ms == float("-inf")
        is_new = is_new or limit.rate_per_s != rate_per_s
        self._change_rate(limit, rate_per_s)
        limit.confirmed_ms = limit.responded_ms = now_ms
        limit.probe_due_ms = now_ms + PROBE_MS
        limit.trial_due_ms = _NEVER_MS
        return is_new

    def observe_no_limit(
        self, target_id: str, is_call: bool, sent_ms: float, now_ms: float
    ) -> bool:
        """Notes that a target has responded without reporting a limit.

        A probe may be answered by another component of the target, so its
        response does not end the limit; a trial request becomes due at once to
        confirm it.

        Args:
            target_id: The target.
            is_call: Whether a caller's request was answered, not a probe.
            sent_ms: When the request was sent.
            now_ms: Time.

        Returns:
            Whether a limit has ended.
        """
        limit = self._find_active(target_id)
        if limit is None or sent_ms < limit.responded_ms:
            return False
        if not is_call:
            limit.probe_due_ms = now_ms + PROBE_MS
            limit.trial_due_ms = min(limit.trial_due_ms, now_ms)
            return False
        self._end(target_id, limit, sent_ms, now_ms, is_first_hand=True)
        return True

    def merge(self, update: rate_limit.RateLimitUpdate, now_ms: float) -> bool:
        """Merges an update of a peer.

        Returns:
            Whether the limit is new, has changed or has ended.
        """
        reported_ms = now_ms - max(0.0, update.age_ms)
        limit = self._find_active(update.target_id)
        if update.rate_per_s is None:
            if limit is None or reported_ms <= limit.confirmed_ms:
                return False
            self._end(update.target_id, limit, reported_ms, now_ms, False)
            return True
        ended = self._ended_limits.get(update.target_id)
        if limit is None and ended is not None:
            is_refuted = now_ms - ended.ended_ms < REFUTED_MS
            if reported_ms <= ended.ended_ms or (
                ended.is_first_hand and is_refuted
            ):
                return False
        if limit is None:
            limit = self._get_or_create(
                update.target_id, update.rate_per_s, now_ms
            )
            limit.confirmed_ms = reported_ms
            limit.probe_due_ms = now_ms
            limit.trial_due_ms = now_ms + self._draw_trial_interval_ms()
            return True
        if reported_ms <= limit.confirmed_ms:
            return False
        is_changed = limit.rate_per_s != update.rate_per_s
        self._change_rate(limit, update.rate_per_s)
        limit.confirmed_ms = reported_ms
        if limit.responded_ms > float("-inf"):
            limit.probe_due_ms = max(limit.probe_due_ms, reported_ms + PROBE_MS)
        return is_changed

    def summarize(
        self, now_ms: float
    ) -> tuple[rate_limit.RateLimitUpdate, ...]:
        """Returns the updates to announce to peers now, the latest first."""
        make_update = rate_limit.RateLimitUpdate
        updates: list[rate_limit.RateLimitUpdate] = []
        for target_id, limit in self._limits.items():
            is_due = now_ms - limit.announced_ms >= ANNOUNCE_INTERVAL_MS
            age_ms = now_ms - limit.responded_ms
            is_recent = age_ms <= ANNOUNCE_DURATION_MS
            if is_due and is_recent and limit.recovers_until_ms is None:
                limit.announced_ms = now_ms
                updates.append(make_update(target_id, limit.rate_per_s, age_ms))
        for target_id, ended in self._ended_limits.items():
            age_ms = now_ms - ended.ended_ms
            has_ended = self._find_active(target_id) is None
            if (
                ended.is_first_hand
                and has_ended
                and age_ms <= ANNOUNCE_DURATION_MS
            ):
                updates.append(make_update(target_id, None, age_ms))
        updates.sort(key=lambda each: each.age_ms)
        return tuple(updates[:MAX_UPDATES])

    def is_limited(self, target_id: str) -> bool:
        """Returns whether a target is known to have a limit."""
        return self._find_active(target_id) is not None

    def can_send(self, target_id: str, now_ms: float) -> bool:
        """Returns whether there is a token for one more request."""
        return self.find_token_ms(target_id, now_ms) <= now_ms

    def find_token_ms(self, target_id: str, now_ms: float) -> float:
        """Returns when there is a token for one more request.

        Returns:
            A time not after now if there is one; without a share of the limit,
            when the next trial request is due, or infinity if none is planned.
        """
        limit = self._limits.get(target_id)
        if limit is None:
            return now_ms
        self._refill(target_id, limit, now_ms)
        if target_id not in self._limits:
            return now_ms
        missing = _WHOLE_TOKEN + len(limit.placed) - _count_tokens(limit)
        if missing <= 0.0:
            return now_ms
        if limit.trial_due_ms <= now_ms and not limit.placed:
            return now_ms
        rate_per_s = _find_own_rate(limit)
        if rate_per_s <= 0.0:
            return max(limit.trial_due_ms, now_ms + 1.0)
        return now_ms + missing / rate_per_s * 1_000.0

    def count_sendable(self, target_id: str, now_ms: float) -> float:
        """Returns how many requests may be sent now; infinity without a limit.

        Requests that are placed and not sent yet are deducted.
        """
        if not self.can_send(target_id, now_ms):
            return 0.0
        limit = self._limits.get(target_id)
        if limit is None:
            return _NEVER_MS
        tokens = _count_tokens(limit) + 1.0 - _WHOLE_TOKEN
        return max(1.0, tokens // 1.0 - len(limit.placed))

    def lend_token(
        self, target_id: str, rate_per_s: float, now_ms: float
    ) -> bool:
        """Takes out a token to transfer it to a peer, if it is not needed.

        It is not paid back, so a transfer never increases what all VMs together
        have, even if it is lost on its way.

        Args:
            target_id: The target.
            rate_per_s: Its limit as the peer knows it. If it is not the same
                here, one of them has yet to learn of a change.
            now_ms: Time.
        """
        limit = self._find_active(target_id)
        if limit is None or limit.rate_per_s != rate_per_s:
            return False
        self._refill(target_id, limit, now_ms)
        is_probe_due = now_ms >= limit.probe_due_ms
        if not limit.holders or is_probe_due:
            return False
        if limit.tokens - len(limit.placed) < _WHOLE_TOKEN:
            return False
        limit.tokens -= 1.0
        return True

    def find_lend_ms(self, target_id: str, now_ms: float) -> float:
        """Returns when there may be a token for a peer; infinity for never."""
        limit = self._find_active(target_id)
        if limit is None or not limit.holders:
            return _NEVER_MS
        return max(now_ms, self.find_token_ms(target_id, now_ms))

    def receive_token(
        self,
        target_id: str,
        rate_per_s: float,
        requested_ms: float,
        now_ms: float,
    ) -> bool:
        """Adds a token that a peer has transferred.

        Args:
            target_id: The target.
            rate_per_s: Its limit when the token was requested.
            requested_ms: When the token was requested.
            now_ms: Time.

        Returns:
            Whether it can be spent.
        """
        limit = self._find_active(target_id)
        until_ms = requested_ms + TRANSFER_VALID_MS
        if limit is None or limit.rate_per_s != rate_per_s:
            return False
        if until_ms <= now_ms or len(limit.borrowed) >= _MAX_BORROWED:
            return False
        limit.borrowed.append(until_ms)
        return True

    def find_age_ms(self, target_id: str, now_ms: float) -> float:
        """Returns the time since a target last reported its limit."""
        limit = self._find_active(target_id)
        return _NEVER_MS if limit is None else now_ms - limit.confirmed_ms

    def note_placed(
        self, target_id: str, attempt_id: str, now_ms: float
    ) -> None:
        """Notes that a request was placed and is about to be sent."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.placed[attempt_id] = now_ms + _PLACED_TIMEOUT_MS

    def note_unplaced(self, target_id: str, attempt_id: str) -> None:
        """Notes that a request is not waiting to be sent any more."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.placed.pop(attempt_id, None)
            limit.borrowed_by.discard(attempt_id)

    def take_token(
        self, target_id: str, attempt_id: str, now_ms: float
    ) -> bool:
        """Takes a token right before sending.

        Returns:
            Whether the request may be sent; always true without a limit.
        """
        self.note_unplaced(target_id, attempt_id)
        limit = self._limits.get(target_id)
        if limit is None:
            return True
        self._refill(target_id, limit, now_ms)
        if target_id not in self._limits:
            return True
        if limit.borrowed:
            # The one that can be spent for the shortest time.
            limit.borrowed.remove(min(limit.borrowed))
            limit.borrowed_by.add(attempt_id)
            return True
        if limit.tokens >= _WHOLE_TOKEN:
            limit.tokens -= 1.0
            return True
        if limit.trial_due_ms <= now_ms:
            limit.trial_due_ms = now_ms + self._draw_trial_interval_ms()
            return True
        return False

    def return_token(self, target_id: str, attempt_id: str = "") -> None:
        """Returns the token of a request that was not sent after all.

        A token of a peer is lost: it may have expired meanwhile.
        """
        limit = self._limits.get(target_id)
        if limit is not None and attempt_id not in limit.borrowed_by:
            limit.tokens = min(1.0, limit.tokens + 1.0)

    def charge(self, target_id: str, now_ms: float) -> None:
        """Counts a request that can't be withheld."""
        limit = self._limits.get(target_id)
        if limit is not None:
            self._refill(target_id, limit, now_ms)
            limit.tokens = max(-_MAX_DEBT, limit.tokens - 1.0)

    def take_due_probes(self, now_ms: float) -> list[str]:
        """Returns the targets to probe now, and schedules their next probes."""
        due: list[str] = []
        for target_id, limit in list(self._limits.items()):
            self._refill(target_id, limit, now_ms)
            if limit.recovers_until_ms is not None or not limit.holders:
                continue
            if now_ms >= limit.probe_due_ms and _take_probe_token(limit):
                limit.probe_due_ms = now_ms + PROBE_MS
                due.append(target_id)
        return due

    def forget_old(self, now_ms: float) -> None:
        """Drops limits that nothing confirms, as of removed targets."""
        for target_id, limit in list(self._limits.items()):
            if now_ms - limit.confirmed_ms > FORGET_MS:
                del self._limits[target_id]
        for target_id, ended in list(self._ended_limits.items()):
            if now_ms - ended.ended_ms > REFUTED_MS:
                del self._ended_limits[target_id]

    def find_share(self, target_id: str, now_ms: float) -> tuple[float, float]:
        """Returns a target's limit and this VM's share, in requests a second.

        Returns:
            Both; infinity for each if there is no limit.
        """
        limit = self._find_active(target_id)
        if limit is None:
            return _NEVER_MS, _NEVER_MS
        self._refill(target_id, limit, now_ms)
        return limit.rate_per_s, _find_own_rate(limit)

    def list_limited(self) -> list[str]:
        """Returns the targets that are known to have a limit."""
        return [name for name in self._limits if self.is_limited(name)]

    def _find_active(self, target_id: str) -> _Limit | None:
        limit = self._limits.get(target_id)
        if limit is None or limit.recovers_until_ms is not None:
            return None
        return limit

    def _get_or_create(
        self, target_id: str, rate_per_s: float, now_ms: float
    ) -> _Limit:
        """Returns a target's limit; a new one has less than one token."""
        limit = self._find_active(target_id)
        if limit is None:
            # Jitter, so that buckets created together are not filled together.
            limit = _Limit(
                rate_per_s,
                confirmed_ms=now_ms,
                responded_ms=float("-inf"),
                tokens=self._rng.random() * _WHOLE_TOKEN,
                filled_ms=now_ms,
            )
            self._limits.pop(target_id, None)
            self._limits[target_id] = limit
            _drop_oldest(self._limits)
        return limit

    def _change_rate(self, limit: _Limit, rate_per_s: float) -> None:
        """Changes a rate; a token saved at the former rate is lost."""
        if limit.rate_per_s != rate_per_s:
            limit.rate_per_s = rate_per_s
            limit.borrowed.clear()
            limit.tokens = min(limit.tokens, self._rng.random() * _WHOLE_TOKEN)
            limit.holders_checked_ms = float("-inf")

    def _end(
        self,
        target_id: str,
        limit: _Limit,
        sent_ms: float,
        now_ms: float,
        is_first_hand: bool,
    ) -> None:
        self._ended_limits.pop(target_id, None)
        self._ended_limits[target_id] = _EndedLimit(
            limit.rate_per_s, sent_ms, now_ms, is_first_hand
        )
        _drop_oldest(self._ended_limits)
        recovery_ms = RECOVERY_MS * self._rng.uniform(0.5, 1.0)
        limit.recovers_until_ms = now_ms + recovery_ms
        limit.borrowed.clear()
        limit.trial_due_ms = _NEVER_MS

    def _refill(self, target_id: str, limit: _Limit, now_ms: float) -> None:
        """Adds the tokens earned; drops a limit whose slow start is over."""
        if _has_recovered(limit, now_ms):
            self._limits.pop(target_id, None)
            return
        if now_ms - limit.holders_checked_ms >= _HOLDERS_REFRESH_MS:
            self._refresh_holders(target_id, limit, now_ms)
        elapsed_s = max(0.0, now_ms - limit.filled_ms) / 1_000.0
        limit.filled_ms = now_ms
        earned = elapsed_s * _find_own_rate(limit)
        limit.tokens = min(1.0, limit.tokens + earned)
        if limit.borrowed:
            limit.borrowed = [each for each in limit.borrowed if each > now_ms]
        if limit.placed:
            limit.placed = {
                attempt_id: until_ms
                for attempt_id, until_ms in limit.placed.items()
                if until_ms > now_ms
            }
        is_unconfirmed = now_ms - limit.confirmed_ms > UNCONFIRMED_MS
        if (
            is_unconfirmed
            and not limit.holders
            and limit.trial_due_ms == _NEVER_MS
        ):
            limit.trial_due_ms = now_ms

    def _refresh_holders(
        self, target_id: str, limit: _Limit, now_ms: float
    ) -> None:
        limit.holders_checked_ms = now_ms
        holders = self._count_holders(target_id, limit.rate_per_s, now_ms)
        if holders and not limit.holders:
            # The former holder may have spent this share's token already.
            limit.tokens = min(limit.tokens, self._rng.random() * _WHOLE_TOKEN)
            limit.probe_due_ms = max(
                limit.probe_due_ms, limit.responded_ms + PROBE_MS
            )
        limit.holders = holders

    def _draw_trial_interval_ms(self) -> float:
        mean_ms = TRIAL_INTERVAL_MS_PER_VM * max(1, self._count_vms())
        return mean_ms * self._rng.uniform(0.5, 1.5)


def _has_recovered(limit: _Limit, now_ms: float) -> bool:
    until_ms = limit.recovers_until_ms
    return until_ms is not None and now_ms >= until_ms


def _find_own_rate(limit: _Limit) -> float:
    """Returns this VM's rate under a limit, in requests a second."""
    own = limit.rate_per_s / limit.holders if limit.holders else 0.0
    if limit.recovers_until_ms is not None:
        return max(own, RECOVERY_PER_S)
    return own


def _count_tokens(limit: _Limit) -> float:
    """Returns the tokens that can be spent, those of peers included."""
    return limit.tokens + len(limit.borrowed)


def _take_probe_token(limit: _Limit) -> bool:
    """Takes a token for a probe; at low rates, probes need none."""
    if _find_own_rate(limit) < _PROBE_TOKEN_RATE_PER_S:
        return True
    if limit.tokens - len(limit.placed) < _WHOLE_TOKEN:
        return False
    limit.tokens -= 1.0
    return True


def _is_outdated(ended: _EndedLimit, rate_per_s: float, sent_ms: float) -> bool:
    """Returns whether a response reports a limit that has ended since."""
    return rate_per_s == ended.rate_per_s and sent_ms < ended.sent_ms


def _drop_oldest(entries: dict) -> None:
    if len(entries) > MAX_LIMITS:
        del entries[next(iter(entries))]
