"""Writes log lines without ever blocking the thread that logs.

A background thread writes the lines of a bounded queue. Lines are dropped and
counted when the queue is full, because the reader of the output is slow, or
when they exceed the rate limit.
"""

import collections
import threading
import time
from typing import TextIO

import orjson

# Longest queue; a line takes about 300 bytes, or as much as a caller's names.
MAX_QUEUED_LINES = 2_000
MAX_QUEUED_CHARACTERS = 2_000_000
# Token bucket: lines per second on average, and lines in a burst. A VM at the
# current sites logs about 40 lines per second in a burst, a tenth of this rate.
LINES_PER_S = 400.0
LINES_BURST = 1_200.0
# Longest wait for the last lines when the process exits.
_FLUSH_TIMEOUT_S = 0.3
# Pause between two writes, so that lines are written in batches.
_WRITE_INTERVAL_S = 0.05


class LineWriter:
    """Accepts lines in one thread and writes them in another.

    Attributes:
        dropped: Total number of lines that were not written.
    """

    def __init__(self, sink: TextIO) -> None:
        self.dropped = 0
        self._sink = sink
        self._queue: collections.deque[str] = collections.deque()
        # Characters queued and taken from the queue, in total: each is changed
        # by one thread only.
        self._queued_characters = 0
        self._taken_characters = 0
        self._wake = threading.Event()
        self._tokens = LINES_BURST
        self._refilled_at_s = time.monotonic()
        self._reported_dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queues a line, or drops it; never blocks."""
        if not self._has_room(line) or not self._take_token():
            self.dropped += 1
            return
        self._queue.append(line)
        self._queued_characters += len(line)
        self._wake.set()

    def flush(self) -> None:
        """Waits for the queue to empty, for at most `_FLUSH_TIMEOUT_S`."""
        until_s = time.monotonic() + _FLUSH_TIMEOUT_S
        while self._queue and time.monotonic() < until_s:
            self._wake.set()
            time.sleep(0.005)

    def _has_room(self, line: str) -> bool:
        waiting = self._queued_characters - self._taken_characters
        return (
            len(self._queue) < MAX_QUEUED_LINES
            and waiting + len(line) <= MAX_QUEUED_CHARACTERS
        )

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
                self._taken_characters += len(lines[-1])
            if self.dropped > self._reported_dropped:
                lines.append(self._render_dropped())
            try:
                self._sink.write("".join(lines))
                self._sink.flush()
            except (OSError, ValueError):
                # The reader has closed the output; the lines count as dropped.
                self.dropped += len(lines)
            time.sleep(_WRITE_INTERVAL_S)

    def _render_dropped(self) -> str:
        self._reported_dropped = self.dropped
        document = {"event": "Log lines dropped.", "part": "log"}
        return (
            orjson.dumps({**document, "count": self._reported_dropped}).decode()
            + "\n"
        )
