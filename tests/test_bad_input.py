"""Invalid input on each interface is refused and affects no one else.

Covers HTTP requests, caller requests, peer frames and the VM list.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import unittest

import orjson

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.adapters.callers import parse
from ruddergate.adapters.vm_list import client as vm_list
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.messages import tree_request
from ruddergate.wire import codec
from ruddergate.wire import frames
from standins import virtual_network
from standins import virtual_process

_LIMITS = server.Limits(
    header_bytes_max=1_000,
    body_bytes_max=2_000,
    read_timeout_ms=500.0,
    connections_max=2,
)
_VALID_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_ADDRESS = environment.Address("vm-1", 80)


def _run_client(
    communicate: Callable[[environment.Environment], Awaitable[object]],
    handler: environment.StreamHandler,
) -> object:
    """Runs a client against a stream handler in virtual time."""

    async def run() -> object:
        network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
        listener = virtual_process.VirtualProcess("vm-1", "h")
        env = network.make_environment(listener, 1)
        await listener.start(lambda: env.serve(handler, _ADDRESS))
        process = virtual_process.VirtualProcess("caller", "")
        caller_env = network.make_environment(process, 1)
        return await process.start(lambda: communicate(caller_env))

    return virtual_process.run(run)


async def _echo_path(incoming: message.IncomingRequest) -> message.Response:
    return message.make_json_response(200, {"path": incoming.path})


async def _exchange(env: environment.Environment, *pieces: bytes) -> bytes:
    reader, writer = await env.connect(_ADDRESS)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.2)
    try:
        async with asyncio.timeout(3.0):
            return await reader.read(100_000)
    finally:
        writer.close()


class HttpTest(unittest.TestCase):
    def fetch(self, *pieces: bytes) -> bytes:
        async def communicate(env: environment.Environment) -> bytes:
            return await _exchange(env, *pieces)

        handler = server.make_stream_handler(_echo_path, _LIMITS)
        return _run_client(communicate, handler)

    def test_invalid_requests_get_a_4xx(self) -> None:
        post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n"
        cases = {
            b"400": [b"nonsense\r\n\r\n"],
            b"431": [b"GET / HTTP/1.1\r\nx: " + b"a" * 5_000],
            b"413": [post + b"a" * 5_000],
            b"408": [b"GET / HTTP/1.1\r\n", b"host: a\r\n", b"b", b"c"],
        }
        for status, pieces in cases.items():
            with self.subTest(status):
                response = self.fetch(*pieces)
                self.assertTrue(response.startswith(b"HTTP/1.1 " + status))
                self.assertIn(b'"ran":"not_run"', response)

    def test_pipelined_requests_are_answered_in_turn(self) -> None:
        self.assertEqual(
            self.fetch(_VALID_REQUEST + _VALID_REQUEST).count(b"200"), 2
        )

    def test_connections_over_the_limit_do_not_affect_others(self) -> None:
        async def communicate(env: environment.Environment) -> list[bytes]:
            connections = [await env.connect(_ADDRESS) for _ in range(2)]
            await asyncio.sleep(0.1)
            refused = await _exchange(env, b"")
            connections[0][1].write(_VALID_REQUEST)
            served = await connections[0][0].read(1_000)
            return [refused, served]

        handler = server.make_stream_handler(_echo_path, _LIMITS)
        refused, served = _run_client(communicate, handler)
        self.assertIn(b"503", refused[:20])
        self.assertIn(b"200", served[:20])

    def test_handler_is_cancelled_when_the_caller_disconnects(self) -> None:
        ended: list[str] = []

        async def slow(incoming: message.IncomingRequest) -> message.Response:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                ended.append(incoming.path)
                raise
            return message.make_json_response(200, {})

        async def communicate(env: environment.Environment) -> None:
            _, writer = await env.connect(_ADDRESS)
            writer.write(_VALID_REQUEST)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)

        _run_client(communicate, server.make_stream_handler(slow, _LIMITS))
        self.assertEqual(ended, ["/"])


class CallerRequestTest(unittest.TestCase):
    def parse(self, body: object, **headers: str) -> object:
        fields = {
            "authorization": "Bearer k",
            "ruddergate-workload": "w",
            **{name.replace("_", "-"): x for name, x in headers.items()},
        }
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        path = parse.COMPLETIONS
        return parse.parse_call(
            message.IncomingRequest("POST", path, "", fields, data)
        )

    def test_invalid_requests_name_what_was_expected(self) -> None:
        valid = {"prompt": "p"}
        cases = [
            (b"{", {}, "JSON"),
            ([], {}, "object"),
            ({}, {}, "prompt"),
            ({"prompt": 3}, {}, "prompt"),
            ({**valid, "max_tokens": 0}, {}, "max_tokens"),
            ({**valid, "stream": "yes"}, {}, "stream"),
            (valid, {"authorization": "k"}, "Bearer"),
            (valid, {"ruddergate_time_limit_ms": "-1"}, "whole number"),
            (valid, {"ruddergate_repeatable": "maybe"}, "yes or no"),
            (valid, {"idempotency_key": "k" * 300}, "at most 200"),
            (valid, {"ruddergate_prefix": "p"}, "NAME;tokens=N"),
        ]
        for body, headers, expected in cases:
            with self.subTest(expected):
                found = self.parse(body, **headers)
                self.assertIsInstance(found, outcomes.NotServed)
                self.assertIs(found.reason, outcomes.Reason.BAD_REQUEST)
                self.assertIn(expected, found.detail)

    def test_declared_prompt_length_has_a_lower_bound(self) -> None:
        call = self.parse(
            {"prompt": "a" * 64_000}, ruddergate_prompt_tokens="1"
        )
        self.assertEqual(call.prompt_tokens, 1_000)


class FrameTest(unittest.TestCase):
    KEY = b"0123456789abcdef"

    def receive(self, key: bytes, *sent: bytes) -> list[object]:
        """Returns what a peer with KEY receives from one that uses `key`."""
        received: list[object] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            stream = frames.FrameStream(reader, writer, self.KEY)
            await stream.greet()
            while True:
                received.append(await stream.receive())
                if isinstance(received[-1], frames.Closed):
                    return

        async def communicate(env: environment.Environment) -> None:
            reader, writer = await env.connect(_ADDRESS)
            stream = frames.FrameStream(reader, writer, key)
            await stream.greet()
            await stream.send(tree_request.TreeRequest(3, ("a",)))
            for data in sent:
                writer.write(data)
            await asyncio.sleep(1.0)
            writer.close()
            await asyncio.sleep(1.0)

        _run_client(communicate, serve)
        return received

    def test_message_of_a_peer_with_the_key_is_received(self) -> None:
        received = self.receive(self.KEY)
        self.assertEqual(received[0], tree_request.TreeRequest(3, ("a",)))

    def test_peer_without_the_key_is_refused(self) -> None:
        received = self.receive(b"another key of 16")
        self.assertIn("MAC of a frame is wrong", received[0].detail)

    def test_garbage_is_refused(self) -> None:
        received = self.receive(self.KEY, b"\x00\x00\x00\x05" + b"x" * 40)
        self.assertIn("MAC of a frame is wrong", received[-1].detail)

    def test_oversized_frame_is_refused_unread(self) -> None:
        received = self.receive(self.KEY, b"\xff" * 24)
        self.assertIn("a frame of", received[-1].detail)

    def test_malformed_messages_are_returned_as_values(self) -> None:
        cases = [
            b"",
            b"\xc1",
            b"\x93\x01\x02\x03",
            b"\x92\x63\x90",
            b"\x92\x0d\x91\x01",
        ]
        for payload in cases:
            with self.subTest(payload):
                self.assertIsInstance(codec.decode(payload), codec.Malformed)


class VmListTest(unittest.TestCase):
    def test_invalid_rows_are_skipped(self) -> None:
        document = {
            "version": 3,
            "vms": [7, {"id": "a"}, {"id": "b", "host": "h"}],
            "targets": [
                {"id": "t", "pool": "p", "host": "h", "port": 1},
                {"id": "u", "pool": "p", "host": "h", "port": 99_999},
            ],
        }
        found = vm_list.parse_listing(json.loads(json.dumps(document)))
        self.assertEqual([x.target_id for x in found.targets], ["t"])
        self.assertEqual(found.targets[0].condition, "leaving")
        self.assertEqual(found.vms, ())

    def test_document_without_a_list_is_unavailable(self) -> None:
        for document in (None, [], {"version": "x"}):
            found = vm_list.parse_listing(document)
            self.assertIsInstance(found, vm_list.Unavailable)
