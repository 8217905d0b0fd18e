"""A target as published by the platform."""

import dataclasses

from ruddergate import environment
from ruddergate.fleet import condition


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
    """

    target_id: str
    pool: str
    hall: str
    address: environment.Address
    condition: condition.Condition
    streams_max: int = 0
