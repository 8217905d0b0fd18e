"""A target as the platform publishes it."""

import dataclasses

from ruddergate import environment
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An engine or a plain service.

    Attributes:
        target_id: Name.
        pool: Name of its pool in the settings.
        hall: Data hall.
        address: Where it accepts requests.
        condition: Live or draining.
        streams_max: Requests it processes at once; 0 if not reported.
        started_ms: When it started, see `incarnation.Incarnation`.
        sequence: Increases with each write of its entry within an
            incarnation; not compared, as it carries no information itself.
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
        """The incarnation that this entry describes."""
        return incarnations.Incarnation(self.target_id, self.started_ms)
