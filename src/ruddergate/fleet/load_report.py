"""Load as reported by a target itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target last reported.

    Attributes:
        target_id: The target.
        generation: Incarnation of the target; changes when it restarts.
        running: Streams or calls in progress.
        waiting_tokens: Prompt tokens accepted but not yet prefilled.
        held_tokens: Memory in use, in tokens.
        draining: Whether the target reports that it accepts no new work.
        age_ms: Age of the report when it was read.
        started_ms: Start time of the reporting incarnation, see
            `incarnation.Incarnation`.
    """

    target_id: str
    generation: str
    running: int
    waiting_tokens: int
    held_tokens: int
    draining: bool
    age_ms: float
    started_ms: int = 0
