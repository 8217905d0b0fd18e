"""Identifies one run of a target, from its start to its end."""

import dataclasses

# Start time of a target that does not report one.
START_UNKNOWN = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of a target; what is learned about a target applies only to it.

    Attributes:
        target_id: The target. It may start again under the same name.
        started_ms: When it started, in Unix milliseconds by its own clock;
            START_UNKNOWN if targets do not report it. In that case every start
            has a new name.
    """

    target_id: str
    started_ms: int = START_UNKNOWN


def format_incarnation(incarnation: Incarnation) -> str:
    """Returns an incarnation as one string, for digests and logs.

    If the start time is unknown, it is the target's name, which is all that VMs
    of earlier releases send and understand.
    """
    if incarnation.started_ms == START_UNKNOWN:
        return incarnation.target_id
    return f"{incarnation.target_id}@{incarnation.started_ms}"


def parse_incarnation(text: str) -> Incarnation:
    """Returns the incarnation that `format_incarnation` wrote."""
    target_id, separator, started = text.rpartition("@")
    if not separator or not started.isdecimal():
        return Incarnation(text)
    return Incarnation(target_id, int(started))
