"""A change in an engine's prefix cache."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix stored or evicted, as published late by an engine.

    Attributes:
        target_id: The engine.
        number: Position in the engine's stream of events; gaps show losses.
        prefix: Name of the prefix.
        tokens: Tokens of it now cached; 0 when evicted.
    """

    target_id: str
    sequence: int
    prefix: str
    tokens: int
