"""What a VM itself has on a target, attempt by attempt and in sums."""

import dataclasses

from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band


@dataclasses.dataclass(slots=True)
class OwnWork:
    """One attempt of this VM on a target.

    Attributes:
        fresh_tokens: Prompt tokens to prefill.
        held_tokens: Memory it takes up.
        sent_ms: When it was dispatched.
        band: Band of the prompt's length.
        prefill_ms: Predicted time of the engine for the fresh tokens.
        is_long: Whether its prefill holds up the answers beside it.
        gap_class: Class of the pause that its answer bears.
        is_writing: Whether the answer is written here; else this target only
            reads part of the prompt.
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
    """Sums over own work, kept so that a decision need not add them up."""

    open_tokens: list[int] = dataclasses.field(
        default_factory=lambda: [0] * length_band.BANDS
    )
    all_open_tokens: int = 0
    held_tokens: int = 0
    streams: int = 0

    def add(
        self, band: int, open_tokens: int, held_tokens: int, streams: int
    ) -> None:
        """Adds work, or takes it out by numbers below 0."""
        self.open_tokens[band] += open_tokens
        self.all_open_tokens += open_tokens
        self.held_tokens += held_tokens
        self.streams += streams
