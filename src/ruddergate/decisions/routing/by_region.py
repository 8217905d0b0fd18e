"""Keeps long prefills and short prompts on different engines.

An engine works in passes: while it writes answers, one pass holds whatever it
prefills meanwhile, so a long prefill delays each event of the answers beside
it. All VMs rank the engines of a pool alike, by a hash of their names, and
without a message between them short prompts fill the ranking from its front
and long ones from its back. Long prompts are read by several engines, each in
a piece short enough for what runs beside it. See docs/design/platform.md.
"""

from collections.abc import Sequence
import math
import random
import zlib

from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gangs
from ruddergate.decisions.routing import job as jobs
from ruddergate.decisions.routing import policy as policies
from ruddergate.settings import effective

# Prompts from here on are read apart from short ones: at the published figures
# (256 tokens a ms) they hold a pass up for longer than a short prompt's pause.
LONG_TOKENS = 16_384
# Streams that an engine of the front region is to have: enough places are left
# for chance, and a pass stays short.
SHORT_STREAMS = 5.0
# Engines that either region keeps, whatever the other one needs.
REGION_LEAST = 3
# Longest piece of a prompt that one engine is to read: with a pass of its own
# work it stays under the pause that an answer of a middling prompt bears
# beside it (500 ms), also when the piece meets a short prompt.
PIECE_MS = 300.0
# An engine with less than this to read may take a piece: two pieces in one
# pass would be longer than what the answers beside them bear.
FREE_MS = 60.0
# Part of the wanted engines with which a long prompt starts at once, and part
# of its aim after which it starts with whatever has least to read.
START_PART = 0.7
HOLD_AIM_PART = 0.3
# What one more stream beside it costs a stream, from the time of a step.
STREAM_MS = 8.0
# Taking a place that is not free means waiting for an answer to end.
FULL_MS = 200.0
# Going to an engine of the other region, as a cost that load must outweigh.
SHORT_SPILL_MS = 60.0
LONG_SPILL_MS = 2_000.0
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
    long_ids = _find_long_region(candidates, now_ms)
    open_ = candidates
    if _is_long(job):
        open_ = _find_free(candidates, long_ids, now_ms)
        wanted = _count_parts(job, candidates[0].pool)
        is_patient = job.waited_ms < HOLD_AIM_PART * job.aim_ms
        if is_patient and len(open_) < START_PART * min(wanted, len(long_ids)):
            return None
        if not is_patient:
            open_ = _find_least_reading(candidates, long_ids, wanted, now_ms)
    scored = [
        (_score_ms(job, each, each.target.target_id in long_ids, now_ms), each)
        for each in open_
    ]
    best_ms = min(score_ms for score_ms, _ in scored)
    near = [each for score_ms, each in scored if score_ms <= best_ms + SAME_MS]
    return chance.choice(near)


def _choose_helpers(
    job: jobs.Job,
    chosen: estimates.Estimate,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    chance: random.Random,
) -> Sequence[estimates.Estimate]:
    if not _is_long(job):
        return ()
    long_ids = _find_long_region(candidates, now_ms)
    wanted = _count_parts(job, chosen.pool)
    open_ = _find_free(candidates, long_ids, now_ms)
    if len(open_) < wanted and job.waited_ms >= HOLD_AIM_PART * job.aim_ms:
        open_ = _find_least_reading(candidates, long_ids, wanted, now_ms)
    others = [each for each in open_ if each is not chosen]
    others.sort(
        key=lambda each: (
            _score_ms(job, each, True, now_ms) + chance.uniform(0.0, SAME_MS)
        )
    )
    return others[: wanted - 1]


def _count_parts(job: jobs.Job, pool: effective.Pool) -> int:
    """Returns on how many engines the prompt is best read."""
    whole_ms = costs.predict_prefill_ms(pool, job.prompt_tokens)
    return min(pool.gang_engines_max, max(1, math.ceil(whole_ms / PIECE_MS)))


def _find_free(
    candidates: Sequence[estimates.Estimate],
    long_ids: frozenset[str],
    now_ms: float,
) -> Sequence[estimates.Estimate]:
    """Returns the engines for long prompts that have hardly any to read."""
    return [
        each
        for each in candidates
        if each.target.target_id in long_ids
        and each.prefilling_ms(now_ms) <= FREE_MS
    ]


def _find_least_reading(
    candidates: Sequence[estimates.Estimate],
    long_ids: frozenset[str],
    count: int,
    now_ms: float,
) -> Sequence[estimates.Estimate]:
    """Returns so many engines for long prompts, those with least to read."""
    found = [each for each in candidates if each.target.target_id in long_ids]
    found.sort(key=lambda each: each.prefilling_ms(now_ms))
    return found[:count]


def _is_long(job: jobs.Job) -> bool:
    return job.prompt_tokens >= LONG_TOKENS


def _find_long_region(
    candidates: Sequence[estimates.Estimate], now_ms: float
) -> frozenset[str]:
    """Returns the engines at the back that short prompts do not need now."""
    ranked = sorted(
        (each.target.target_id for each in candidates), key=_rank_of
    )
    streams = sum(each.short_streams(now_ms) for each in candidates)
    needed = math.ceil(streams / SHORT_STREAMS) + 1
    least = min(REGION_LEAST, len(ranked) // 2)
    needed = max(least, min(len(ranked) - least, needed))
    return frozenset(ranked[needed:])


def _rank_of(target_id: str) -> int:
    return zlib.crc32(target_id.encode())


def _score_ms(
    job: jobs.Job,
    each: estimates.Estimate,
    in_long_region: bool,
    now_ms: float,
) -> float:
    """Returns what this engine would cost the job, in milliseconds."""
    streams = each.recent_streams(now_ms)
    score_ms = each.prefilling_ms(now_ms) + streams * STREAM_MS
    if each.target.streams_max:
        over = streams + 1.0 - each.target.streams_max
        score_ms += max(0.0, over) * FULL_MS
    room = each.pool.memory_tokens * MEMORY_USE_MAX - each.held_tokens(now_ms)
    share = gangs.split_memory(job.held_tokens, each.pool.memory_tokens)[0]
    if share > room:
        score_ms += NO_ROOM_MS
    if _is_long(job) and not in_long_region:
        score_ms += LONG_SPILL_MS
    if not _is_long(job) and in_long_region:
        score_ms += SHORT_SPILL_MS
    return score_ms
