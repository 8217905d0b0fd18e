"""Divides prompts that exceed one engine's memory among several engines."""

import dataclasses
import math

# Share of an engine's memory that a gang leaves to other requests.
FREE_MEMORY_SHARE = 0.1
# Largest share of an engine's memory that one part of a prompt may take, as
# other requests run there too.
MAX_SEGMENT_SHARE = 0.55


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Part of a prompt that one engine of a gang prefills and holds.

    Attributes:
        first_token: Position of its first token.
        tokens: Its length.
        held_tokens: Memory to reserve for it, in tokens.
    """

    first_token: int
    tokens: int
    held_tokens: int


def needs_gang(
    prompt_tokens: int, output_tokens: int, memory_tokens: int
) -> bool:
    """Returns whether a request does not fit into one engine."""
    return prompt_tokens + output_tokens > memory_tokens


def plan_segments(
    prompt_tokens: int,
    output_tokens: int,
    memory_tokens: int,
    engines_max: int,
) -> tuple[Segment, ...] | None:
    """Returns even segments, or None if more than `engines_max` are needed.

    The engine of the last segment also holds the answer.
    """
    usable_tokens = int(memory_tokens * (1.0 - FREE_MEMORY_SHARE))
    total_tokens = prompt_tokens + output_tokens
    count = max(2, math.ceil(total_tokens / usable_tokens))
    if count > engines_max or count > prompt_tokens:
        return None
    tokens_per_engine = math.ceil(total_tokens / count)
    segments = []
    first_token = 0
    for index in range(count):
        is_last = index == count - 1
        tokens = prompt_tokens - first_token if is_last else tokens_per_engine
        held_tokens = tokens + output_tokens if is_last else tokens
        segments.append(Segment(first_token, tokens, held_tokens))
        first_token += tokens
    if segments[-1].tokens <= 0:
        return None
    return tuple(segments)


def count_engines(held_tokens: int, memory_tokens: int) -> int:
    """Returns how many engines a request needs for its memory.

    A request that fits one engine, with memory left for others, stays whole.
    """
    if held_tokens <= memory_tokens * (1.0 - FREE_MEMORY_SHARE):
        return 1
    return math.ceil(held_tokens / (memory_tokens * MAX_SEGMENT_SHARE))


def split_memory(held_tokens: int, memory_tokens: int) -> tuple[int, ...]:
    """Returns the memory that each engine of a gang holds, evenly divided."""
    count = count_engines(held_tokens, memory_tokens)
    if count == 1:
        return (held_tokens,)
    tokens_per_engine = math.ceil(held_tokens / count)
    return (tokens_per_engine,) * count
