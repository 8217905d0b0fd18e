"""On which engines a long prompt is read, and what that does to others.

An engine works in passes. While answers are written there, a pass holds all
that is read meanwhile, so a piece of a long prompt shows up as one pause in
each of these answers. A plan weighs the first token of the prompt against the
answers that its pieces would make late.
"""

from collections.abc import Sequence
import dataclasses

from ruddergate.decisions import pause_class

# Worth grows with a prompt's length, but more slowly; a prompt of the short
# length here is worth as much as an answer of the first class of pauses.
WORTH_EXPONENT = 0.75
SHORT_PROMPT_TOKENS = 5_000.0
# Part of an answer's worth that is lost when it is late.
LATE_LOSS = 0.75
# Part of the aim up to which a plan is certain to be in time, and from which on
# it is late: predictions err by up to a factor of two, mostly to the late side.
SAFE_AIMS = 0.25
LATE_AIMS = 0.95
# A route without an aim is taken to have this one.
AIM_LEAST_MS = 1.0
# From a piece's end to the first token at the caller: the last pass and the
# engines' start at different moments.
START_MS = 150.0
# Callers give a stream up that has not begun after four times its aim. Some of
# that is left for what a prediction does not know.
GIVE_UP_AIMS = 3.0
# What each engine taking part costs besides, so that none does for nothing.
ENGINE_COST = 0.01
# A piece that joins an engine goes ahead of what is being read there: a prompt
# of 280,000 tokens, due in 1 s, got its first token after 9 s when two of its
# nine engines were given pieces of 8 s. A delay of this length makes the other
# prompt late for certain.
READER_SLACK_MS = 1_000.0
# A piece that is longer blocks its engine for prompts to come, and costs this
# for each second beyond.
PIECE_MS = 500.0
BLOCKED_COST_PER_S = 0.5


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
    rest_ms: float
    answers: tuple[int, ...]
    has_room: bool
    reader_worth: float = 0.0
    extra_cost: float = 0.0
    is_pinned: bool = False
    bears_ms: tuple[float, ...] = pause_class.BEARS_MS


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
    first_ms: float
    harm: float
    reader_harm: float
    cost: float


def make_plan(
    whole_ms: float,
    prompt_tokens: int,
    aim_ms: float,
    waited_ms: float,
    engines: Sequence[Engine],
    holders_needed: int,
    parts_most: int,
) -> Plan | None:
    """Returns the plan that costs least, or None if there is none.

    Args:
        whole_ms: Time that one idle engine would read for.
        prompt_tokens: Length of the prompt.
        aim_ms: Time to its first token within which it is in time.
        waited_ms: How much of that has passed.
        engines: Engines to choose from.
        holders_needed: Engines whose memory the prompt takes.
        parts_most: Most engines that can read one prompt.
    """
    best: Plan | None = None
    most = min(parts_most, len(engines))
    for parts in range(holders_needed, most + 1):
        found = _plan_parts(
            whole_ms,
            prompt_tokens,
            aim_ms,
            waited_ms,
            engines,
            holders_needed,
            parts,
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _plan_parts(
    whole_ms: float,
    prompt_tokens: int,
    aim_ms: float,
    waited_ms: float,
    engines: Sequence[Engine],
    holders_needed: int,
    parts: int,
) -> Plan | None:
    piece_ms = whole_ms / parts
    ranked = sorted(
        engines,
        key=lambda each: (
            not each.is_pinned,
            _find_harm(each, piece_ms)
            + _find_reader_harm(each, piece_ms)
            + each.extra_cost,
            each.rest_ms,
        ),
    )
    holders = [each for each in ranked if each.has_room][:holders_needed]
    if len(holders) < holders_needed:
        return None
    others = [each for each in ranked if each not in holders]
    chosen = [*holders, *others[: parts - holders_needed]]
    writer = min(
        holders, key=lambda each: (not each.is_pinned, _count_answers(each))
    )
    harm = sum(_find_harm(each, piece_ms) for each in chosen)
    rest_ms = max(each.rest_ms for each in chosen)
    first_ms = rest_ms + piece_ms + START_MS
    # A prompt that several of these engines read is late but once.
    reader_harm = max(_find_reader_harm(each, piece_ms) for each in chosen)
    blocked_s = max(0.0, piece_ms - PIECE_MS) / 1000.0
    cost = harm + reader_harm + parts * ENGINE_COST
    cost += sum(each.extra_cost for each in chosen)
    cost += parts * blocked_s * BLOCKED_COST_PER_S
    worth = find_worth(prompt_tokens)
    aims = (waited_ms + first_ms) / max(AIM_LEAST_MS, aim_ms)
    cost += _find_late_risk(aims) * LATE_LOSS * worth
    if aims > GIVE_UP_AIMS:
        cost += (1.0 - LATE_LOSS) * worth
    rest = [each.target_id for each in chosen if each is not writer]
    return Plan((writer.target_id, *rest), first_ms, harm, reader_harm, cost)


def _find_late_risk(aims: float) -> float:
    """Returns the chance that a first token predicted so is late."""
    risk = (aims - SAFE_AIMS) / (LATE_AIMS - SAFE_AIMS)
    return min(1.0, max(0.0, risk))


def _find_harm(engine: Engine, piece_ms: float) -> float:
    """Returns the worth that a piece makes late on an engine."""
    reading_ms = engine.rest_ms + piece_ms
    harm = 0.0
    for class_, count in enumerate(engine.answers):
        if reading_ms > engine.bears_ms[class_]:
            harm += count * pause_class.WORTH[class_] * LATE_LOSS
    return harm


def _find_reader_harm(engine: Engine, piece_ms: float) -> float:
    """Returns the worth that a piece makes late of what an engine reads."""
    risk = min(1.0, piece_ms / READER_SLACK_MS)
    return engine.reader_worth * LATE_LOSS * risk


def _count_answers(engine: Engine) -> int:
    return sum(engine.answers)


def find_worth(prompt_tokens: int) -> float:
    """Returns about what an answer to a prompt of that length is worth."""
    return (prompt_tokens / SHORT_PROMPT_TOKENS) ** WORTH_EXPONENT
