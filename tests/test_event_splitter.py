"""Streams are split at the ends of events, however the bytes arrive."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from ruddergate.relay import event_splitter

_EVENTS = b"".join(
    f"id: {number}\ndata: a\ndata: b\n\n".encode() for number in range(1, 9)
)


class EventSplitterTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(_EVENTS)), max_size=12)
    )
    def test_any_split_of_the_bytes_gives_the_same_events(
        self, cuts: list[int]
    ) -> None:
        splitter = event_splitter.EventSplitter()
        offsets = [0, *sorted(cuts), len(_EVENTS)]
        whole = b""
        for first, last in zip(offsets, offsets[1:], strict=False):
            events = splitter.feed(_EVENTS[first:last])
            if events is not None:
                whole += events.data
                self.assertTrue(events.data.endswith(b"\n\n"))
                self.assertEqual(
                    events.last_event_id, str(whole.count(b"\n\n"))
                )
        self.assertEqual(whole, _EVENTS)
        self.assertTrue(splitter.is_between_events())

    def test_incomplete_event_is_held_back(self) -> None:
        splitter = event_splitter.EventSplitter()
        events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual(events.data, b"id: 1\ndata: a\n\n")
        self.assertEqual(events.last_event_id, "1")
        self.assertFalse(splitter.is_between_events())

    # Each piece was joined with all that was buffered, so a long event in
    # small pieces took the square of its length.
    def test_work_is_linear_in_the_length_of_an_event(self) -> None:
        splitter = event_splitter.EventSplitter()
        piece = b"x" * 16
        began_s = time.process_time()
        for _ in range(event_splitter.MAX_EVENT_BYTES // len(piece)):
            self.assertIsNone(splitter.feed(piece))
        self.assertFalse(splitter.is_too_long())
        self.assertIsNone(splitter.feed(piece))
        self.assertTrue(splitter.is_too_long())
        self.assertLess(time.process_time() - began_s, 2.0)
