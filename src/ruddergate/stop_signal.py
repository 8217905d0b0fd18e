"""The signal that begins a planned stop, and how long ago it may have come.

A process that is suspended when the signal comes handles it as it resumes. The
time until it is killed has been running since the signal, which the process
can't observe; but it knows when it last ran before.
"""

import asyncio


class StopSignal(asyncio.Event):
    """An event that is set by a signal.

    Attributes:
        earliest_ms: Monotonic time after which the signal came; None before
            it, or if the process did not note until when it was running.
    """

    def __init__(self) -> None:
        super().__init__()
        self.earliest_ms: float | None = None
        self._awake_ms: float | None = None
        self._previous_ms: float | None = None
        self._has_come = False

    def note_awake(self, now_ms: float) -> None:
        """Records that the process is running and has noticed no signal.

        To be called each 50 ms or so.
        """
        self._previous_ms = self._awake_ms
        self._awake_ms = now_ms

    def note_signal(self) -> None:
        """Records that the signal has come."""
        if not self._has_come:
            self._has_come = True
            # Not the last one: as a process resumes, a thread may take its
            # signal while another one already runs.
            self.earliest_ms = self._previous_ms

    def set(self) -> None:
        """Begins the planned stop."""
        self.note_signal()
        super().set()
