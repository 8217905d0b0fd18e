"""The default policy: shortest predicted time to first token, by length.

Engines are asked to prefill shorter prompts first, so a prompt waits only for
those of its own length band and below. A long prompt goes to an engine that has
no other long prefill and enough free memory; if there is none, it waits on this
VM, where it blocks no others. See docs/design/routing.md for the alternatives.
"""

from collections.abc import Sequence
import random

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import length_band
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies

# With more targets than this, a decision looks at a random sample, so that its
# cost does not grow with the fleet; entries hold few more
# (decisions/subset.py).
SAMPLE_SIZE = 24
# Predictions that differ by less count as equal. A random choice among them
# keeps VMs with the same outdated view from all choosing one engine.
TIE_MS = 40.0
# Share of the memory that may be allocated to requests; the rest absorbs what
# peers send in the meantime.
MAX_MEMORY_USE = 0.95
# A prompt waits on this VM rather than behind more prefill time than this ...
MAX_BACKLOG_MS = 1_000.0
# ... or than this multiple of its own prefill time, whichever is longer.
MAX_BACKLOG_PREFILLS = 2.0
# Time that a long prefill in progress adds to each step of its engine.
LONG_PREFILL_STEP_MS = 10.0


def make_by_length() -> policies.Policy:
    """Returns the policy, which is stateless."""
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
    """Returns the predicted time to first token, or None to wait."""
    free_tokens = (
        estimate.pool.memory_tokens * MAX_MEMORY_USE
        - estimate.held_tokens(now_ms)
    )
    # A prompt larger than what may be allocated still gets an idle engine.
    if job.held_tokens > free_tokens and estimate.streams(now_ms) > 0:
        return None
    long_tokens = estimate.long_prefill_tokens(now_ms)
    if job.is_long and long_tokens > 0:
        return None
    tokens_per_ms = estimate.pool.prefill_tokens_per_s / 1000.0
    cached = min(job.prefix_tokens, estimate.cached_tokens(job.prefix))
    job_prefill_ms = (job.prompt_tokens - cached) / tokens_per_ms
    ahead_ms = estimate.waiting_tokens(now_ms, band) / tokens_per_ms
    if ahead_ms > max(MAX_BACKLOG_MS, MAX_BACKLOG_PREFILLS * job_prefill_ms):
        return None
    step_ms = LONG_PREFILL_STEP_MS if long_tokens > 0 else 0.0
    return ahead_ms + job_prefill_ms + step_ms
