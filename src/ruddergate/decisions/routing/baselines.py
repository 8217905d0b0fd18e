"""Simple policies, as baselines for the default policy."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies

_Score = Callable[[jobs.Job, estimates.Estimate, float], tuple[float, ...]]


def make_round_robin() -> policies.Policy:
    """Returns a policy that chooses targets in turn."""
    turn = 0

    def choose(
        job: jobs.Job,
        candidates: Sequence[estimates.Estimate],
        now_ms: float,
        rng: random.Random,
    ) -> estimates.Estimate | None:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return policies.Policy(choose)


def make_random() -> policies.Policy:
    """Returns a policy that chooses a random target."""
    return _make_min_score(lambda job, estimate, now_ms: ())


def make_least_requests() -> policies.Policy:
    """Returns a policy that chooses the fewest requests in flight."""
    return _make_min_score(
        lambda job, estimate, now_ms: (estimate.streams(now_ms),)
    )


# Penalty of a target in another hall, in requests: half of the slots of a
# replica of the users' plain services.
OTHER_HALL_REQUESTS = 3.0


def make_least_recent() -> policies.Policy:
    """Returns a policy that chooses the fewest recently known requests.

    The load that a target reported decays with the age of the report, so that a
    target that was once busy is not avoided for good. Targets of the local hall
    are preferred unless they are much busier than others.
    """

    def score(
        job: jobs.Job, estimate: estimates.Estimate, now_ms: float
    ) -> tuple[float, ...]:
        penalty = (
            OTHER_HALL_REQUESTS
            if jobs.is_in_other_hall(job, estimate.target)
            else 0.0
        )
        return (estimate.recent_streams(now_ms) + penalty,)

    return _make_min_score(score)


def make_least_tokens() -> policies.Policy:
    """Returns a policy that chooses the fewest waiting prompt tokens."""
    return _make_min_score(
        lambda job, estimate, now_ms: (estimate.waiting_tokens(now_ms),)
    )


def make_prefix_affinity() -> policies.Policy:
    """Returns a policy that prefers targets with the prefix in their cache.

    Among these, or if there are none, it chooses the fewest waiting tokens.
    """
    return _make_min_score(
        lambda job, estimate, now_ms: (
            not estimate.cached_tokens(job.prefix),
            estimate.waiting_tokens(now_ms),
        )
    )


def _make_min_score(score: _Score) -> policies.Policy:
    """Returns a policy of the lowest score, at random among equals."""

    def choose(
        job: jobs.Job,
        candidates: Sequence[estimates.Estimate],
        now_ms: float,
        rng: random.Random,
    ) -> estimates.Estimate | None:
        return min(
            candidates,
            key=lambda estimate: (score(job, estimate, now_ms), rng.random()),
        )

    return policies.Policy(choose)
