"""Keeps long prefills and short prompts on different engines.

All VMs rank the engines of each hall alike, by a hash of their names, and
without a message between them short prompts fill the ranking of their own hall
from its front and long ones all rankings from their backs. The boundary in a
hall follows the short prompts in flight there. A long
prompt is read by several engines, chosen by what its pieces do to the answers
under way there (decisions/reading_plan.py). See docs/design/platform.md.
"""

from collections.abc import Sequence
import dataclasses
import math
import random
import zlib

from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gangs
from ruddergate.decisions import length_band
from ruddergate.decisions import pause_class
from ruddergate.decisions import reading_plan
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies

# Part of an engine's places that the front region is to have taken: the rest is
# left for what VMs do not know of each other yet, and a pass stays short.
SHORT_FILL = 0.625
# Places of an engine that does not tell them.
PLACES_UNTOLD = 8
# Engines that either region of a hall keeps, whatever the other one needs.
REGION_LEAST = 1
# Engines in front of the boundary besides those that short prompts fill: for
# what VMs do not know of each other yet. With a whole one in each hall, long
# prompts had too few engines when there were many of them.
FRONT_SPARE = 0.25
# A long prompt waits while it would be late now and could be in time on engines
# that have become idle. It also waits rather than cost others more than this
# (in answers to short prompts), but for no longer than this part of its aim.
PATIENT_HARM = 1.0
HOLD_AIM_PART = 0.3
# It also waits where the plan at hand costs so much more than one on engines
# that have become idle, which takes about this part of its aim.
BETTER_COST = 3.0
IDLE_AIM_PART = 0.15
# Without this much time to spare a long prompt waits no longer.
SLACK_MS = 200.0
# What one more stream beside it costs a stream, from the time of a step.
STREAM_MS = 8.0
# Taking a place that is not free means waiting for an answer to end.
FULL_MS = 200.0
# Going to an engine for long prompts, as a cost that load must outweigh.
SPILL_MS = 60.0
# Going to another hall's engine, likewise: a cut between halls makes late what
# runs there. More than a place at home behind the boundary, less than waiting
# for one.
AWAY_MS = 100.0
# What it costs a long prompt, in answers to short ones, to have an engine of
# another hall take part.
AWAY_COST = 0.05
# What it costs each short answer there when a pass becomes too long for it.
LATE_MS = 40.0
# Memory that may be promised; the rest absorbs what peers send meanwhile.
MEMORY_USE_MAX = 0.95
# Without room the newest request is put off and read again.
NO_ROOM_MS = 1_000.0
# Scores this close are as good as equal; see by_length.
SAME_MS = 10.0


def make_by_region() -> policies.Policy:
    """Returns the policy; it keeps nothing between two decisions."""
    return policies.Policy(
        _choose, choose_helpers=_choose_helpers, splits_memory=True
    )


def _choose(
    job: jobs.Job,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    chance: random.Random,
) -> estimates.Estimate | None:
    if costs.is_long(candidates[0].pool, job.prompt_tokens):
        plan = _plan(job, candidates, now_ms)
        if plan is None or _had_better_wait(job, plan, candidates, now_ms):
            return None
        return _find(candidates, plan.engines[0])
    long_ids = frozenset()
    if not job.is_blind:
        # Without it, VMs that know nothing of each other yet would all fill
        # the same few engines.
        long_ids = _find_long_region(candidates, now_ms)
    free = [each for each in candidates if _has_place(each, now_ms)]
    if not free:
        return None
    scored = [
        (_score_ms(job, each, each.target.target_id in long_ids, now_ms), each)
        for each in free
    ]
    best_ms = min(score_ms for score_ms, _ in scored)
    near = [each for score_ms, each in scored if score_ms <= best_ms + SAME_MS]
    return chance.choice(near)


def _has_place(each: estimates.Estimate, now_ms: float) -> bool:
    """Returns whether a short prompt would not wait for a place there.

    Where all engines are full, it is better kept here: the next place that
    becomes free anywhere is nearer than that of any one engine.
    """
    most = each.target.streams_max
    return not most or each.recent_streams(now_ms) < most


def _choose_helpers(
    job: jobs.Job,
    chosen: estimates.Estimate,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    chance: random.Random,
) -> Sequence[estimates.Estimate]:
    if not costs.is_long(chosen.pool, job.prompt_tokens):
        return ()
    plan = _plan(job, candidates, now_ms)
    if plan is None:
        return ()
    return [_find(candidates, name) for name in plan.engines[1:]]


def _had_better_wait(
    job: jobs.Job,
    plan: reading_plan.Plan,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
) -> bool:
    later = _plan_later(job, candidates, now_ms)
    later_ms = IDLE_AIM_PART * job.aim_ms
    if (
        later is not None
        and _is_late(job, plan.first_ms)
        and not _is_late(job, later_ms + later.first_ms)
    ):
        return True
    if job.waited_ms >= HOLD_AIM_PART * job.aim_ms:
        return False
    if plan.reader_harm > PATIENT_HARM:
        # What is being read there would have to be waited for anyway.
        return True
    if later is not None and plan.cost - later.cost > BETTER_COST:
        return True
    slack_ms = job.aim_ms * reading_plan.LATE_AIMS
    slack_ms -= job.waited_ms + plan.first_ms
    return plan.harm > PATIENT_HARM and slack_ms > SLACK_MS


def _is_late(job: jobs.Job, first_ms: float) -> bool:
    """Returns whether a first token in this time would come too late."""
    return job.waited_ms + first_ms > reading_plan.LATE_AIMS * job.aim_ms


