"""Engine streams with late, duplicate, out-of-order or truncated events.

Also covers events that belong to another stream.
"""

import asyncio
import collections
import time
import unittest

import orjson

from ruddergate import outcomes
from ruddergate.adapters.engines import stream
from ruddergate.adapters.engines import stream_event


class _Exchange:
    """An HTTP exchange whose body consists of prepared pieces."""

    def __init__(self, *pieces: bytes) -> None:
        self._pieces = collections.deque(pieces)

    async def read_chunk(self) -> bytes:
        return self._pieces.popleft() if self._pieces else b""

    def close(self) -> None:
        """Does nothing."""


def _encode_event(**fields: object) -> bytes:
    return b"data: " + orjson.dumps({"stream": "s", **fields}) + b"\n\n"


def _read_events(*pieces: bytes, position: int = 0) -> list:
    async def read() -> list:
        exchange = _Exchange(*pieces)
        engine_stream = stream.Stream(exchange, "s", position, None, 1_000.0)
        events = []
        while True:
            event = await engine_stream.next_event(lambda: 5_000.0)
            events.append(event)
            if not isinstance(event, stream_event.Tokens):
                return events

    return asyncio.run(read())


def _collect_texts(events: list) -> list[str]:
    return [
        text
        for event in events
        if isinstance(event, stream_event.Tokens)
        for text in event.texts
    ]


class StreamTest(unittest.TestCase):
    def test_whole_response(self) -> None:
        events = _read_events(
            _encode_event(first=0, tokens=["a", "b"]),
            b": alive\n\n",
            _encode_event(first=2, tokens=["c"])
            + _encode_event(end="stop", count=3),
        )
        self.assertEqual(_collect_texts(events), ["a", "b", "c"])
        self.assertEqual(events[-1], stream_event.End("stop", 3))

    def test_events_split_at_any_byte(self) -> None:
        data = _encode_event(first=0, tokens=["a"]) + _encode_event(
            end="stop", count=1
        )
        events = _read_events(*(data[n : n + 1] for n in range(len(data))))
        self.assertEqual(_collect_texts(events), ["a"])
        self.assertIsInstance(events[-1], stream_event.End)

    def test_duplicate_tokens_are_dropped(self) -> None:
        events = _read_events(
            _encode_event(first=0, tokens=["a", "b"]),
            _encode_event(first=0, tokens=["a", "b"]),
            _encode_event(first=1, tokens=["b", "c"]),
            _encode_event(end="stop", count=3),
        )
        self.assertEqual(_collect_texts(events), ["a", "b", "c"])

    def test_resumed_stream_skips_delivered_tokens(self) -> None:
        events = _read_events(
            _encode_event(first=1, tokens=["b", "c", "d"]),
            _encode_event(end="stop", count=4),
            position=2,
        )
        self.assertEqual(_collect_texts(events), ["c", "d"])

    def test_event_that_does_not_belong_ends_the_stream(self) -> None:
        wrong = {
            "a gap": _encode_event(first=3, tokens=["x"]),
            "another stream": _encode_event(stream="t", first=0, tokens=["x"]),
            "not JSON": b"data: {\n\n",
            "no text": _encode_event(first=0, tokens=[1]),
            "an end too early": _encode_event(end="stop", count=9),
        }
        for name, piece in wrong.items():
            with self.subTest(name):
                events = _read_events(
                    _encode_event(first=0, tokens=["a"]), piece
                )
                self.assertEqual(_collect_texts(events), ["a"])
                self.assertIs(
                    events[-1].reason, outcomes.Reason.TARGET_BROKE_PROTOCOL
                )

    # Each piece was joined with all that was buffered, without a bound.
    def test_event_without_end(self) -> None:
        piece = b"x" * 16
        pieces = [piece] * (2 * stream.MAX_EVENT_BYTES // len(piece))
        began_s = time.process_time()
        events = _read_events(b"data: ", *pieces)
        self.assertIs(events[-1].reason, outcomes.Reason.RESPONSE_TOO_LARGE)
        self.assertIs(events[-1].ran, outcomes.Ran.UNKNOWN)
        self.assertLess(time.process_time() - began_s, 10.0)

    def test_truncated_stream_is_a_lost_target(self) -> None:
        events = _read_events(_encode_event(first=0, tokens=["a"]))
        self.assertIs(events[-1].reason, outcomes.Reason.TARGET_LOST)
        self.assertIsNot(events[-1].ran, outcomes.Ran.NOT_RUN)

    def test_keep_alive_comments_do_not_extend_the_time_limit(self) -> None:
        left_ms = [3_000.0, 2_000.0, 1_000.0, 0.0]

        class Endless(_Exchange):
            async def read_chunk(self) -> bytes:
                await asyncio.sleep(0)
                return b": alive\n\n"

        async def read() -> object:
            engine_stream = stream.Stream(Endless(), "s", 0, None, 1_000.0)
            return await engine_stream.next_event(
                lambda: left_ms.pop(0) if len(left_ms) > 1 else left_ms[0]
            )

        ended = asyncio.run(read())
        self.assertIs(ended.reason, outcomes.Reason.TIME_LIMIT)
