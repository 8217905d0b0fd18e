"""What gateways tell each other of contents under which targets ended."""

import dataclasses

from ruddergate.fleet import incarnation as incarnations

# Age that stands for a content that never ran to its end.
NEVER_FINISHED = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """A life of a target that ended while it had a call of the content.

    Attributes:
        life: The life.
        age_ms: How long ago it ended.
        weight: How much that counts, see `suspicion.find_weight`.
    """

    incarnation: incarnations.Incarnation
    age_ms: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReport:
    """What a gateway knows of one content.

    Attributes:
        content: Name of the content.
        ended: Lives that ended under it.
        finished_age_ms: How long ago a call of it last ran to its end;
            NEVER_FINISHED for never.
    """

    fingerprint: str
    ended: tuple[EndedIncarnation, ...]
    finished_age_ms: float = NEVER_FINISHED


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReports:
    """Contents that a gateway tells a peer of.

    Attributes:
        sender: Where the gateway takes datagrams (HOST:PORT).
        rows: The contents.
    """

    sender: str
    rows: tuple[PoisonReport, ...]
