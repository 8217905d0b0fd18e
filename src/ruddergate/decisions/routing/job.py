"""A request as a routing policy sees it."""

import dataclasses
import math

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """What matters for where a request runs.

    Attributes:
        prompt_tokens: Length of its prompt.
        held_tokens: Memory it will take up.
        prefix: Name of its shared prefix, or empty.
        prefix_tokens: Length of the shared prefix.
        is_long: Whether it counts as a long prompt.
        waited_ms: How long it has waited here.
        aim_ms: Time to the first token within which it is in time; 0 when no
            aim is known.
        pause_aim_ms: Longest pause between two events of its answer within
            which it is in time; infinite when no pause matters.
        is_blind: Whether nothing is known of peers yet.
        home_hall: Data hall of this VM, or empty.
        pinned_target: The target that is to write the answer, or empty.
        salt: A number of its own, by which targets that are as good as each
            other are put in order.
        is_suspect: Whether a target has ended under what it asks for.
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
    """Returns whether a target is in another hall than the job's VM."""
    return bool(job.local_hall) and target.hall != job.local_hall
