"""What a VM has just found out of reach, as it tells its peers."""

import msgspec


class LossReport(msgspec.Struct, frozen=True, array_like=True):
    """Hints for placing work; no promise rests on them.

    Targets are named as `incarnation.format_incarnation` does it.

    Attributes:
        gone: Targets in whose place nobody or another one answered; that is so
            for whoever asks.
        silent: Targets from which nothing came back to this VM.
        halls: Data halls that seem cut off from this VM.
    """

    terminated: tuple[str, ...] = ()
    unresponsive: tuple[str, ...] = ()
    unreachable_halls: tuple[str, ...] = ()


EMPTY = LossReport()
