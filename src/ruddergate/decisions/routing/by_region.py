"""Policy that keeps long prefills and short prompts on different engines.

Short prompts go to the front region of their own hall's engines; long ones are
prefilled by several engines behind it (boundary.py, long_prompts.py). See
docs/design/platform.md.
"""

from collections.abc import Sequence
import random

from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gap_class
from ruddergate.decisions.routing import boundary
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import long_prompts
from ruddergate.decisions.routing import policy as policies

# Cost of each stream on an engine: the time that it adds to a decoding step.
STREAM_COST_MS = 8.0
# Cost of an engine of the long region; the load elsewhere must exceed it.
SPILL_COST_MS = 60.0
# Cost of an engine in another hall: a network partition between halls delays
# what runs there. It is higher than the cost of the local long region.
OTHER_HALL_COST_MS = 100.0
# Cost for each short answer on an engine whose batch iteration becomes too long
# for its gap SLO.
LATE_COST_MS = 40.0
# Cost of an engine without enough free memory: it evicts the newest request and
# prefills it again later.
NO_MEMORY_COST_MS = 1_000.0
# Scores that differ by less count as equal; see by_length.
TIE_MS = 10.0


def make_by_region() -> policies.Policy:
    """Returns the policy, which is stateless."""
    return policies.Policy(
        _choose, choose_helpers=_choose_helpers, splits_memory=True
    )


def _choose(
    job: jobs.Job,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    rng: random.Random,
) -> estimates.Estimate | None:
    if costs.is_long(candidates[0].pool, job.prompt_tokens):
        plan = long_prompts.make_plan(job, candidates, now_ms)
        if plan is None or long_prompts.should_wait(
            job, plan, candidates, now_ms
        ):
            return None
        return _find_estimate(candidates, plan.engines[0])
    long_ids = frozenset()
    if not job.is_peer_load_unknown:
        # VMs that know nothing of each other's load would otherwise all fill
        # the same few engines.
        long_ids = boundary.find_long_region(candidates, now_ms)
    free = [
        estimate for estimate in candidates if _has_free_slot(estimate, now_ms)
    ]
    if not free:
        return None
    if job.may_be_poison:
        return _choose_for_poison_suspect(free, now_ms, rng)
    scored = [
        (
            _score_ms(
                job, estimate, estimate.target.target_id in long_ids, now_ms
            ),
            estimate,
        )
        for estimate in free
    ]
    best_ms = min(score_ms for score_ms, _ in scored)
    ties = [
        estimate
        for score_ms, estimate in scored
        if score_ms <= best_ms + TIE_MS
    ]
    return rng.choice(ties)


def _has_free_slot(estimate: estimates.Estimate, now_ms: float) -> bool:
    """Returns whether an engine has a free slot for a short prompt.

    When all engines are full, the prompt waits on this VM: the first slot that
    becomes free on any engine comes sooner than one on a given engine.
    """
    slots = estimate.target.streams_max
    return not slots or estimate.recent_streams(now_ms) < slots


def _choose_for_poison_suspect(
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    rng: random.Random,
) -> estimates.Estimate:
    """Returns a random one of the least loaded engines of all halls.

    A poison request does the least damage there. Requests that lose an engine
    together would otherwise all move to the next engine of the ranking, with
    the poison request among them. A random choice separates them.
    """

    def measure_load(estimate: estimates.Estimate) -> tuple[int, int]:
        streams = round(estimate.recent_streams(now_ms))
        return streams, round(estimate.remaining_prefill_ms(now_ms) / TIE_MS)

    loads = [measure_load(estimate) for estimate in candidates]
    min_load = min(loads)
    least_loaded = [
        estimate
        for estimate, load in zip(candidates, loads, strict=True)
        if load == min_load
    ]
    return rng.choice(least_loaded)


def _choose_helpers(
    job: jobs.Job,
    chosen: estimates.Estimate,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    rng: random.Random,
) -> Sequence[estimates.Estimate]:
    if not costs.is_long(chosen.pool, job.prompt_tokens):
        return ()
    plan = long_prompts.make_plan(job, candidates, now_ms)
    if plan is None:
        return ()
    return [_find_estimate(candidates, name) for name in plan.engines[1:]]


def _find_estimate(
    candidates: Sequence[estimates.Estimate], target_id: str
) -> estimates.Estimate:
    return next(
        estimate
        for estimate in candidates
        if estimate.target.target_id == target_id
    )


def _score_ms(
    job: jobs.Job,
    estimate: estimates.Estimate,
    is_in_long_region: bool,
    now_ms: float,
) -> float:
    """Returns the cost of this engine for a short job, in milliseconds."""
    streams = estimate.recent_streams(now_ms)
    backlog_ms = estimate.remaining_prefill_ms(now_ms)
    job_prefill_ms = costs.predict_prefill_ms(estimate.pool, job.prompt_tokens)
    score_ms = backlog_ms + streams * STREAM_COST_MS
    if (
        backlog_ms + job_prefill_ms
        > gap_class.find_prefill_budgets_ms(estimate.pool)[0]
    ):
        score_ms += estimate.streams_by_gap_class(now_ms)[0] * LATE_COST_MS
    if job.held_tokens > estimate.free_tokens(now_ms):
        score_ms += NO_MEMORY_COST_MS
    if is_in_long_region:
        score_ms += SPILL_COST_MS
    if jobs.is_in_other_hall(job, estimate.target):
        score_ms += OTHER_HALL_COST_MS
    return score_ms
