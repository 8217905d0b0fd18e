"""Which engines read a long prompt, and whether it had better wait for them.

A plan weighs what its pieces do to answers under way and to other prompts that
are being read (decisions/reading_plan.py). Where engines that will soon be idle
would do much better, the prompt is kept waiting.
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

# A long prompt waits while it would be late now and could be in time on engines
# that have become idle. It also waits rather than cost others more than this
# (in answers to short prompts), but for no longer than this part of its aim.
MAX_LOSS_WITHOUT_WAIT = 1.0
MAX_HOLD_SLO_SHARE = 0.3
# It also waits where the plan at hand costs so much more than one on engines
# that have become idle, which takes about this part of its aim.
MIN_WAIT_GAIN = 3.0
IDLE_WAIT_SLO_SHARE = 0.15
# Without this much time to spare a long prompt waits no longer.
MIN_SLACK_MS = 200.0
# What it costs a long prompt, in answers to short ones, to have an engine of
# another hall take part.
OTHER_HALL_COST = 0.05
# Part of its worth that a prompt is taken to lose by having an engine take part
# that has failed lately: each that fails it costs a second send, and without
# one it is refused.
RECENT_FAULT_RISK = 0.15


def make_plan(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    """Returns the best plan in the long region, or else on all engines.

    A small pool has no region of its own for long prompts, a great prompt may
    need the memory of more engines than the region has, and short pieces do no
    harm beside short answers.
    """
    candidates = _shuffle(job, candidates)
    long_ids = boundary.find_long_region(candidates, now_ms)
    region = [each for each in candidates if each.target.target_id in long_ids]
    plans = (
        _plan_on(job, region, now_ms),
        _plan_on(job, candidates, now_ms),
    )
    return min(
        (each for each in plans if each is not None),
        key=lambda each: each.cost,
        default=None,
    )


def _shuffle(
    job: jobs.Job, candidates: Sequence[estimates.Estimate]
) -> Sequence[estimates.Estimate]:
    """Returns the engines in an order of the job's own.

    Of engines that are as good as each other a plan takes the first ones. In
    one order for all, VMs that plan within the time that digests take chose the
    same.
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
    """Returns whether a prompt is better kept waiting than sent by its plan."""
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
        # What is being read there would have to be waited for anyway.
        return True
    if idle_plan is not None and plan.cost - idle_plan.cost > MIN_WAIT_GAIN:
        return True
    slack_ms = job.ttft_slo_ms * prefill_plan.LATE_SLO_RATIO
    slack_ms -= job.waited_ms + plan.ttft_ms
    return plan.decode_loss > MAX_LOSS_WITHOUT_WAIT and slack_ms > MIN_SLACK_MS


def _is_late(job: jobs.Job, first_ms: float) -> bool:
    """Returns whether a first token in this time would come too late."""
    return (
        job.waited_ms + first_ms > prefill_plan.LATE_SLO_RATIO * job.ttft_slo_ms
    )


def _plan_when_idle(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    """Returns a plan on the long region when it has become idle."""
    long_ids = boundary.find_long_region(candidates, now_ms)
    idle = [
        dataclasses.replace(
            _describe_engine(job, each, 0, now_ms),
            backlog_ms=0.0,
            decoding_streams=(0,) * gap_class.CLASSES,
            prefill_value=0.0,
        )
        for each in candidates
        if each.target.target_id in long_ids
    ]
    waited_ms = job.waited_ms + IDLE_WAIT_SLO_SHARE * job.ttft_slo_ms
    return _plan_with(
        dataclasses.replace(job, waited_ms=waited_ms), candidates[0].pool, idle
    )


def _plan_on(
    job: jobs.Job, engines: Sequence[estimates.Estimate], now_ms: float
) -> prefill_plan.Plan | None:
    if not engines:
        return None
    pool = engines[0].pool
    shares = gangs.split_memory(job.held_tokens, pool.memory_tokens)
    described = [
        _describe_engine(job, each, shares[0], now_ms) for each in engines
    ]
    return _plan_with(job, pool, described)


def _plan_with(
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
    job: jobs.Job, each: estimates.Estimate, share_tokens: int, now_ms: float
) -> prefill_plan.Engine:
    room = each.free_tokens(now_ms)
    return prefill_plan.Engine(
        target_id=each.target.target_id,
        backlog_ms=each.remaining_prefill_ms(now_ms),
        decoding_streams=each.streams_by_gap_class(now_ms),
        has_room=share_tokens <= room or each.recent_streams(now_ms) == 0.0,
        prefill_value=_estimate_prefill_value(each, now_ms),
        extra_cost=_compute_extra_cost(job, each, now_ms),
        is_pinned=each.target.target_id == job.pinned_target_id,
        prefill_budgets_ms=gap_class.find_prefill_budgets_ms(each.pool),
    )


def _compute_extra_cost(
    job: jobs.Job, each: estimates.Estimate, now_ms: float
) -> float:
    cost = OTHER_HALL_COST if jobs.is_in_other_hall(job, each.target) else 0.0
    if each.has_failed_recently(now_ms):
        cost += RECENT_FAULT_RISK * prefill_plan.estimate_value(
            job.prompt_tokens
        )
    return cost


def _estimate_prefill_value(each: estimates.Estimate, now_ms: float) -> float:
    band = each.longest_prefill_band(now_ms)
    if band is None:
        return 0.0
    return prefill_plan.estimate_value(length_band.TYPICAL_TOKENS[band])
