"""Writes log lines without ever holding up whoever logs.

A thread of its own writes what stands in a bounded line-up. What does not fit,
because the reader of the output is slow or because too much is logged at once,
is left out and counted.
"""

import collections
import threading
import time
from typing import TextIO

import orjson

# Lines that wait to be written; some 300 bytes each.
MAX_QUEUED_LINES = 2_000
# Lines a second over a longer time, and lines at once: ten times what a VM logs
# at the sites of today (about 40 a second in a burst).
LINES_PER_S = 400.0
LINES_BURST = 1_200.0
# A process that ends waits so long for its last lines.
_FLUSH_TIMEOUT_S = 0.3
_WRITE_INTERVAL_S = 0.05


class LineWriter:
    """Takes lines from one thread and writes them in another.

    Attributes:
        left_out: Lines that were not written, in all.
    """

    def __init__(self, sink: TextIO) -> None:
        self.dropped = 0
        self._sink = sink
        self._queue: collections.deque[str] = collections.deque()
        self._wake = threading.Event()
        self._tokens = LINES_BURST
        self._refilled_at_s = time.monotonic()
        self._reported_dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Takes a line, or leaves it out; never waits."""
        if len(self._queue) >= MAX_QUEUED_LINES or not self._take_token():
            self.dropped += 1
            return
        self._queue.append(line)
        self._wake.set()

    def flush(self) -> None:
        """Waits a moment for what stands in the line-up."""
        until_s = time.monotonic() + _FLUSH_TIMEOUT_S
        while self._queue and time.monotonic() < until_s:
            self._wake.set()
            time.sleep(0.005)

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._refilled_at_s) * LINES_PER_S
        self._tokens = min(LINES_BURST, self._tokens + earned)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            if self.dropped > self._reported_dropped:
                lines.append(self._render_dropped())
            try:
                self._sink.write("".join(lines))
                self._sink.flush()
            except (OSError, ValueError):
                # Nobody reads any more; the lines count as left out.
                self.dropped += len(lines)
            time.sleep(_WRITE_INTERVAL_S)

    def _render_dropped(self) -> str:
        self._reported_dropped = self.dropped
        document = {"event": "Log lines left out.", "part": "log"}
        return (
            orjson.dumps({**document, "count": self._reported_dropped}).decode()
            + "\n"
        )
