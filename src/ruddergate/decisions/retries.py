"""Whether and when to try again."""

import dataclasses
import random

from ruddergate import outcomes

INITIAL_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 2_000.0
# Part of the fleet's slack that all VMs together may have saved up. Less than
# half, as a VM that starts again within the window has its part anew.
SLACK_SHARE = 0.45
# VMs that there may be while none but this one is known.
ASSUMED_VMS = 60
# VMs that there are taken to be at least: parts of a fleet that have lost each
# other since their start know only themselves.
MIN_VMS = 6
# What one second send takes.
RETRY_COST = 1.0
# Part of what a VM may save up that it does not lend for short prompts.
RESERVED_FOR_LARGE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDelay:
    """Try again after `delay_ms`."""

    delay_ms: float


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries as a share of traffic, kept as a bucket of tokens.

    Attributes:
        ratio: Retries allowed for each first attempt.
        capacity: Retries that may be saved up.
        tokens: Retries that may be made now.
    """

    ratio: float = 0.2
    capacity: float = 20.0
    tokens: float = 10.0

    def resize(self, capacity: float) -> None:
        """Changes how many may be saved up; what is saved grows along."""
        self.tokens = min(
            capacity, self.tokens + max(0.0, capacity - self.capacity)
        )
        self.capacity = capacity

    def note_first_attempt(self) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        if self.tokens < self.capacity:
            self.tokens = min(self.capacity, self.tokens + self.ratio)

    def can_retry(self) -> bool:
        """Returns whether a retry could be made now."""
        return self.tokens >= RETRY_COST

    def try_spend(self) -> bool:
        """Takes one retry out; returns whether there was one."""
        if not self.can_retry():
            return False
        self.tokens -= RETRY_COST
        return True

    def transfer_out(self, requested: float, is_large: bool) -> float:
        """Takes out second sends for a peer; returns how many.

        What is lent is given up for good, so all VMs together have what they
        had before, also if it gets lost on its way. Of what short prompts want,
        a part is kept: a long one that comes next is worth many of them.
        """
        reserved = 0.0 if is_large else self.capacity * RESERVED_FOR_LARGE
        amount = min(max(0.0, requested), max(0.0, self.tokens - reserved))
        self.tokens -= amount
        return amount

    def receive_transfer(self, amount: float) -> None:
        """Adds what peers have given up.

        No more is kept than one retry takes, or than may be saved up: loans
        are no way to save up more than that.
        """
        self.tokens = min(max(self.capacity, RETRY_COST), self.tokens + amount)


def compute_capacity(fleet_allowance: float, max_known_vms: int) -> float:
    """Returns how many second sends one VM may save up.

    Args:
        fleet_allowance: Second sends that the whole fleet may make in a window
            besides a share of its first ones.
        max_known_vms: Most VMs that this one has known, itself included.
    """
    vms = ASSUMED_VMS if max_known_vms < 2 else max(MIN_VMS, max_known_vms)
    return fleet_allowance * SLACK_SHARE / vms


def decide(
    ended: outcomes.NotServed,
    repeatable: bool,
    attempt: int,
    remaining_ms: float,
    min_attempt_ms: float,
    budget: Budget,
    rng: random.Random,
) -> RetryDelay | outcomes.NotServed:
    """Returns when to try again, or the final outcome.

    Args:
        ended: How the last attempt ended.
        repeatable: Whether a second run does no harm.
        attempt: Number of the attempt that ended, from 1.
        remaining_ms: What is left of the time limit.
        min_attempt_ms: Least time that another attempt needs.
        budget: The VM's budget; a retry is taken out of it.
        rng: For the jitter.
    """
    if not is_safe_to_retry(ended, repeatable):
        return ended
    max_delay_ms = min(
        MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (attempt - 1)
    )
    delay_ms = rng.uniform(0.5, 1.0) * max_delay_ms
    if delay_ms + min_attempt_ms > remaining_ms:
        return ended
    if not budget.try_spend():
        return dataclasses.replace(
            ended,
            reason=outcomes.Reason.RETRY_BUDGET_SPENT,
            detail=f"{ended.detail}; too many retries at present",
            retry_after_ms=1_000.0,
        )
    return RetryDelay(delay_ms)


def is_safe_to_retry(ended: outcomes.NotServed, repeatable: bool) -> bool:
    """Returns whether another run does no harm after this end of one."""
    return repeatable or ended.ran is outcomes.Ran.NOT_RUN
