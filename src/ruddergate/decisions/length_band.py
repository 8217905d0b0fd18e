"""Bands of prompt length; engines are asked to prefill shorter bands first."""

_BOUNDS_TOKENS = (4_096, 16_384, 65_536, 262_144)
BANDS = len(_BOUNDS_TOKENS) + 1
# Prompts of this band and above count as long.
LONG_BAND = 3
# Typical prompt length in each band.
TYPICAL_TOKENS = (2_000, 8_000, 32_000, 130_000, 350_000)


def find_band(prompt_tokens: int) -> int:
    """Returns the band of a prompt length; 0 holds the shortest."""
    return sum(prompt_tokens > bound for bound in _BOUNDS_TOKENS)


def is_long(prompt_tokens: int) -> bool:
    """Returns whether a prompt of this length counts as long."""
    return find_band(prompt_tokens) >= LONG_BAND
