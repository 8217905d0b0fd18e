"""An engine's stream: late, doubled, reordered, foreign, truncated pieces."""

import asyncio
import unittest

import orjson

from ruddergate import outcomes
from ruddergate.adapters.engines import stream
from ruddergate.adapters.engines import stream_event


class _Exchange:
    """Gives out prepared pieces of a body."""

    def __init__(self, *pieces: bytes) -> None:
        self._pieces = list(pieces)

    async def read_part(self) -> bytes:
        return self._pieces.pop(0) if self._pieces else b""

    def close(self) -> None:
        """Does nothing."""


def _event(**fields: object) -> bytes:
    return b"data: " + orjson.dumps({"stream": "s", **fields}) + b"\n\n"


def _read(*pieces: bytes, position: int = 0) -> list:
    async def read() -> list:
        exchange = _Exchange(*pieces)
        found = stream.Stream(exchange, "s", position, None, 1_000.0)
        events = []
        while True:
            event = await found.next_event(lambda: 5_000.0)
            events.append(event)
            if not isinstance(event, stream_event.Tokens):
                return events

    return asyncio.run(read())


def _texts(events: list) -> list[str]:
    return [
        text
        for event in events
        if isinstance(event, stream_event.Tokens)
        for text in event.texts
    ]


class StreamTest(unittest.TestCase):
    def test_whole_answer(self) -> None:
        events = _read(
            _event(first=0, tokens=["a", "b"]),
            b": alive\n\n",
            _event(first=2, tokens=["c"]) + _event(end="stop", count=3),
        )
        self.assertEqual(_texts(events), ["a", "b", "c"])
        self.assertEqual(events[-1], stream_event.End("stop", 3))

    def test_pieces_split_anywhere(self) -> None:
        data = _event(first=0, tokens=["a"]) + _event(end="stop", count=1)
        events = _read(*(data[n : n + 1] for n in range(len(data))))
        self.assertEqual(_texts(events), ["a"])
        self.assertIsInstance(events[-1], stream_event.End)

    def test_doubled_pieces_are_taken_once(self) -> None:
        events = _read(
            _event(first=0, tokens=["a", "b"]),
            _event(first=0, tokens=["a", "b"]),
            _event(first=1, tokens=["b", "c"]),
            _event(end="stop", count=3),
        )
        self.assertEqual(_texts(events), ["a", "b", "c"])

    def test_resumed_behind_what_was_delivered(self) -> None:
        events = _read(
            _event(first=1, tokens=["b", "c", "d"]),
            _event(end="stop", count=4),
            position=2,
        )
        self.assertEqual(_texts(events), ["c", "d"])

    def test_what_is_no_part_of_this_answer_ends_it(self) -> None:
        wrong = {
            "a gap": _event(first=3, tokens=["x"]),
            "another stream": _event(stream="t", first=0, tokens=["x"]),
            "not JSON": b"data: {\n\n",
            "no text": _event(first=0, tokens=[1]),
            "an end too early": _event(end="stop", count=9),
        }
        for name, piece in wrong.items():
            with self.subTest(name):
                events = _read(_event(first=0, tokens=["a"]), piece)
                self.assertEqual(_texts(events), ["a"])
                self.assertIs(
                    events[-1].reason, outcomes.Reason.TARGET_BROKE_PROTOCOL
                )

    def test_truncated_answer_is_not_whole(self) -> None:
        events = _read(_event(first=0, tokens=["a"]))
        self.assertIs(events[-1].reason, outcomes.Reason.TARGET_LOST)
        self.assertIsNot(events[-1].ran, outcomes.Ran.NOT_RUN)

    def test_signs_of_life_do_not_stretch_the_time_limit(self) -> None:
        left_ms = [3_000.0, 2_000.0, 1_000.0, 0.0]

        class Endless(_Exchange):
            async def read_part(self) -> bytes:
                await asyncio.sleep(0)
                return b": alive\n\n"

        async def read() -> object:
            found = stream.Stream(Endless(), "s", 0, None, 1_000.0)
            return await found.next_event(
                lambda: left_ms.pop(0) if len(left_ms) > 1 else left_ms[0]
            )

        ended = asyncio.run(read())
        self.assertIs(ended.reason, outcomes.Reason.TIME_LIMIT)
