"""An entry VM as the platform publishes it."""

import dataclasses

from ruddergate import environment
from ruddergate.fleet import condition


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM.

    Attributes:
        vm_id: Name; a VM that replaces this one may keep it.
        hall: Data hall.
        entry: Address at which its entry serves callers.
        entry_peer: Address at which its entry serves other entries.
        agent_peer: Address at which its agent serves other agents.
        condition: Live or draining.
    """

    vm_id: str
    hall: str
    entry: environment.Address
    entry_peer: environment.Address
    agent_peer: environment.Address
    condition: condition.Condition
