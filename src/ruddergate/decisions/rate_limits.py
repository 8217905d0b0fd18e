"""Rate limits that targets name, kept by all VMs together.

A limit counts the requests of all VMs, which share no counter. For each limited
target a few VMs, chosen by rendezvous hashing among the nearest, hold equal
shares of the limit; the others send it nothing. Each share is a token bucket
with a burst of one.

With `m` holders of a limit of `r` requests a second, a window of 4 s has at
most `m` tokens that were saved and `4r` that were earned. If all holders are
replaced meanwhile, `m` more saved ones and another second's `r` come to that.
Where tokens come too seldom to learn from calls whether the limit still holds,
each holder also sends a probe. `find_max_holders` keeps `2m + 5r`, or `3m + 5r`
with probes, within `6r + 5`.
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
# Requests of a holder beyond those it earns in a window: one saved by it and
# one by its successor, and a probe where probes take no token.
_SAVED = 2.0
_PROBES = 1.0
# A share of at least this rate has a token for each probe.
_PROBED_RATE_PER_S = 0.5
# A holder probes a target that has not answered it for this time.
PROBE_MS = 4_000.0
# A VM without a share tries a limit that was not confirmed for this time.
LAPSE_MS = 10_000.0
# Mean time between trials of a limit known from peers alone, for each VM of the
# fleet, so that the trials of all VMs are bounded.
TRIAL_MS_PER_VM = 4_000.0
# Peers' updates are ignored for this time after an answer that refuted them.
REFUTED_MS = 60_000.0
# Slow start after the end of a limit: its time, and the rate of a VM.
RECOVERY_MS = 2_000.0
RECOVERY_PER_S = 2.0
# How long after an answer its limit is announced to peers, and how often.
ANNOUNCED_MS = 10_000.0
ANNOUNCE_EVERY_MS = 500.0
# Updates in one digest.
MAX_UPDATES = 16
# A limit that was not confirmed for this time is dropped.
FORGET_MS = 60_000.0
# Limits kept; the oldest are dropped first.
MAX_LIMITS = 4_096
# Holders are looked up again after this time.
_SHARE_MS = 500.0
# A call that was placed and not sent within this time no longer counts.
_PLACED_MS = 1_000.0
# Most debt of a bucket for requests that can't be withheld.
_MAX_DEBT = 5.0
_NEVER_MS = float("inf")
_ONE = 1.0 - 1e-9


@dataclasses.dataclass(slots=True)
class _Limit:
    """A limit and this VM's share of it.

    Attributes:
        rate_per_s: Limit for all VMs together.
        named_ms: When the target last named it, by any source.
        answered_ms: When an answer to this VM last named it; -inf if it is
            known from peers alone.
        tokens: Requests that may be sent now; below 0 in debt.
        filled_ms: When tokens were last added.
        holders: VMs that hold a share; 0 if this VM is none of them.
        shared_ms: When that was looked up.
        probe_ms: When the target is to be probed unless it answers before.
        trial_ms: When one call may be sent without a token to confirm it.
        recovers_until_ms: End of the slow start after it has ended; None while
            it lasts.
        announced_ms: When it was last announced to peers.
        placed: Calls with a place that have not been sent, by attempt, and
            until when they count.
    """

    rate_per_s: float
    named_ms: float
    answered_ms: float
    tokens: float
    filled_ms: float
    holders: int = 0
    shared_ms: float = float("-inf")
    probe_ms: float = _NEVER_MS
    trial_ms: float = _NEVER_MS
    recovers_until_ms: float | None = None
    announced_ms: float = float("-inf")
    placed: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    """A limit that has ended.

    Attributes:
        rate_per_s: What it was.
        sent_ms: When the call was sent whose answer ended it.
        ended_ms: When that answer came.
        is_answered: Whether it was an answer to this VM.
    """

    rate_per_s: float
    sent_ms: float
    ended_ms: float
    is_answered: bool


def find_max_holders(rate_per_s: float) -> int:
    """Returns how many VMs may hold shares of a limit at most."""
    slack = _WINDOW_SLACK + rate_per_s
    seldom = int(slack / (_SAVED + _PROBES))
    often = min(slack / _SAVED, rate_per_s / _PROBED_RATE_PER_S)
    return max(1, seldom, int(often))


def choose_holders(
    target_id: str,
    hall: str,
    rate_per_s: float,
    members: Mapping[str, str],
    pool_halls: Collection[str],
) -> list[str]:
    """Returns the VMs that hold shares of a target's limit.

    Calls stay in their hall where they can, so a share is of most use to VMs
    that have no nearer target.

    Args:
        target_id: The target.
        hall: Its data hall.
        rate_per_s: Its limit.
        members: Halls of the VMs by name.
        pool_halls: Halls with targets of the same pool.
    """
    most = find_max_holders(rate_per_s)
    near = [
        name
        for name, its in members.items()
        if its == hall or its not in pool_halls
    ]
    return rendezvous.choose(target_id, near or members, most)


class RateLimits:
    """Limits of targets, and this VM's token bucket for each.

    Args:
        chance: Source of jitter.
        count_holders: Returns how many VMs hold shares of a target's limit, or
            0 if this VM holds none, given the target, the limit and the time.
        count_vms: Returns how many VMs there are, with this one.
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
        self._ended: dict[str, _Ended] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def observe_limit(
        self, target_id: str, rate_per_s: float, sent_ms: float, now_ms: float
    ) -> bool:
        """Notes that a target has named its limit in an answer.

        Answers overtake one another: one to a request that was sent before the
        last answer came neither raises a limit nor brings back one that ended.

        Returns:
            Whether the limit is another one than before.
        """
        known = self._find_lasting(target_id)
        if known is None:
            ended = self._ended.get(target_id)
            if ended is not None and _is_outdated(ended, rate_per_s, sent_ms):
                return False
        elif rate_per_s > known.rate_per_s and sent_ms < known.answered_ms:
            return False
        limit = self._set(target_id, rate_per_s, now_ms)
        is_news = known is None or known.announced_ms == float("-inf")
        is_news = is_news or limit.rate_per_s != rate_per_s
        self._change_rate(limit, rate_per_s)
        limit.named_ms = limit.answered_ms = now_ms
        limit.probe_ms = now_ms + PROBE_MS
        limit.trial_ms = _NEVER_MS
        return is_news

    def observe_no_limit(
        self, target_id: str, is_call: bool, sent_ms: float, now_ms: float
    ) -> bool:
        """Notes that a target has answered without naming a limit.

        An answer to a probe may come from another part of the target, so a
        call has to confirm it: one may be sent at once.

        Returns:
            Whether a limit has ended.
        """
        limit = self._find_lasting(target_id)
        if limit is None or sent_ms < limit.answered_ms:
            return False
        if not is_call:
            limit.probe_ms = now_ms + PROBE_MS
            limit.trial_ms = min(limit.trial_ms, now_ms)
            return False
        self._end(target_id, limit, sent_ms, now_ms, is_answered=True)
        return True

    def merge(self, update: rate_limit.RateLimitUpdate, now_ms: float) -> bool:
        """Merges an update of a peer.

        Returns:
            Whether it changed the limit.
        """
        said_ms = now_ms - max(0.0, update.age_ms)
        limit = self._find_lasting(update.target_id)
        if update.rate_per_s is None:
            if limit is None or said_ms <= limit.named_ms:
                return False
            self._end(update.target_id, limit, said_ms, now_ms, False)
            return True
        ended = self._ended.get(update.target_id)
        if limit is None and ended is not None:
            is_refuted = now_ms - ended.ended_ms < REFUTED_MS
            if said_ms <= ended.ended_ms or (ended.is_answered and is_refuted):
                return False
        if limit is None:
            limit = self._set(update.target_id, update.rate_per_s, now_ms)
            limit.named_ms = said_ms
            limit.probe_ms = now_ms
            limit.trial_ms = now_ms + self._draw_trial_ms()
            return True
        if said_ms <= limit.named_ms:
            return False
        is_changed = limit.rate_per_s != update.rate_per_s
        self._change_rate(limit, update.rate_per_s)
        limit.named_ms = said_ms
        return is_changed

    def summarize(
        self, now_ms: float
    ) -> tuple[rate_limit.RateLimitUpdate, ...]:
        """Returns the updates due for peers, the latest first."""
        make = rate_limit.RateLimitUpdate
        updates: list[rate_limit.RateLimitUpdate] = []
        for target_id, limit in self._limits.items():
            is_due = now_ms - limit.announced_ms >= ANNOUNCE_EVERY_MS
            age_ms = now_ms - limit.answered_ms
            is_recent = age_ms <= ANNOUNCED_MS
            if is_due and is_recent and limit.recovers_until_ms is None:
                limit.announced_ms = now_ms
                updates.append(make(target_id, limit.rate_per_s, age_ms))
        for target_id, ended in self._ended.items():
            age_ms = now_ms - ended.ended_ms
            is_over = self._find_lasting(target_id) is None
            if ended.is_answered and is_over and age_ms <= ANNOUNCED_MS:
                updates.append(make(target_id, None, age_ms))
        updates.sort(key=lambda each: each.age_ms)
        return tuple(updates[:MAX_UPDATES])

    def is_limited(self, target_id: str) -> bool:
        """Returns whether a target names a limit, as far as is known."""
        return self._find_lasting(target_id) is not None

    def can_send(self, target_id: str, now_ms: float) -> bool:
        """Returns whether a target has a token for one more call."""
        return self.find_token_ms(target_id, now_ms) <= now_ms

    def find_token_ms(self, target_id: str, now_ms: float) -> float:
        """Returns when a target has a token for one more call.

        Returns:
            A time not after now where it has one; infinity where this VM holds
            no part of its limit.
        """
        limit = self._limits.get(target_id)
        if limit is None:
            return now_ms
        self._refill(target_id, limit, now_ms)
        if target_id not in self._limits:
            return now_ms
        missing = _ONE + len(limit.placed) - limit.tokens
        if missing <= 0.0:
            return now_ms
        if limit.trial_ms <= now_ms and not limit.placed:
            return now_ms
        rate_per_s = _find_own_rate(limit)
        if rate_per_s <= 0.0:
            return max(limit.trial_ms, now_ms + 1.0)
        return now_ms + missing / rate_per_s * 1_000.0

    def note_placed(
        self, target_id: str, attempt_id: str, now_ms: float
    ) -> None:
        """Notes that a call was given a place and is about to be sent."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.placed[attempt_id] = now_ms + _PLACED_MS

    def note_unplaced(self, target_id: str, attempt_id: str) -> None:
        """Notes that a call has ended, sent or not."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.placed.pop(attempt_id, None)

    def take_token(
        self, target_id: str, attempt_id: str, now_ms: float
    ) -> bool:
        """Takes a token in the step that sends; returns whether there was one.

        Always true for a target without a limit.
        """
        self.note_unplaced(target_id, attempt_id)
        limit = self._limits.get(target_id)
        if limit is None:
            return True
        self._refill(target_id, limit, now_ms)
        if target_id not in self._limits:
            return True
        if limit.tokens >= _ONE:
            limit.tokens -= 1.0
            return True
        if limit.trial_ms <= now_ms:
            limit.trial_ms = now_ms + self._draw_trial_ms()
            return True
        return False

    def return_token(self, target_id: str) -> None:
        """Returns the token of a call that was not sent after all."""
        limit = self._limits.get(target_id)
        if limit is not None:
            limit.tokens = min(1.0, limit.tokens + 1.0)

    def charge(self, target_id: str, now_ms: float) -> None:
        """Counts a request that can't be withheld."""
        limit = self._limits.get(target_id)
        if limit is not None:
            self._refill(target_id, limit, now_ms)
            limit.tokens = max(-_MAX_DEBT, limit.tokens - 1.0)

    def take_due_probes(self, now_ms: float) -> list[str]:
        """Returns the targets to probe now; each is due again later."""
        due: list[str] = []
        for target_id, limit in list(self._limits.items()):
            self._refill(target_id, limit, now_ms)
            if limit.recovers_until_ms is not None or not limit.holders:
                continue
            if now_ms >= limit.probe_ms and _take_for_probe(limit):
                limit.probe_ms = now_ms + PROBE_MS
                due.append(target_id)
        return due

    def forget_old(self, now_ms: float) -> None:
        """Drops limits that nothing confirms, as of targets that are gone."""
        for target_id, limit in list(self._limits.items()):
            if now_ms - limit.named_ms > FORGET_MS:
                del self._limits[target_id]
        for target_id, ended in list(self._ended.items()):
            if now_ms - ended.ended_ms > REFUTED_MS:
                del self._ended[target_id]

    def find_share(self, target_id: str, now_ms: float) -> tuple[float, float]:
        """Returns a target's limit and this VM's share of it, a second.

        Returns:
            Infinity for both where there is no limit.
        """
        limit = self._find_lasting(target_id)
        if limit is None:
            return _NEVER_MS, _NEVER_MS
        self._refill(target_id, limit, now_ms)
        return limit.rate_per_s, _find_own_rate(limit)

    def list_limited(self) -> list[str]:
        """Returns the targets that name a limit."""
        return [name for name in self._limits if self.is_limited(name)]

    def _find_lasting(self, target_id: str) -> _Limit | None:
        limit = self._limits.get(target_id)
        if limit is None or limit.recovers_until_ms is not None:
            return None
        return limit

    def _set(self, target_id: str, rate_per_s: float, now_ms: float) -> _Limit:
        """Returns the limit of a target, a new one with an empty bucket."""
        limit = self._find_lasting(target_id)
        if limit is None:
            # Jitter: buckets that are made at once get their tokens apart.
            limit = _Limit(
                rate_per_s,
                named_ms=now_ms,
                answered_ms=float("-inf"),
                tokens=self._rng.random() * _ONE,
                filled_ms=now_ms,
            )
            self._limits.pop(target_id, None)
            self._limits[target_id] = limit
            _drop_oldest(self._limits)
        return limit

    def _change_rate(self, limit: _Limit, rate_per_s: float) -> None:
        """Changes a rate; what was saved under the former one is lost."""
        if limit.rate_per_s != rate_per_s:
            limit.rate_per_s = rate_per_s
            limit.tokens = min(limit.tokens, self._rng.random() * _ONE)
            limit.shared_ms = float("-inf")

    def _end(
        self,
        target_id: str,
        limit: _Limit,
        sent_ms: float,
        now_ms: float,
        is_answered: bool,
    ) -> None:
        self._ended.pop(target_id, None)
        self._ended[target_id] = _Ended(
            limit.rate_per_s, sent_ms, now_ms, is_answered
        )
        _drop_oldest(self._ended)
        recovery_ms = RECOVERY_MS * self._rng.uniform(0.5, 1.0)
        limit.recovers_until_ms = now_ms + recovery_ms
        limit.trial_ms = _NEVER_MS

    def _refill(self, target_id: str, limit: _Limit, now_ms: float) -> None:
        """Adds the tokens earned, and forgets a limit that has recovered."""
        if _is_over(limit, now_ms):
            self._limits.pop(target_id, None)
            return
        if now_ms - limit.shared_ms >= _SHARE_MS:
            self._share(target_id, limit, now_ms)
        elapsed_s = max(0.0, now_ms - limit.filled_ms) / 1_000.0
        limit.filled_ms = now_ms
        earned = elapsed_s * _find_own_rate(limit)
        limit.tokens = min(1.0, limit.tokens + earned)
        if limit.placed:
            limit.placed = {
                attempt_id: until_ms
                for attempt_id, until_ms in limit.placed.items()
                if until_ms > now_ms
            }
        has_lapsed = now_ms - limit.named_ms > LAPSE_MS
        if has_lapsed and not limit.holders and limit.trial_ms == _NEVER_MS:
            limit.trial_ms = now_ms

    def _share(self, target_id: str, limit: _Limit, now_ms: float) -> None:
        limit.shared_ms = now_ms
        holders = self._count_holders(target_id, limit.rate_per_s, now_ms)
        if holders and not limit.holders:
            # The share may have been spent by its former holder.
            limit.tokens = min(limit.tokens, self._rng.random() * _ONE)
            limit.probe_ms = max(limit.probe_ms, limit.answered_ms + PROBE_MS)
        limit.holders = holders

    def _draw_trial_ms(self) -> float:
        mean_ms = TRIAL_MS_PER_VM * max(1, self._count_vms())
        return mean_ms * self._rng.uniform(0.5, 1.5)


def _is_over(limit: _Limit, now_ms: float) -> bool:
    until_ms = limit.recovers_until_ms
    return until_ms is not None and now_ms >= until_ms


def _find_own_rate(limit: _Limit) -> float:
    """Returns this VM's share of a limit, in requests a second."""
    own = limit.rate_per_s / limit.holders if limit.holders else 0.0
    if limit.recovers_until_ms is not None:
        return max(own, RECOVERY_PER_S)
    return own


def _take_for_probe(limit: _Limit) -> bool:
    """Takes a token for a probe if the share has enough of them."""
    if _find_own_rate(limit) < _PROBED_RATE_PER_S:
        return True
    if limit.tokens - len(limit.placed) < _ONE:
        return False
    limit.tokens -= 1.0
    return True


def _is_outdated(ended: _Ended, rate_per_s: float, sent_ms: float) -> bool:
    """Returns whether an answer names a limit that has ended since."""
    return rate_per_s == ended.rate_per_s and sent_ms < ended.sent_ms


def _drop_oldest(found: dict) -> None:
    if len(found) > MAX_LIMITS:
        del found[next(iter(found))]