def _plan_later(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> reading_plan.Plan | None:
    """Returns a plan on the long region when it has become idle."""
    pool = candidates[0].pool
    long_ids = _find_long_region(candidates, now_ms)
    idle = [
        dataclasses.replace(
            _describe(job, each, 0, now_ms),
            rest_ms=0.0,
            answers=(0,) * pause_class.CLASSES,
            reader_worth=0.0,
        )
        for each in candidates
        if each.target.target_id in long_ids
    ]
    return reading_plan.make_plan(
        costs.predict_prefill_ms(pool, job.prompt_tokens),
        job.prompt_tokens,
        job.aim_ms,
        job.waited_ms + IDLE_AIM_PART * job.aim_ms,
        idle,
        len(gangs.split_memory(job.held_tokens, pool.memory_tokens)),
        pool.gang_engines_max,
    )


def _plan(
    job: jobs.Job, candidates: Sequence[estimates.Estimate], now_ms: float
) -> reading_plan.Plan | None:
    """Returns the best plan in the long region, or else on all engines.

    A small pool has no region of its own for long prompts, a great prompt may
    need the memory of more engines than the region has, and short pieces do no
    harm beside short answers.
    """
    long_ids = _find_long_region(candidates, now_ms)
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


def _plan_on(
    job: jobs.Job, engines: Sequence[estimates.Estimate], now_ms: float
) -> reading_plan.Plan | None:
    if not engines:
        return None
    pool = engines[0].pool
    shares = gangs.split_memory(job.held_tokens, pool.memory_tokens)
    return reading_plan.make_plan(
        costs.predict_prefill_ms(pool, job.prompt_tokens),
        job.prompt_tokens,
        job.aim_ms,
        job.waited_ms,
        [_describe(job, each, shares[0], now_ms) for each in engines],
        len(shares),
        pool.gang_engines_max,
    )


def _describe(
    job: jobs.Job, each: estimates.Estimate, share_tokens: int, now_ms: float
) -> reading_plan.Engine:
    room = each.pool.memory_tokens * MEMORY_USE_MAX - each.held_tokens(now_ms)
    return reading_plan.Engine(
        target_id=each.target.target_id,
        rest_ms=each.prefilling_ms(now_ms),
        answers=each.streams_by_pause(now_ms),
        has_room=share_tokens <= room or each.recent_streams(now_ms) == 0.0,
        reader_worth=_find_reader_worth(each, now_ms),
        extra_cost=AWAY_COST if _is_away(job, each) else 0.0,
        is_pinned=each.target.target_id == job.pinned_target,
        bears_ms=pause_class.bears_ms(each.pool),
    )


def _find_reader_worth(each: estimates.Estimate, now_ms: float) -> float:
    band = each.longest_band_in_reading(now_ms)
    if band is None:
        return 0.0
    return reading_plan.find_worth(length_band.TYPICAL_TOKENS[band])


def _find(
    candidates: Sequence[estimates.Estimate], target_id: str
) -> estimates.Estimate:
    return next(
        each for each in candidates if each.target.target_id == target_id
    )


def _find_long_region(
    candidates: Sequence[estimates.Estimate], now_ms: float
) -> frozenset[str]:
    """Returns the engines at the back that short prompts do not need now."""
    by_hall: dict[str, list[estimates.Estimate]] = {}
    for each in candidates:
        by_hall.setdefault(each.target.hall, []).append(each)
    found: list[str] = []
    for engines in by_hall.values():
        found += _find_long_region_of_hall(engines, now_ms)
    return frozenset(found)


def _find_long_region_of_hall(
    engines: Sequence[estimates.Estimate], now_ms: float
) -> Sequence[str]:
    ranked = sorted((each.target.target_id for each in engines), key=_rank_of)
    streams = sum(each.streams_by_pause(now_ms)[0] for each in engines)
    places = [each.target.streams_max or PLACES_UNTOLD for each in engines]
    fill = SHORT_FILL * sum(places) / len(places)
    needed = math.ceil(streams / fill + FRONT_SPARE)
    least = min(REGION_LEAST, len(ranked) // 2)
    needed = max(least, min(len(ranked) - least, needed))
    return ranked[needed:]


def _rank_of(target_id: str) -> int:
    return zlib.crc32(target_id.encode())


def _score_ms(
    job: jobs.Job,
    each: estimates.Estimate,
    in_long_region: bool,
    now_ms: float,
) -> float:
    """Returns what this engine would cost a short job, in milliseconds."""
    streams = each.recent_streams(now_ms)
    rest_ms = each.prefilling_ms(now_ms)
    own_ms = costs.predict_prefill_ms(each.pool, job.prompt_tokens)
    score_ms = rest_ms + streams * STREAM_MS
    if rest_ms + own_ms > pause_class.bears_ms(each.pool)[0]:
        score_ms += each.streams_by_pause(now_ms)[0] * LATE_MS
    if each.target.streams_max:
        over = streams + 1.0 - each.target.streams_max
        score_ms += max(0.0, over) * FULL_MS
    room = each.pool.memory_tokens * MEMORY_USE_MAX - each.held_tokens(now_ms)
    if job.held_tokens > room:
        score_ms += NO_ROOM_MS
    if in_long_region:
        score_ms += SPILL_MS
    if _is_away(job, each):
        score_ms += AWAY_MS
    return score_ms


def _is_away(job: jobs.Job, each: estimates.Estimate) -> bool:
    return bool(job.home_hall) and each.target.hall != job.home_hall
