"""Targets that send without end cost a bounded amount and are left at once."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.http import body_memory
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.platform import upstream
from ruddergate.relay import event_splitter
from ruddergate.relay import hints as hint_types
from ruddergate.relay import response_event as response_events
from standins import flooding_target
from standins import virtual_network
from standins import virtual_process
from tests import parsing_fixture
from tests import upstream_fixture

_ADDRESS = environment.Address("target", 1)
_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-replica-signature: s\r\n"
    b"content-type: text/event-stream\r\n"
)
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_UNFRAMED = _HEAD + b"\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_TEXT = b"x" * flooding_target.PIECE_BYTES
_MB = 1 << 20
_MEMORY_BYTES = 4 * _MB


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """How a flooded request ended.

    Attributes:
        last: Its last event.
        took_s: How long it took.
        flooded_bytes: What its target had sent by its end.
        turns: Turns that another task of the process had meanwhile.
    """

    last: response_events.Event
    took_s: float
    flooded_bytes: int
    turns: int


def _receive_flood(
    head: bytes,
    piece: bytes,
    is_stream: bool,
    requests: int = 1,
    interval_s: float = flooding_target.PIECE_INTERVAL_S,
) -> _Result:
    """Sends requests to a target that floods; returns how the last ends."""
    flood = flooding_target.Flood(head, piece, interval_s)
    memory = body_memory.BodyMemory(_MEMORY_BYTES)

    async def run() -> _Result:
        network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
        target = virtual_process.VirtualProcess("target", "h")
        target_env = network.make_environment(target, 1)
        await target.start(
            lambda: flooding_target.start_flood(target_env, _ADDRESS, flood)
        )
        vm = virtual_process.VirtualProcess("vm", "h")
        return await vm.start(
            lambda: _send_request(network.make_environment(vm, 1), flood)
        )

    async def _send_request(
        env: environment.Environment, flood: flooding_target.Flood
    ) -> _Result:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0.001)
                turns += 1

        counting = asyncio.ensure_future(count_turns())
        send = upstream.make_send(env, hint_types.ignore_hints, memory)
        began_ms = env.now_ms()

        async def collect() -> list[response_events.Event]:
            request = upstream_fixture.make_request(is_stream, began_ms)
            return [event async for event in send(request)]

        results = await asyncio.gather(*(collect() for _ in range(requests)))
        counting.cancel()
        took_s = (env.now_ms() - began_ms) / 1000.0
        assert memory.used_bytes == 0
        return _Result(results[-1][-1], took_s, flood.sent_bytes, turns)

    return virtual_process.run(run)


class EndlessResponseTest(unittest.TestCase):
    def check_left_at_once(
        self, result: _Result, max_bytes: int, within_s: float = 1.0
    ) -> None:
        """Checks that a target is left, and what is told of its request."""
        self.assertIsInstance(result.last, outcomes.NotServed)
        self.assertIs(result.last.reason, outcomes.Reason.RESPONSE_TOO_LARGE)
        self.assertIs(result.last.ran, outcomes.Ran.UNKNOWN)
        self.assertLess(result.took_s, within_s)
        self.assertLess(result.flooded_bytes, max_bytes)

    # Interim responses were skipped without a bound, and without giving other
    # requests a turn.
    def test_interim_responses_without_end(self) -> None:
        piece = flooding_target.make_piece(_INTERIM)
        for is_stream in (False, True):
            with self.subTest(is_stream=is_stream):
                result = _receive_flood(b"", piece, is_stream)
                self.check_left_at_once(result, _MB)

    # Such a response counted as lost, as if the target had crashed under its
    # request.
    def test_line_of_a_response_without_end(self) -> None:
        fields = flooding_target.make_piece(b"x-a: b\r\n")
        for head, piece in (
            (_HEAD + b"x-a: ", _TEXT),
            (_HEAD, fields),
            (_CHUNKED + b"5;", _TEXT),
            (_CHUNKED + b"0\r\n", fields),
        ):
            with self.subTest(head=head, piece=piece[:1]):
                result = _receive_flood(head, piece, is_stream=False)
                self.check_left_at_once(result, _MB)

    # An event was joined and searched anew with each of its pieces, and grew
    # until the deadline.
    def test_event_without_end(self) -> None:
        for head, piece in (
            (_UNFRAMED, _TEXT),
            (_CHUNKED, flooding_target.make_chunk(_TEXT)),
        ):
            with self.subTest(head=head):
                result = _receive_flood(head, piece, is_stream=True)
                self.check_left_at_once(
                    result, 2 * event_splitter.MAX_EVENT_BYTES
                )

    # A body that is not streamed grew until the deadline.
    def test_body_without_end(self) -> None:
        length = b"content-length: 99999999999999\r\n\r\n"
        for head, piece in (
            (_UNFRAMED, _TEXT),
            (_CHUNKED, flooding_target.make_chunk(_TEXT)),
            (_HEAD + length, _TEXT),
        ):
            with self.subTest(head=head):
                result = _receive_flood(head, piece, is_stream=False)
                self.check_left_at_once(result, 2 * _MEMORY_BYTES)

    # A body in tiny chunks took all of the event loop, since reading yields
    # to it only when no data is there.
    def test_tiny_chunks_leave_turns_to_other_requests(self) -> None:
        piece = flooding_target.make_piece(flooding_target.make_chunk(b"x"))
        for is_stream in (False, True):
            with self.subTest(is_stream=is_stream):
                with parsing_fixture.count_pieces() as pieces:
                    result = _receive_flood(
                        _CHUNKED, piece, is_stream, interval_s=0.1
                    )
                self.assertIsInstance(result.last, outcomes.NotServed)
                self.assertLess(
                    pieces.call_count,
                    parsing_fixture.find_max_pieces(result.took_s + 0.1),
                )
                self.assertGreater(result.turns, 100 * result.took_s)

    # Sound responses come in pieces, too, and must not be slowed down.
    def test_burst_of_events_is_read_at_once(self) -> None:
        events = b"".join(
            flooding_target.make_chunk(b"id: %d\ndata: x\n\n" % number)
            for number in range(100)
        )
        received = upstream_fixture.receive(
            _CHUNKED + events + b"0\r\n\r\n", is_stream=True
        )
        self.assertIsInstance(received[-1], response_events.StreamEnd)

    def test_bodies_without_end_share_the_memory(self) -> None:
        result = _receive_flood(_UNFRAMED, _TEXT, False, requests=20)
        self.check_left_at_once(result, 20 * _MEMORY_BYTES, within_s=3.0)

    # The length of a response to HEAD is that of a body that is not sent.
    def test_response_to_head_may_name_any_length(self) -> None:
        async def run() -> bytes | client.Fault:
            reader = asyncio.StreamReader()
            reader.feed_data(_HEAD + b"content-length: 99999999999\r\n\r\n")
            exchange = client.Exchange(reader, mock.Mock())
            request = message.OutgoingRequest("HEAD", "/", {}, b"")
            exchange.send(_ADDRESS, request)
            self.assertIsNone(await exchange.read_head())
            return await exchange.read_all()

        self.assertEqual(asyncio.run(run()), b"")


class BodyMemoryTest(unittest.TestCase):
    def test_longest_body_is_dropped_first(self) -> None:
        memory = body_memory.BodyMemory(100)
        dropped: list[str] = []
        small = memory.open(lambda: dropped.append("small"))
        large = memory.open(lambda: dropped.append("large"))
        small.append(b"x" * 30)
        large.append(b"x" * 60)
        self.assertEqual(dropped, [])
        small.append(b"x" * 20)
        self.assertEqual(dropped, ["large"])
        self.assertTrue(large.is_dropped)
        self.assertEqual(memory.used_bytes, 50)
        self.assertEqual(small.copy(), b"x" * 50)

    # A body that was dropped while its last bytes were being read could be
    # handed on as complete, and its bytes stayed counted.
    def test_body_that_is_dropped_as_it_ends_is_not_complete(self) -> None:
        memory = body_memory.BodyMemory(100)

        async def read(pieces: list[bytes]) -> bytes | client.Fault:
            exchange = client.Exchange(mock.Mock(), mock.Mock())

            async def read_chunk() -> bytes:
                await asyncio.sleep(0.0)
                return pieces.pop(0)

            with mock.patch.object(exchange, "read_chunk", read_chunk):
                return await exchange.read_all(memory)

        async def run() -> list[bytes | client.Fault]:
            return await asyncio.gather(
                read([b"x" * 60, b"", b""]), read([b"x" * 50, b""])
            )

        first, second = asyncio.run(run())
        self.assertIsInstance(first, client.Fault)
        self.assertEqual(second, b"x" * 50)
        self.assertEqual(memory.used_bytes, 0)

    def test_dropped_body_counts_nothing_more(self) -> None:
        memory = body_memory.BodyMemory(100)
        body = memory.open(lambda: None)
        body.append(b"x" * 101)
        body.append(b"x" * 30)
        self.assertEqual(memory.used_bytes, 0)

    def test_body_that_exceeds_all_memory_is_dropped(self) -> None:
        memory = body_memory.BodyMemory(100)
        body = memory.open(lambda: None)
        body.append(b"x" * 101)
        self.assertTrue(body.is_dropped)
        self.assertEqual((memory.used_bytes, memory.dropped), (0, 1))
