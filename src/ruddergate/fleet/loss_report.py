"""Targets and data halls that a VM has just found unreachable."""

import msgspec


class LossReport(msgspec.Struct, frozen=True, array_like=True):
    """Losses that a VM reports to its peers.

    They are hints for placing requests; no guarantee depends on them. Targets
    are named in the format of `incarnation.format_incarnation`.

    Attributes:
        terminated: Targets whose address refuses connections or is served by
            another target.
        unresponsive: Targets from which this VM received nothing.
        unreachable_halls: Data halls that appear to be cut off from this VM.
    """

    terminated: tuple[str, ...] = ()
    unresponsive: tuple[str, ...] = ()
    unreachable_halls: tuple[str, ...] = ()


EMPTY = LossReport()
