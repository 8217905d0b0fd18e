"""A VM's share of the fleet-wide limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of one workspace's limits that a VM may use.

    Attributes:
        workspace: The workspace.
        fraction: Share of the fleet-wide limit, from 0 to 1.
        valid_ms: Time for which the share may be used, from now.
    """

    workspace: str
    fraction: float
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """All shares of a VM.

    Attributes:
        base_fraction: Share for workspaces that `shares` does not list.
        shares: Shares that differ from the base.
    """

    base_fraction: float
    shares: tuple[Share, ...]
