"""A target as published by the platform."""

import dataclasses

from ruddergate import environment
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An engine or a plain service.

    Attributes:
        target_id: Name.
        pool: Name of its pool in the settings tree.
        hall: Data hall.
        address: Where it serves requests.
        condition: Live or leaving.
        streams_max: Requests it works on at once; 0 when it does not tell.
        born_ms: When it started, see `incarnation.Incarnation`.
        sequence: Rises with each write of its entry within a life; it is no
            part of what the entry says.
    """

    target_id: str
    pool: str
    hall: str
    address: environment.Address
    condition: condition.Condition
    streams_max: int = 0
    started_ms: int = incarnations.START_UNKNOWN
    sequence: int = dataclasses.field(default=0, compare=False)

    @property
    def incarnation(self) -> incarnations.Incarnation:
        """The life that this entry is of."""
        return incarnations.Incarnation(self.target_id, self.started_ms)
