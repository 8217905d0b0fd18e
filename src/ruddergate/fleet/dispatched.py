"""What one VM has running on one target."""

import msgspec


class Dispatched(msgspec.Struct, frozen=True, array_like=True):
    """Work that a VM has given to a target and not yet seen the end of.

    Attributes:
        target_id: The target.
        pending_tokens: Prompt tokens whose first token has not come yet, by
            band of the prompt's length.
        held_tokens: Memory that the work takes up, in tokens.
        streams: Requests in flight.
        streams_by_pause: The requests by class of the pause that their
            answers bear, see decisions/gap_class.py.
        prefill_ms: Predicted rest of their prefills on the target.
    """

    target_id: str
    pending_tokens: tuple[int, ...]
    held_tokens: int
    streams: int
    streams_by_pause: tuple[int, ...] = ()
    prefill_ms: float = 0.0

    @property
    def all_pending_tokens(self) -> int:
        """Pending tokens of all bands."""
        return sum(self.pending_tokens)
