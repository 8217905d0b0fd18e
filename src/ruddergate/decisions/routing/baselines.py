"""The plain policies that the product's own is measured against."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies

_Score = Callable[[jobs.Job, estimates.Estimate, float], tuple[float, ...]]


def make_round_robin() -> policies.Policy:
    """Returns a policy that takes targets in turn."""
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
    """Returns a policy that takes any target."""
    return _make_min_score(lambda job, estimate, now_ms: ())


def make_least_requests() -> policies.Policy:
    """Returns a policy that takes the fewest requests in flight."""
    return _make_min_score(
        lambda job, estimate, now_ms: (estimate.streams(now_ms),)
    )


# So many more requests make a target of the home hall as bad as one elsewhere:
# half of the places of a replica of the users' plain services.
OTHER_HALL_REQUESTS = 3.0


def make_least_recent() -> policies.Policy:
    """Returns a policy that takes the fewest requests as lately known.

    What targets told with old answers fades, so that a target that was busy
    once is not passed over for good. Targets of the home hall are preferred
    while they are not much busier than others.
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
    """Returns a policy that takes the fewest prompt tokens waiting."""
    return _make_min_score(
        lambda job, estimate, now_ms: (estimate.waiting_tokens(now_ms),)
    )


def make_prefix_affinity() -> policies.Policy:
    """Returns a policy that goes where the prefix is cached, else least."""
    return _make_min_score(
        lambda job, estimate, now_ms: (
            not estimate.cached_tokens(job.prefix),
            estimate.waiting_tokens(now_ms),
        )
    )


def _make_min_score(score: _Score) -> policies.Policy:
    """Returns a policy that takes the lowest score, by chance among equals."""

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
