"""What may crash targets, as gateways report it to each other."""

import dataclasses

from ruddergate.fleet import incarnation as incarnations

# Age of what has never happened.
NEVER = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation of a target that ended while it ran the request.

    Attributes:
        incarnation: The incarnation.
        age_ms: Time since it ended.
        weight: How much it counts as evidence, above 0 and at most 1.
        since_sent_ms: How long before its end the request had been sent to it.
    """

    incarnation: incarnations.Incarnation
    age_ms: float
    weight: float
    since_sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReport:
    """What a gateway knows about requests with one fingerprint.

    Attributes:
        fingerprint: Fingerprint of their content or of a part of their prompts.
        ended: Incarnations that ended while they ran such a request.
        completed_age_ms: Time since such a request last proved harmless; NEVER
            if none has.
        trial_age_ms: Time since such a request was last sent as a trial; NEVER
            if none was.
    """

    fingerprint: str
    ended: tuple[EndedIncarnation, ...]
    completed_age_ms: float = NEVER
    trial_age_ms: float = NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonReports:
    """Fingerprints that a gateway reports to a peer.

    Attributes:
        sender: Address at which the gateway receives datagrams (HOST:PORT).
        rows: The reports.
    """

    sender: str
    rows: tuple[PoisonReport, ...]
