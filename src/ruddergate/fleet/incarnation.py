"""One life of a target, from a start to the next."""

import dataclasses

# Stands where a target does not tell when it started.
START_UNKNOWN = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """What is learnt of a target holds for one life of it.

    Attributes:
        target_id: The target. It may start again under the same name.
        born_ms: When it started, in Unix milliseconds by its own clock;
            BORN_UNKNOWN where targets do not tell. Then each start has
            another name.
    """

    target_id: str
    started_ms: int = START_UNKNOWN


def format_incarnation(incarnation: Incarnation) -> str:
    """Returns a life as one word, in digests and logs.

    Where the start is unknown it is the target's name, which is all that VMs of
    earlier releases tell and understand.
    """
    if incarnation.started_ms == START_UNKNOWN:
        return incarnation.target_id
    return f"{incarnation.target_id}@{incarnation.started_ms}"


def parse_incarnation(text: str) -> Incarnation:
    """Returns the life that `format_incarnation` wrote as a word."""
    target_id, separator, born = text.rpartition("@")
    if not separator or not born.isdecimal():
        return Incarnation(text)
    return Incarnation(target_id, int(born))
