"""The product's own policy: least predicted time to first token by length.

Engines are asked to prefill shorter prompts first, so a prompt waits only for
those of its own band and below. A long prompt goes to an engine that has no
other long prefill and has room in memory; if there is none, it waits here,
where it holds up nobody. See docs/design/routing.md for what was weighed.
"""

from collections.abc import Sequence
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import length_band
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies

# Above this many targets a decision looks at a sample, so that its cost does
# not grow with the fleet; entries hold few more (decisions/subset.py).
SAMPLE_SIZE = 24
# Estimates this close are as good as equal; choosing among them by chance
# keeps VMs with the same lagged view from all going to one engine.
TIE_MS = 40.0
# Memory that may be promised; the rest absorbs what peers send meanwhile.
MAX_MEMORY_USE = 0.95
# A prompt waits here rather than behind more prefill than this ...
MAX_BACKLOG_MS = 1_000.0
# ... or than this many times its own prefill.
MAX_BACKLOG_PREFILLS = 2.0
# What a long prefill in progress adds to each step of its engine.
LONG_PREFILL_STEP_MS = 10.0


def make_by_length() -> policies.Policy:
    """Returns the policy; it keeps nothing between two decisions."""
    return policies.Policy(_choose, shorter_first=True)


def _choose(
    job: jobs.Job,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    rng: random.Random,
) -> estimates.Estimate | None:
    band = length_band.find_band(job.prompt_tokens)
    scored = []
    for estimate in _sample(candidates, rng):
        score_ms = _predict_ms(job, band, estimate, now_ms)
        if score_ms is not None:
            scored.append((score_ms, estimate))
    if not scored:
        return None
    best_ms = min(score_ms for score_ms, _ in scored)
    ties = [
        estimate
        for score_ms, estimate in scored
        if score_ms <= best_ms + TIE_MS
    ]
    return rng.choice(ties)


def _sample(
    candidates: Sequence[estimates.Estimate],
    rng: random.Random,
) -> Sequence[estimates.Estimate]:
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    return rng.sample(candidates, SAMPLE_SIZE)


def _predict_ms(
    job: jobs.Job, band: int, estimate: estimates.Estimate, now_ms: float
) -> float | None:
    """Returns the predicted time to first token; None if it is to wait."""
    room = estimate.pool.memory_tokens * MAX_MEMORY_USE - estimate.held_tokens(
        now_ms
    )
    # A prompt larger than what may be promised still gets an empty engine.
    if job.held_tokens > room and estimate.streams(now_ms) > 0:
        return None
    long_tokens = estimate.long_prefill_tokens(now_ms)
    if job.is_long and long_tokens > 0:
        return None
    per_ms = estimate.pool.prefill_tokens_per_s / 1000.0
    cached = min(job.prefix_tokens, estimate.cached_tokens(job.prefix))
    job_prefill_ms = (job.prompt_tokens - cached) / per_ms
    ahead_ms = estimate.waiting_tokens(now_ms, band) / per_ms
    if ahead_ms > max(MAX_BACKLOG_MS, MAX_BACKLOG_PREFILLS * job_prefill_ms):
        return None
    step_ms = LONG_PREFILL_STEP_MS if long_tokens > 0 else 0.0
    return ahead_ms + job_prefill_ms + step_ms
