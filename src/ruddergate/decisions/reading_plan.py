"""On which engines a long prompt is read, and what that does to others.

An engine works in passes. While answers are written there, a pass holds all
that is read meanwhile, so a piece of a long prompt shows up as one pause in
each of these answers. A plan weighs the first token of the prompt against the
answers that its pieces would make late.
"""

from collections.abc import Sequence
import dataclasses

# A pass without anything to read, from the published steps (46 of about 1 ms).
PASS_MS = 55.0
# Longest reading in a pass that answers bear: their routes' pauses (200 ms for
# short prompts, 500 ms and more for others), less a pass and a margin.
SHORT_BEARS_MS = 130.0
LONG_BEARS_MS = 420.0
# What an answer is worth, in that of a short prompt's answer. Worth grows with
# the prompt's length, but more slowly.
LONG_ANSWER_WORTH = 3.0
WORTH_EXPONENT = 0.75
SHORT_PROMPT_TOKENS = 5_000.0
# Part of an answer's worth that is lost when it is late.
LATE_LOSS = 0.75
# From a piece's end to the first token at the caller: the last pass and the
# engines' start at different moments.
START_MS = 150.0
# What each engine taking part costs besides, so that none does for nothing.
ENGINE_COST = 0.01
# Cost of a second until the first token, so that faster is better.
SECOND_COST = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that could read a piece.

    Attributes:
        target_id: Its name.
        rest_ms: Predicted rest of what it has to read already.
        short_answers: Answers to short prompts under way there.
        long_answers: Other answers under way there.
        has_room: Whether its memory takes the answer's part.
    """

    target_id: str
    rest_ms: float
    short_answers: float
    long_answers: float
    has_room: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Engines that read a prompt in even pieces.

    Attributes:
        engines: Their names; the first one writes the answer.
        first_ms: Predicted time from now to the first token.
        harm: Worth lost by others.
        cost: Worth lost by all, with the prompt's own.
    """

    engines: tuple[str, ...]
    first_ms: float
    harm: float
    cost: float


def make_plan(
    whole_ms: float,
    prompt_tokens: int,
    left_ms: float,
    engines: Sequence[Engine],
    parts_least: int,
    parts_most: int,
) -> Plan | None:
    """Returns the plan that costs least, or None if there is none.

    Args:
        whole_ms: Time that one idle engine would read for.
        prompt_tokens: Length of the prompt.
        left_ms: Time left within which its first token is in time.
        engines: Engines to choose from.
        parts_least: Least number of engines, for their memory.
        parts_most: Most engines that can read one prompt.
    """
    best: Plan | None = None
    most = min(parts_most, len(engines))
    for parts in range(max(1, parts_least), most + 1):
        found = _plan_parts(whole_ms, prompt_tokens, left_ms, engines, parts)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _plan_parts(
    whole_ms: float,
    prompt_tokens: int,
    left_ms: float,
    engines: Sequence[Engine],
    parts: int,
) -> Plan | None:
    piece_ms = whole_ms / parts
    ranked = sorted(
        engines,
        key=lambda each: (_find_harm(each, piece_ms), each.rest_ms),
    )
    chosen = ranked[:parts]
    writers = [each for each in chosen if each.has_room]
    if not writers:
        return None
    writer = min(writers, key=_count_answers)
    harm = sum(_find_harm(each, piece_ms) for each in chosen)
    rest_ms = max(each.rest_ms for each in chosen)
    first_ms = rest_ms + piece_ms + START_MS
    cost = harm + parts * ENGINE_COST + first_ms / 1000.0 * SECOND_COST
    if first_ms > left_ms:
        cost += LATE_LOSS * find_worth(prompt_tokens)
    others = [each.target_id for each in chosen if each is not writer]
    return Plan((writer.target_id, *others), first_ms, harm, cost)


def _find_harm(engine: Engine, piece_ms: float) -> float:
    """Returns the worth that a piece makes late on an engine."""
    reading_ms = engine.rest_ms + piece_ms
    harm = 0.0
    if reading_ms > SHORT_BEARS_MS:
        harm += engine.short_answers * LATE_LOSS
    if reading_ms > LONG_BEARS_MS:
        harm += engine.long_answers * LONG_ANSWER_WORTH * LATE_LOSS
    return harm


def _count_answers(engine: Engine) -> float:
    return engine.short_answers + engine.long_answers


def find_worth(prompt_tokens: int) -> float:
    """Returns about what an answer to a prompt of that length is worth."""
    return (prompt_tokens / SHORT_PROMPT_TOKENS) ** WORTH_EXPONENT
