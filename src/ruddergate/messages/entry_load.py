"""An entry's own load, as reported to its agent."""

import dataclasses

from ruddergate.fleet import dispatched


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Recent demand of one workspace on this VM.

    Attributes:
        workspace: The workspace.
        fraction: Share of the fleet-wide limit that the demand would use.
    """

    workspace: str
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLoad:
    """An entry's work in flight on targets and its demand by workspace.

    Attributes:
        dispatched: Work in flight, by target.
        demand: Recent demand; only workspaces that have any.
        stopping: Whether the entry is shutting down as planned.
    """

    dispatched: tuple[dispatched.Dispatched, ...]
    demand: tuple[Demand, ...]
    stopping: bool
