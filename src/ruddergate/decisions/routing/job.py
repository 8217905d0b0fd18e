"""A request as a routing policy sees it."""

import dataclasses
import math

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """The properties of a request that decide where it runs.

    Attributes:
        prompt_tokens: Length of its prompt.
        held_tokens: Memory that it will hold, in tokens.
        prefix: Name of its shared prefix, or empty.
        prefix_tokens: Length of the shared prefix.
        is_long: Whether it is in one of the long bands, see `length_band`.
        waited_ms: How long it has waited on this VM.
        ttft_slo_ms: Longest time to first token that is in time; 0 when none is
            known.
        gap_slo_ms: Longest gap between two events of its answer that is in
            time; infinite when gaps do not matter.
        is_peer_load_unknown: Whether nothing is known of the peers' load yet.
        local_hall: Data hall of this VM, or empty.
        pinned_target_id: The target that must write the answer, or empty.
        tie_break_seed: Random number that orders equally good targets
            differently for each request.
        may_be_poison: Whether a target has crashed while it ran a request with
            this fingerprint.
    """

    prompt_tokens: int
    held_tokens: int
    prefix: str
    prefix_tokens: int
    is_long: bool
    waited_ms: float
    ttft_slo_ms: float = 0.0
    gap_slo_ms: float = math.inf
    is_peer_load_unknown: bool = False
    local_hall: str = ""
    pinned_target_id: str = ""
    tie_break_seed: int = 0
    may_be_poison: bool = False


def is_in_other_hall(job: Job, target: targets.Target) -> bool:
    """Returns whether a target is in another hall than this VM."""
    return bool(job.local_hall) and target.hall != job.local_hall
