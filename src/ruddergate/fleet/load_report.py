"""A target's account of its own load."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as a target last told it.

    Attributes:
        target_id: The target.
        generation: Incarnation of the target; changes when it restarts.
        running: Streams or calls being worked on.
        waiting_tokens: Prompt tokens taken in but not yet prefilled.
        held_tokens: Memory in use, in tokens.
        draining: Whether the target says that it takes no new work.
        age_ms: How old the account was when it was read.
        born_ms: The life that tells it, see `incarnation.Incarnation`.
    """

    target_id: str
    generation: str
    running: int
    waiting_tokens: int
    held_tokens: int
    draining: bool
    age_ms: float
    started_ms: int = 0
