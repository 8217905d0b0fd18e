"""A change in an engine's prefix cache."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix that an engine stored or evicted; published with a delay.

    Attributes:
        target_id: The engine.
        sequence: Position in the engine's event stream; a gap means that
            events were lost.
        prefix: Name of the prefix.
        tokens: Number of its tokens that are cached now; 0 once evicted.
    """

    target_id: str
    sequence: int
    prefix: str
    tokens: int
