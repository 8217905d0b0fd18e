"""Attempts that this VM has open on a target, singly and in sums."""

import dataclasses

from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band


@dataclasses.dataclass(slots=True)
class OwnWork:
    """One open attempt of this VM on a target.

    Attributes:
        uncached_tokens: Prompt tokens to prefill.
        held_tokens: Memory that it holds, in tokens.
        sent_ms: When it was dispatched.
        band: Length band of the prompt.
        prefill_ms: Predicted engine time for the uncached tokens.
        is_long: Whether its prefill delays streams decoded beside it.
        gap_class: Gap class of its answer.
        is_decoding: Whether this target decodes the answer; otherwise it only
            prefills part of the prompt.
        has_first_token: Whether its prefill has ended.
    """

    uncached_tokens: int
    held_tokens: int
    sent_ms: float
    band: int
    prefill_ms: float = 0.0
    is_long: bool = False
    gap_class: int = gap_class.CLASSES - 1
    is_decoding: bool = True
    has_first_token: bool = False


@dataclasses.dataclass(slots=True)
class Totals:
    """Running sums over the open attempts, so that decisions need no loop.

    Attributes:
        open_tokens: Tokens whose prefill has not ended, by length band.
        all_open_tokens: Sum of `open_tokens`.
        held_tokens: Memory held, in tokens.
        streams: Number of attempts.
    """

    open_tokens: list[int] = dataclasses.field(
        default_factory=lambda: [0] * length_band.BANDS
    )
    all_open_tokens: int = 0
    held_tokens: int = 0
    streams: int = 0

    def add(
        self, band: int, open_tokens: int, held_tokens: int, streams: int
    ) -> None:
        """Adds to the sums; negative numbers subtract."""
        self.open_tokens[band] += open_tokens
        self.all_open_tokens += open_tokens
        self.held_tokens += held_tokens
        self.streams += streams
