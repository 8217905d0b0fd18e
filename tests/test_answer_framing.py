"""Answers of targets, with any framing, that end at any byte."""

import dataclasses
import random
import unittest

from ruddergate import outcomes
from ruddergate.relay import response_event as response_events
from tests import upstream_fixture

_ANSWERS = 2_000
_SEED = 7


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """What a target sends.

    Attributes:
        body: The whole body.
        data: The bytes that it sends, of head and body.
        is_framed: Whether the answer has a length or chunks.
        is_whole: Whether all bytes are sent.
        is_stream: Whether it is an answer to a stream.
        is_reset: Whether the connection is reset in the end.
    """

    body: bytes
    data: bytes
    is_framed: bool
    is_whole: bool
    is_stream: bool
    is_reset: bool


def _draw_answer(rng: random.Random) -> _Answer:
    is_stream = rng.random() < 0.5
    events = [
        b"id: %d\ndata: %s\n\n" % (number, b"x" * rng.randrange(20))
        for number in range(1, rng.randrange(2, 6))
    ]
    body = b"".join(events) if is_stream else b"body" * rng.randrange(1, 9)
    framing = rng.choice(("length", "chunks", "none"))
    head = b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n"
    if framing == "length":
        data = head + b"content-length: %d\r\n\r\n" % len(body) + body
    elif framing == "chunks":
        chunks = _cut_in_chunks(body, rng)
        data = head + b"transfer-encoding: chunked\r\n\r\n" + chunks
    else:
        data = head + b"\r\n" + body
    sent = data
    if rng.random() < 0.7:
        sent = data[: rng.randrange(len(data))]
    return _Answer(
        body,
        sent,
        framing != "none",
        len(sent) == len(data),
        is_stream,
        rng.random() < 0.4,
    )


def _cut_in_chunks(body: bytes, rng: random.Random) -> bytes:
    data = b""
    while body:
        size = rng.randrange(1, len(body) + 1)
        data += b"%x\r\n%s\r\n" % (size, body[:size])
        body = body[size:]
    return data + b"0\r\n\r\n"


class FramingTest(unittest.TestCase):
    """An answer that ends early must never look complete."""

    def test_no_incomplete_answer_is_taken_for_a_complete_one(self) -> None:
        rng = random.Random(_SEED)
        answers = [_draw_answer(rng) for _ in range(_ANSWERS)]
        completed = 0
        for answer in answers:
            events = upstream_fixture.receive(
                answer.data, answer.is_stream, answer.is_reset
            )
            with self.subTest(answer=answer):
                completed += self._check(answer, events)
        self.assertGreater(completed, 0.1 * _ANSWERS)

    def _check(
        self, answer: _Answer, events: list[response_events.Event]
    ) -> bool:
        """Checks the events of an answer; returns whether it is complete."""
        last = events[-1]
        if isinstance(last, outcomes.NotServed):
            self.assertIs(last.reason, outcomes.Reason.TARGET_LOST)
            is_kept = answer.is_reset or not answer.is_whole
            self.assertTrue(is_kept)
            return False
        if isinstance(last, response_events.CompleteResponse):
            received = last.body
        else:
            self.assertIsInstance(last, response_events.StreamEnd)
            received = b"".join(
                each.data
                for each in events
                if isinstance(each, response_events.StreamEvents)
            )
            self.assertTrue(received.endswith(b"\n\n"))
        if answer.is_framed:
            self.assertEqual(received, answer.body)
        else:
            # Only a reset, or an event that is not whole, shows an early end.
            self.assertTrue(answer.body.startswith(received))
            self.assertFalse(answer.is_reset)
        return True


if __name__ == "__main__":
    unittest.main()
