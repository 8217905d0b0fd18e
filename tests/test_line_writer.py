"""Logging never blocks its callers, and dropped lines are counted."""

import io
import os
import time
import unittest

from ruddergate.telemetry import line_writer

_MAX_CHARACTERS = 2_000_000


class LineWriterTest(unittest.TestCase):
    def test_slow_reader_does_not_block_writers(self) -> None:
        read_end, write_end = os.pipe()
        sink = os.fdopen(write_end, "w")
        writer = line_writer.LineWriter(sink)
        line = "x" * 1_000 + "\n"
        count = line_writer.MAX_QUEUED_LINES + 500
        started_s = time.process_time()
        for _ in range(count):
            writer.write(line)
        self.assertLess(time.process_time() - started_s, 1.0)
        self.assertGreaterEqual(writer.dropped, 500)
        os.close(read_end)

    def test_lines_over_the_rate_limit_are_counted(self) -> None:
        sink = io.StringIO()
        writer = line_writer.LineWriter(sink)
        for number in range(int(line_writer.LINES_BURST) + 50):
            writer.write(f"{number}\n")
        self.assertGreaterEqual(writer.dropped, 40)
        writer.flush()

    def test_long_lines_are_bounded_together(self) -> None:
        # Callers choose the names in lines, up to the length of a head.
        read_end, write_end = os.pipe()
        writer = line_writer.LineWriter(os.fdopen(write_end, "w"))
        line = "x" * 16_000 + "\n"
        count = 4 * _MAX_CHARACTERS // len(line)
        for _ in range(count):
            writer.write(line)
        # As many as may wait are being written, and as many again wait.
        self.assertGreaterEqual(writer.dropped, count // 4)
        os.close(read_end)
