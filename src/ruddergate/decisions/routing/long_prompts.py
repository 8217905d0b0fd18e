"""Chooses the engines that prefill a long prompt, or keeps the prompt waiting.

A plan weighs what its segments cost streams being decoded and other prompts in
prefill (decisions/prefill_plan.py). Where engines that will soon be idle would
do much better, the prompt is kept waiting.
"""

from collections.abc import Sequence
import dataclasses
import random

from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gangs
from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import prefill_plan
from ruddergate.decisions.routing import boundary
from ruddergate.decisions.routing import job as jobs
from ruddergate.settings import effective

# A long prompt waits while it would be late now but in time on engines that
# have become idle. It also waits rather than make others lose more than this
# (in answers to short prompts), but for no longer than this share of its SLO.
MAX_LOSS_WITHOUT_WAIT = 1.0
MAX_HOLD_SLO_SHARE = 0.3
# It also waits where a plan on the engines as they are costs more than one on
# idle engines by this much. Engines become idle in about this share of the SLO.
MIN_WAIT_GAIN = 3.0
IDLE_WAIT_SLO_SHARE = 0.15
# With less time to spare than this, a long prompt does not wait to spare
# streams being decoded.
MIN_SLACK_MS = 200.0
# Cost of an engine of another hall in a plan, in answers to short prompts.
OTHER_HALL_COST = 0.05
# Share of a prompt's value that each recently failed engine in a plan costs: an
# engine that fails the prompt costs a retry, and without one the prompt is
# refused.
RECENT_FAULT_RISK = 0.15


def make_plan(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    """Returns the cheapest plan, on the long region or on all engines.

    All engines are considered since a small pool has no separate region for
    long prompts, a large prompt may need the memory of more engines than the
    region has, and short segments cost nothing beside short answers.
    """
    candidates = _shuffle(job, candidates)
    long_ids = boundary.find_long_region(candidates, now_ms)
    region = [each for each in candidates if each.target.target_id in long_ids]
    plans = (
        _plan_on_engines(job, region, now_ms),
        _plan_on_engines(job, candidates, now_ms),
    )
    return min(
        (each for each in plans if each is not None),
        key=lambda each: each.cost,
        default=None,
    )


def _shuffle(
    job: jobs.Job, candidates: Sequence[estimates.Estimate]
) -> Sequence[estimates.Estimate]:
    """Returns the engines in a random order that is fixed for the job.

    Among equally good engines a plan takes the first ones. With the same order
    everywhere, VMs that plan within the time that digests take to arrive would
    choose the same engines.
    """
    ordered = list(candidates)
    random.Random(job.tie_break_seed).shuffle(ordered)
    return ordered


def should_wait(
    job: jobs.Job,
    plan: prefill_plan.Plan,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
) -> bool:
    """Returns whether a prompt should wait rather than be sent by its plan."""
    idle_plan = _plan_when_idle(job, candidates, now_ms)
    idle_wait_ms = IDLE_WAIT_SLO_SHARE * job.ttft_slo_ms
    if (
        idle_plan is not None
        and _is_late(job, plan.ttft_ms)
        and not _is_late(job, idle_wait_ms + idle_plan.ttft_ms)
    ):
        return True
    if job.waited_ms >= MAX_HOLD_SLO_SHARE * job.ttft_slo_ms:
        return False
    if plan.prefill_loss > MAX_LOSS_WITHOUT_WAIT:
        # It would have to wait for the other prompts in prefill anyway.
        return True
    if idle_plan is not None and plan.cost - idle_plan.cost > MIN_WAIT_GAIN:
        return True
    slack_ms = job.ttft_slo_ms * prefill_plan.LATE_SLO_RATIO
    slack_ms -= job.waited_ms + plan.ttft_ms
    return plan.decode_loss > MAX_LOSS_WITHOUT_WAIT and slack_ms > MIN_SLACK_MS


def _is_late(job: jobs.Job, ttft_ms: float) -> bool:
    """Returns whether a first token after this time would be too late."""
    return (
        job.waited_ms + ttft_ms > prefill_plan.LATE_SLO_RATIO * job.ttft_slo_ms
    )


def _plan_when_idle(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    """Returns a plan on the long region as if it had become idle."""
    long_ids = boundary.find_long_region(candidates, now_ms)
    idle_engines = [
        dataclasses.replace(
            _describe_engine(job, estimate, 0, now_ms),
            backlog_ms=0.0,
            decoding_streams=(0,) * gap_class.CLASSES,
            prefill_value=0.0,
        )
        for estimate in candidates
        if estimate.target.target_id in long_ids
    ]
    waited_ms = job.waited_ms + IDLE_WAIT_SLO_SHARE * job.ttft_slo_ms
    return _plan_with_described(
        dataclasses.replace(job, waited_ms=waited_ms),
        candidates[0].pool,
        idle_engines,
    )


def _plan_on_engines(
    job: jobs.Job, engines: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    if not engines:
        return None
    pool = engines[0].pool
    shares = gangs.split_memory(job.held_tokens, pool.memory_tokens)
    described_engines = [
        _describe_engine(job, estimate, shares[0], now_ms)
        for estimate in engines
    ]
    return _plan_with_described(job, pool, described_engines)


def _plan_with_described(
    job: jobs.Job, pool: effective.Pool, engines: Sequence[prefill_plan.Engine]
) -> prefill_plan.Plan | None:
    return prefill_plan.make_plan(
        costs.predict_prefill_ms(pool, job.prompt_tokens),
        job.prompt_tokens,
        job.ttft_slo_ms,
        job.waited_ms,
        engines,
        len(gangs.split_memory(job.held_tokens, pool.memory_tokens)),
        pool.gang_engines_max,
    )


def _describe_engine(
    job: jobs.Job,
    estimate: estimates.Estimate,
    share_tokens: int,
    now_ms: float,
) -> prefill_plan.Engine:
    free_tokens = estimate.free_tokens(now_ms)
    return prefill_plan.Engine(
        target_id=estimate.target.target_id,
        backlog_ms=estimate.remaining_prefill_ms(now_ms),
        decoding_streams=estimate.streams_by_gap_class(now_ms),
        has_room=share_tokens <= free_tokens
        or estimate.recent_streams(now_ms) == 0.0,
        prefill_value=_estimate_prefill_value(estimate, now_ms),
        extra_cost=_compute_extra_cost(job, estimate, now_ms),
        is_pinned=estimate.target.target_id == job.pinned_target_id,
        prefill_budgets_ms=gap_class.find_prefill_budgets_ms(estimate.pool),
    )


def _compute_extra_cost(
    job: jobs.Job, estimate: estimates.Estimate, now_ms: float
) -> float:
    cost = (
        OTHER_HALL_COST if jobs.is_in_other_hall(job, estimate.target) else 0.0
    )
    if estimate.has_failed_recently(now_ms):
        cost += RECENT_FAULT_RISK * prefill_plan.estimate_value(
            job.prompt_tokens
        )
    return cost


def _estimate_prefill_value(
    estimate: estimates.Estimate, now_ms: float
) -> float:
    band = estimate.longest_prefill_band(now_ms)
    if band is None:
        return 0.0
    return prefill_plan.estimate_value(length_band.TYPICAL_TOKENS[band])
