"""Peak-sensitive moving average with power of two choices.

From "How MOSN's New Latency-Based Load Balancing Cuts Tail Latency" (JD Cloud
Developers): two random targets are compared by their response time, or the age
of their oldest open request if that is longer, times the requests in flight.
The article names fast failures as the weakness of the method; here a failure
counts as a slow response instead (`Estimate.note_fault`).
"""

from collections.abc import Sequence
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies


def make_peak_ewma_p2c() -> policies.Policy:
    """Returns the policy of the article."""

    def choose(
        job: jobs.Job,
        candidates: Sequence[estimates.Estimate],
        now_ms: float,
        rng: random.Random,
    ) -> estimates.Estimate | None:
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        if _score_ms(second, now_ms) < _score_ms(first, now_ms):
            return second
        return first

    return policies.Policy(choose)


def _score_ms(estimate: estimates.Estimate, now_ms: float) -> float:
    slowest_ms = max(estimate.peak_ms, estimate.longest_open_ms(now_ms))
    return slowest_ms * (estimate.streams(now_ms) + 1)
