"""The work that one VM has in flight on one target."""

import msgspec


class Dispatched(msgspec.Struct, frozen=True, array_like=True):
    """Work that a VM has sent to a target and that has not ended yet.

    Attributes:
        target_id: The target.
        pending_tokens: Prompt tokens of requests that are still waiting for
            their first output token, by prompt length band.
        held_tokens: Memory that the work occupies, in tokens.
        streams: Requests in flight whose answers the target decodes.
        streams_by_gap_class: The same requests, by the class of the longest gap
            that their answers tolerate, see decisions/gap_class.py.
        prefill_ms: Predicted remaining prefill time on the target.
    """

    target_id: str
    pending_tokens: tuple[int, ...]
    held_tokens: int
    streams: int
    streams_by_gap_class: tuple[int, ...] = ()
    prefill_ms: float = 0.0

    @property
    def all_pending_tokens(self) -> int:
        """Pending tokens of all bands."""
        return sum(self.pending_tokens)
