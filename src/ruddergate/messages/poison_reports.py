"""Requests that may crash targets, as gateways report them to each other."""

import dataclasses

from ruddergate.fleet import incarnation as incarnations

# Age of a request that has never completed.
NEVER_COMPLETED = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation of a target that ended while it ran the request.

    Attributes:
        incarnation: The incarnation.
        age_ms: Time since it ended.
        weight: How much it counts as evidence, above 0 and at most 1.
    """

    incarnation: incarnations.Incarnation
    age_ms: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReport:
    """What a gateway knows about one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        ended: Incarnations that ended while they ran it.
        completed_age_ms: Time since the request last completed;
            NEVER_COMPLETED if it never has.
    """

    fingerprint: str
    ended: tuple[EndedIncarnation, ...]
    completed_age_ms: float = NEVER_COMPLETED


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReports:
    """Requests that a gateway reports to a peer.

    Attributes:
        sender: Address at which the gateway receives datagrams (HOST:PORT).
        rows: The reports.
    """

    sender: str
    rows: tuple[PoisonReport, ...]
