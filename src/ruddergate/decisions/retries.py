"""Whether and when to try again."""

import dataclasses
import random

from ruddergate import outcomes

BACKOFF_FIRST_MS = 20.0
BACKOFF_MOST_MS = 2_000.0
# Part of the fleet's slack that all VMs together may have saved up. Less than
# half, as a VM that starts again within the window has its part anew.
SLACK_PART = 0.45
# VMs that there may be while none but this one is known.
VMS_UNKNOWN = 60
# VMs that there are taken to be at least: parts of a fleet that have lost each
# other since their start know only themselves.
VMS_LEAST = 6
# What one second send takes.
ONE = 1.0
# Part of what a VM may save up that it does not lend for short prompts.
KEPT_FOR_GREAT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """Try again after `delay_ms`."""

    delay_ms: float


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries as a share of traffic, kept as a bucket of tokens.

    Attributes:
        share: Retries allowed for each first attempt.
        most: Retries that may be saved up.
        tokens: Retries that may be made now.
    """

    share: float = 0.2
    most: float = 20.0
    tokens: float = 10.0

    def resize(self, most: float) -> None:
        """Changes how many may be saved up; what is saved grows along."""
        self.tokens = min(most, self.tokens + max(0.0, most - self.most))
        self.most = most

    def note_first_attempt(self) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        if self.tokens < self.most:
            self.tokens = min(self.most, self.tokens + self.share)

    def has_one(self) -> bool:
        """Returns whether a retry could be made now."""
        return self.tokens >= ONE

    def spend(self) -> bool:
        """Takes one retry out; returns whether there was one."""
        if not self.has_one():
            return False
        self.tokens -= ONE
        return True

    def lend(self, wanted: float, is_large: bool) -> float:
        """Takes out second sends for a peer; returns how many.

        What is lent is given up for good, so all VMs together have what they
        had before, also if it gets lost on its way. Of what short prompts want,
        a part is kept: a long one that comes next is worth many of them.
        """
        kept = 0.0 if is_large else self.most * KEPT_FOR_GREAT
        lent = min(max(0.0, wanted), max(0.0, self.tokens - kept))
        self.tokens -= lent
        return lent

    def take_loan(self, lent: float) -> None:
        """Adds what peers have given up.

        No more is kept than one retry takes, or than may be saved up: loans
        are no way to save up more than that.
        """
        self.tokens = min(max(self.most, ONE), self.tokens + lent)


def find_saved_most(fleet_slack: float, vms_known: int) -> float:
    """Returns how many second sends one VM may save up.

    Args:
        fleet_slack: Second sends that the whole fleet may make in a window
            besides a share of its first ones.
        vms_known: Most VMs that this one has known, itself included.
    """
    vms = VMS_UNKNOWN if vms_known < 2 else max(VMS_LEAST, vms_known)
    return fleet_slack * SLACK_PART / vms


def decide(
    ended: outcomes.NotServed,
    repeatable: bool,
    attempt: int,
    remaining_ms: float,
    needed_ms: float,
    budget: Budget,
    chance: random.Random,
) -> Again | outcomes.NotServed:
    """Returns when to try again, or the final outcome.

    Args:
        ended: How the last attempt ended.
        repeatable: Whether a second run does no harm.
        attempt: Number of the attempt that ended, from 1.
        remaining_ms: What is left of the time limit.
        needed_ms: Least time that another attempt needs.
        budget: The VM's budget; a retry is taken out of it.
        chance: For the jitter.
    """
    if not may_run_again(ended, repeatable):
        return ended
    most_ms = min(BACKOFF_MOST_MS, BACKOFF_FIRST_MS * 2.0 ** (attempt - 1))
    delay_ms = chance.uniform(0.5, 1.0) * most_ms
    if delay_ms + needed_ms > remaining_ms:
        return ended
    if not budget.spend():
        return dataclasses.replace(
            ended,
            reason=outcomes.Reason.RETRY_BUDGET_SPENT,
            detail=f"{ended.detail}; too many retries at present",
            retry_after_ms=1_000.0,
        )
    return Again(delay_ms)


def may_run_again(ended: outcomes.NotServed, repeatable: bool) -> bool:
    """Returns whether another run does no harm after this end of one."""
    return repeatable or ended.ran is outcomes.Ran.NOT_RUN
