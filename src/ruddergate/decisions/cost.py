"""Predicts the resources that a request will use."""

import dataclasses

from ruddergate.decisions import gap_class
from ruddergate.settings import effective

# Number of streams that an engine decodes together in about the time of one.
TYPICAL_BATCH = 32.0
_MILLION = 1_000_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Predicted cost of one request.

    Attributes:
        prefill_ms: Engine time to prefill the tokens that are not cached.
        decode_ms: Time from first to last token.
        held_tokens: Memory held, in tokens.
        engine_ms: Use of an engine, as time of a whole engine: the larger of
            its share of the computing time and of the memory.
    """

    prefill_ms: float
    decode_ms: float
    held_tokens: int
    engine_ms: float

    @property
    def unloaded_ms(self) -> float:
        """Time to finish on an idle engine."""
        return self.prefill_ms + self.decode_ms


def predict_prefill_ms(pool: effective.Pool, tokens: int) -> float:
    """Returns how long one idle engine takes to prefill a number of tokens.

    Each token takes a constant time. Attention takes additional time for each
    pair of a token and an earlier one, which dominates in long prompts.
    """
    linear_ms = tokens * 1000.0 / pool.prefill_tokens_per_s
    pairs_m = tokens * tokens / 2.0 / _MILLION
    return linear_ms + pairs_m * pool.attention_ms_per_m_pairs


def is_long(pool: effective.Pool, tokens: int) -> bool:
    """Returns whether prefilling a prompt delays streams decoded beside it.

    Unlike `length_band.is_long`, this depends on the pool.
    """
    return (
        predict_prefill_ms(pool, tokens)
        > gap_class.find_prefill_budgets_ms(pool)[0]
    )


def predict(
    pool: effective.Pool,
    prompt_tokens: int,
    cached_tokens: int,
    output_tokens: int,
) -> Cost:
    """Returns the predicted cost of a prompt on one engine of the pool."""
    uncached_tokens = max(0, prompt_tokens - cached_tokens)
    prefill_ms = predict_prefill_ms(pool, uncached_tokens)
    decode_ms = output_tokens * pool.decode_ms_per_token
    held_tokens = prompt_tokens + output_tokens
    computing_ms = prefill_ms + decode_ms / TYPICAL_BATCH
    memory_share = held_tokens / pool.memory_tokens
    memory_ms = memory_share * (prefill_ms + decode_ms)
    return Cost(
        prefill_ms, decode_ms, held_tokens, max(computing_ms, memory_ms)
    )
