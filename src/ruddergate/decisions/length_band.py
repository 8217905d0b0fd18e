"""Bands of prompt length; engines are asked to prefill shorter bands first."""

_BOUNDS_TOKENS = (4_096, 16_384, 65_536, 262_144)
BANDS = len(_BOUNDS_TOKENS) + 1
# Prompts from this band on count as long.
LONG_BAND = 3
# A usual length in each band.
TYPICAL_TOKENS = (2_000, 8_000, 32_000, 130_000, 350_000)


def find_band(prompt_tokens: int) -> int:
    """Returns the band of a length, 0 for the shortest."""
    return sum(prompt_tokens > bound for bound in _BOUNDS_TOKENS)


def is_long(prompt_tokens: int) -> bool:
    """Returns whether a prompt counts as long."""
    return find_band(prompt_tokens) >= LONG_BAND
