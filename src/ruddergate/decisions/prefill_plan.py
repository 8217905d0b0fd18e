"""Plans which engines prefill a long prompt, and what that costs others.

A prompt is split into even segments, one for each engine that takes part. An
engine works in batch iterations: an iteration that decodes streams also
prefills all that is waiting, so a segment of a long prompt appears as one gap
in each of these streams. A plan weighs the prompt's time to first token against
the answers that its segments would make late.

Values, losses and costs are in answers of the first gap class.
"""

from collections.abc import Sequence
import dataclasses

from ruddergate.decisions import gap_class

# The value of a prompt grows more slowly than its length; one of the reference
# length is worth as much as an answer of the first gap class.
VALUE_EXPONENT = 0.75
REFERENCE_PROMPT_TOKENS = 5_000.0
# Share of an answer's value that is lost when it is late.
LATE_LOSS_SHARE = 0.75
# Ratio of predicted time to SLO up to which a plan counts as certainly in time,
# and from which it counts as late: predictions err by up to a factor of two,
# mostly by being too short.
ON_TIME_SLO_RATIO = 0.25
LATE_SLO_RATIO = 0.95
# SLO assumed for a route that has none.
MIN_SLO_MS = 1.0
# Time from the predicted end of the prefill to the first token at the caller:
# the last batch iteration, and engines that start at different moments.
FIRST_TOKEN_DELAY_MS = 150.0
# Callers abandon a stream that has not begun after four times its SLO. The
# difference is a margin for errors of the prediction.
GIVE_UP_SLO_RATIO = 3.0
# Cost of each engine that takes part, so that none does without a benefit.
ENGINE_COST = 0.01
# A new segment goes ahead of the prompts that its engine is prefilling: a
# prompt of 280,000 tokens with 1 s left got its first token after 9 s because
# two of its nine engines were given segments of 8 s. A delay of this length
# certainly makes the other prompt late.
MAX_PREFILL_DELAY_MS = 1_000.0
# A longer segment blocks its engine for prompts that arrive later, at this cost
# for each second above the limit.
UNPENALIZED_SEGMENT_MS = 500.0
BLOCKING_COST_PER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that could prefill a segment.

    Attributes:
        target_id: Name of the engine.
        backlog_ms: Predicted remaining time of its current prefills.
        decoding_streams: Streams that it decodes, by gap class.
        has_room: Whether its memory can hold a share of the request.
        prefill_value: Approximate value of the longest prompt in prefill there.
        extra_cost: Cost of its taking part for other reasons.
        is_pinned: Whether it must decode the answer, whatever that costs.
        prefill_budgets_ms: Longest prefill in one batch iteration that streams
            decoded beside it tolerate, by gap class.
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
    """Engines that prefill a prompt in even segments.

    Attributes:
        engines: Names of the engines. The first one decodes the answer; the
            next ones hold parts of the prompt if one engine's memory is too
            small.
        ttft_ms: Predicted time from now to the first token.
        decode_loss: Value lost by streams being decoded.
        prefill_loss: Value lost by other prompts in prefill.
        cost: Value lost in all, the prompt's own included.
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
    """Returns the plan of the lowest cost, or None if there is none.

    Args:
        prefill_ms: Time that one idle engine needs for the whole prefill.
        prompt_tokens: Length of the prompt.
        ttft_slo_ms: Longest time to first token that is in time.
        waited_ms: How much of that time has passed.
        engines: Engines to choose from.
        min_holders: Number of engines whose memory the request needs.
        max_parts: Most engines that can prefill one prompt.
    """
    best: Plan | None = None
    limit = min(max_parts, len(engines))
    for parts in range(min_holders, limit + 1):
        plan = _plan_with_parts(
            prefill_ms,
            prompt_tokens,
            ttft_slo_ms,
            waited_ms,
            engines,
            min_holders,
            parts,
        )
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
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
        key=lambda engine: (
            not engine.is_pinned,
            _estimate_decode_loss(engine, segment_ms)
            + _estimate_prefill_loss(engine, segment_ms)
            + engine.extra_cost,
            engine.backlog_ms,
        ),
    )
    holders = [engine for engine in ranked if engine.has_room][:min_holders]
    if len(holders) < min_holders:
        return None
    others = [engine for engine in ranked if engine not in holders]
    chosen = [*holders, *others[: parts - min_holders]]
    decode_engine = min(
        holders,
        key=lambda engine: (
            not engine.is_pinned,
            _count_decoding_streams(engine),
        ),
    )
    decode_loss = sum(
        _estimate_decode_loss(engine, segment_ms) for engine in chosen
    )
    backlog_ms = max(engine.backlog_ms for engine in chosen)
    ttft_ms = backlog_ms + segment_ms + FIRST_TOKEN_DELAY_MS
    # A prompt in prefill on several of these engines is late only once.
    prefill_loss = max(
        _estimate_prefill_loss(engine, segment_ms) for engine in chosen
    )
    blocking_s = max(0.0, segment_ms - UNPENALIZED_SEGMENT_MS) / 1000.0
    cost = decode_loss + prefill_loss + parts * ENGINE_COST
    cost += sum(engine.extra_cost for engine in chosen)
    cost += parts * blocking_s * BLOCKING_COST_PER_S
    value = estimate_value(prompt_tokens)
    slo_ratio = (waited_ms + ttft_ms) / max(MIN_SLO_MS, ttft_slo_ms)
    cost += _estimate_late_risk(slo_ratio) * LATE_LOSS_SHARE * value
    if slo_ratio > GIVE_UP_SLO_RATIO:
        cost += (1.0 - LATE_LOSS_SHARE) * value
    other_ids = [
        engine.target_id for engine in chosen if engine is not decode_engine
    ]
    return Plan(
        (decode_engine.target_id, *other_ids),
        ttft_ms,
        decode_loss,
        prefill_loss,
        cost,
    )


def _estimate_late_risk(slo_ratio: float) -> float:
    """Returns the probability that the first token is late.

    Args:
        slo_ratio: Predicted time to first token, as a ratio of the SLO.
    """
    risk = (slo_ratio - ON_TIME_SLO_RATIO) / (
        LATE_SLO_RATIO - ON_TIME_SLO_RATIO
    )
    return min(1.0, max(0.0, risk))


def _estimate_decode_loss(engine: Engine, segment_ms: float) -> float:
    """Returns the value that a segment costs the streams of an engine."""
    total_prefill_ms = engine.backlog_ms + segment_ms
    decode_loss = 0.0
    for class_, count in enumerate(engine.decoding_streams):
        if total_prefill_ms > engine.prefill_budgets_ms[class_]:
            decode_loss += count * gap_class.VALUES[class_] * LATE_LOSS_SHARE
    return decode_loss


def _estimate_prefill_loss(engine: Engine, segment_ms: float) -> float:
    """Returns the value that a segment costs prefills of an engine."""
    risk = min(1.0, segment_ms / MAX_PREFILL_DELAY_MS)
    return engine.prefill_value * LATE_LOSS_SHARE * risk


def _count_decoding_streams(engine: Engine) -> int:
    return sum(engine.decoding_streams)


def estimate_value(prompt_tokens: int) -> float:
    """Returns the approximate value of an answer to a prompt."""
    return (prompt_tokens / REFERENCE_PROMPT_TOKENS) ** VALUE_EXPONENT
