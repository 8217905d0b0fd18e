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


def format_life(life: Life) -> str:
    """Returns a life as one word, in digests and logs.

    Where the start is unknown it is the target's name, which is all that VMs of
    earlier releases tell and understand.
    """
    if life.born_ms == BORN_UNKNOWN:
        return life.target_id
    return f"{life.target_id}@{life.born_ms}"


def parse_life(text: str) -> Life:
    """Returns the life that `format_life` wrote as a word."""
    target_id, separator, born = text.rpartition("@")
    if not separator or not born.isdecimal():
        return Life(text)
    return Life(target_id, int(born))
