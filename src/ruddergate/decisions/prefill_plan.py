"""On which engines a long prompt is read, and what that does to others.

An engine works in passes. While answers are written there, a pass holds all
that is read meanwhile, so a piece of a long prompt shows up as one pause in
each of these answers. A plan weighs the first token of the prompt against the
answers that its pieces would make late.
"""

from collections.abc import Sequence
import dataclasses

from ruddergate.decisions import gap_class

# Worth grows with a prompt's length, but more slowly; a prompt of the short
# length here is worth as much as an answer of the first class of pauses.
VALUE_EXPONENT = 0.75
REFERENCE_PROMPT_TOKENS = 5_000.0
# Part of an answer's worth that is lost when it is late.
LATE_LOSS_SHARE = 0.75
# Part of the aim up to which a plan is certain to be in time, and from which on
# it is late: predictions err by up to a factor of two, mostly to the late side.
ON_TIME_SLO_SHARE = 0.25
LATE_SLO_SHARE = 0.95
# A route without an aim is taken to have this one.
MIN_SLO_MS = 1.0
# From a piece's end to the first token at the caller: the last pass and the
# engines' start at different moments.
FIRST_TOKEN_DELAY_MS = 150.0
# Callers give a stream up that has not begun after four times its aim. Some of
# that is left for what a prediction does not know.
GIVE_UP_SLO_SHARE = 3.0
# What each engine taking part costs besides, so that none does for nothing.
ENGINE_COST = 0.01
# A piece that joins an engine goes ahead of what is being read there: a prompt
# of 280,000 tokens, due in 1 s, got its first token after 9 s when two of its
# nine engines were given pieces of 8 s. A delay of this length makes the other
# prompt late for certain.
MAX_PREFILL_DELAY_MS = 1_000.0
# A piece that is longer blocks its engine for prompts to come, and costs this
# for each second beyond.
UNPENALIZED_SEGMENT_MS = 500.0
BLOCKING_COST_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that could read a piece.

    Attributes:
        target_id: Its name.
        rest_ms: Predicted rest of what it has to read already.
        answers: Answers under way there, by class of the pause they bear.
        has_room: Whether its memory takes the answer's part.
        reader_worth: About what the longest prompt is worth that it reads.
        extra_cost: What its taking part costs for other reasons.
        bears_ms: What it may read in a pass beside answers, by class.
        is_pinned: Whether it is to write the answer, whatever that costs.
    """

    target_id: str
    backlog_ms: float
    decoding_streams: tuple[int, ...]
    has_room: bool
    prefill_value: float = 0.0
    extra_cost: float = 0.0
    is_pinned: bool = False
    prefill_budgets_ms: tuple[float, ...] = gap_class.DEFAULT_PREFILL_BUDGETS_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Engines that read a prompt in even pieces.

    Attributes:
        engines: Their names; the first one writes the answer, those behind it
            hold parts of the prompt if one engine's memory is too small.
        first_ms: Predicted time from now to the first token.
        harm: Worth lost by answers under way.
        reader_harm: Worth lost by prompts that are being read.
        cost: Worth lost by all, with the prompt's own.
    """

    engines: tuple[str, ...]
    ttft_ms: float
    decode_loss: float
    prefill_loss: float
    cost: float


