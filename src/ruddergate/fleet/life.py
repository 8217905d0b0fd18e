"""One life of a target, from a start to the next."""

import dataclasses

# Stands where a target does not tell when it started.
BORN_UNKNOWN = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Life:
    """What is learnt of a target holds for one life of it.

    Attributes:
        target_id: The target. It may start again under the same name.
        born_ms: When it started, in Unix milliseconds by its own clock;
            BORN_UNKNOWN where targets do not tell. Then each start has
            another name.
    """

    target_id: str
    born_ms: int = BORN_UNKNOWN
