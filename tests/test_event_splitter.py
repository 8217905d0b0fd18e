"""Streams are split at the ends of events, however the bytes arrive."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from ruddergate.relay import event_splitter

_EVENTS = b"".join(
    f"id: {number}\ndata: a\ndata: b\n\n".encode() for number in range(1, 9)
)


_LINE_ENDS = (b"\n", b"\r", b"\r\n")
_FIELDS = (
    b": a comment",
    b"retry: 100",
    b"id",
    b"id:",
    b"id: ",
    b"idle: 7",
    b"event: id",
    b"data: id: 3",
    b"data",
)


@strategies.composite
def _draw_stream(draw: strategies.DrawFn) -> tuple[bytes, list[str]]:
    """Draws a stream, and the place of a caller after each empty line."""
    line_end = draw(strategies.sampled_from(_LINE_ENDS))
    stream, place, places = b"", "", []
    for number in range(1, draw(strategies.integers(1, 5)) + 1):
        fields = draw(strategies.lists(strategies.sampled_from(_FIELDS)))
        if draw(strategies.booleans()):
            blank = draw(strategies.sampled_from((b"", b" ")))
            named = b"id:%b%d" % (blank, number)
            fields.insert(draw(strategies.integers(0, len(fields))), named)
            place = str(number)
        fields.append(b"data: x")
        stream += b"".join(each + line_end for each in fields) + line_end
        places.append(place)
    return stream, places


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

    # Events with CR or CRLF were held back to the end of the stream, and then
    # counted as broken off.
    @hypothesis.given(_draw_stream(), strategies.data())
    @hypothesis.settings(deadline=None)
    def test_any_line_ends_and_fields_give_the_place_of_the_caller(
        self, drawn: tuple[bytes, list[str]], data: strategies.DataObject
    ) -> None:
        stream, places = drawn
        cuts = data.draw(
            strategies.lists(strategies.integers(0, len(stream)), max_size=12)
        )
        splitter = event_splitter.EventSplitter()
        offsets = [0, *sorted(cuts), len(stream)]
        whole, place = b"", ""
        for first, last in zip(offsets, offsets[1:], strict=False):
            events = splitter.feed(stream[first:last])
            if events is not None:
                whole += events.data
                place = events.last_event_id
                self.assertEqual(place, places[whole.count(b"data: x") - 1])
        self.assertEqual(place, places[-1])
        rest = splitter.take_blank_rest()
        self.assertEqual(whole + (rest.data if rest else b""), stream)

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