def make_plan(
    prefill_ms: float,
    prompt_tokens: int,
    ttft_slo_ms: float,
    waited_ms: float,
    engines: Sequence[Engine],
    min_holders: int,
    max_parts: int,
) -> Plan | None:
    """Returns the plan that costs least, or None if there is none.

    Args:
        prefill_ms: Time that one idle engine would read for.
        prompt_tokens: Length of the prompt.
        ttft_slo_ms: Time to its first token within which it is in time.
        waited_ms: How much of that has passed.
        engines: Engines to choose from.
        min_holders: Engines whose memory the prompt takes.
        max_parts: Most engines that can read one prompt.
    """
    best: Plan | None = None
    limit = min(max_parts, len(engines))
    for parts in range(min_holders, limit + 1):
        found = _plan_with_parts(
            prefill_ms,
            prompt_tokens,
            ttft_slo_ms,
            waited_ms,
            engines,
            min_holders,
            parts,
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _plan_with_parts(
    prefill_ms: float,
    prompt_tokens: int,
    ttft_slo_ms: float,
    waited_ms: float,
    engines: Sequence[Engine],
    min_holders: int,
    parts: int,
) -> Plan | None:
    segment_ms = prefill_ms / parts
    ranked = sorted(
        engines,
        key=lambda each: (
            not each.is_pinned,
            _estimate_decode_loss(each, segment_ms)
            + _estimate_prefill_loss(each, segment_ms)
            + each.extra_cost,
            each.backlog_ms,
        ),
    )
    holders = [each for each in ranked if each.has_room][:min_holders]
    if len(holders) < min_holders:
        return None
    others = [each for each in ranked if each not in holders]
    chosen = [*holders, *others[: parts - min_holders]]
    writer = min(
        holders,
        key=lambda each: (not each.is_pinned, _count_decoding_streams(each)),
    )
    decode_loss = sum(
        _estimate_decode_loss(each, segment_ms) for each in chosen
    )
    backlog_ms = max(each.backlog_ms for each in chosen)
    ttft_ms = backlog_ms + segment_ms + FIRST_TOKEN_DELAY_MS
    # A prompt that several of these engines read is late but once.
    prefill_loss = max(
        _estimate_prefill_loss(each, segment_ms) for each in chosen
    )
    blocking_s = max(0.0, segment_ms - UNPENALIZED_SEGMENT_MS) / 1000.0
    cost = decode_loss + prefill_loss + parts * ENGINE_COST
    cost += sum(each.extra_cost for each in chosen)
    cost += parts * blocking_s * BLOCKING_COST_PER_S
    value = estimate_value(prompt_tokens)
    slo_share = (waited_ms + ttft_ms) / max(MIN_SLO_MS, ttft_slo_ms)
    cost += _estimate_late_risk(slo_share) * LATE_LOSS_SHARE * value
    if slo_share > GIVE_UP_SLO_SHARE:
        cost += (1.0 - LATE_LOSS_SHARE) * value
    rest = [each.target_id for each in chosen if each is not writer]
    return Plan(
        (writer.target_id, *rest), ttft_ms, decode_loss, prefill_loss, cost
    )


def _estimate_late_risk(slo_share: float) -> float:
    """Returns the chance that a first token predicted so is late."""
    risk = (slo_share - ON_TIME_SLO_SHARE) / (
        LATE_SLO_SHARE - ON_TIME_SLO_SHARE
    )
    return min(1.0, max(0.0, risk))


def _estimate_decode_loss(engine: Engine, segment_ms: float) -> float:
    """Returns the worth that a piece makes late on an engine."""
    total_prefill_ms = engine.backlog_ms + segment_ms
    decode_loss = 0.0
    for class_, count in enumerate(engine.decoding_streams):
        if total_prefill_ms > engine.prefill_budgets_ms[class_]:
            decode_loss += count * gap_class.VALUES[class_] * LATE_LOSS_SHARE
    return decode_loss


def _estimate_prefill_loss(engine: Engine, segment_ms: float) -> float:
    """Returns the worth that a piece makes late of what an engine reads."""
    risk = min(1.0, segment_ms / MAX_PREFILL_DELAY_MS)
    return engine.prefill_value * LATE_LOSS_SHARE * risk


def _count_decoding_streams(engine: Engine) -> int:
    return sum(engine.decoding_streams)


def estimate_value(prompt_tokens: int) -> float:
    """Returns about what an answer to a prompt of that length is worth."""
    return (prompt_tokens / REFERENCE_PROMPT_TOKENS) ** VALUE_EXPONENT
