"""Callers that send without end take a bounded part of the event loop."""

import asyncio
import unittest
from unittest import mock

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import parsing_rate
from ruddergate.http import server
from standins import flooding_target
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm", 80)
_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
_TINY_CHUNKS = flooding_target.make_piece(flooding_target.make_chunk(b"x"))
_FLOOD_S = 1.0
_INTERVAL_S = 0.1


async def _accept(incoming: message.IncomingRequest) -> message.Response:
    return message.make_json_response(200, {"length": len(incoming.body)})


async def _send_flood(env: environment.Environment) -> None:
    _, writer = await env.connect(_ADDRESS)
    writer.write(_HEAD)
    for _ in range(round(_FLOOD_S / _INTERVAL_S)):
        writer.write(_TINY_CHUNKS)
        await asyncio.sleep(_INTERVAL_S)
    writer.close()


class EndlessRequestTest(unittest.TestCase):
    # All chunks that had arrived were parsed before any other task ran.
    def test_tiny_chunks_of_a_body_are_parsed_at_a_bounded_rate(self) -> None:
        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            vm = virtual_process.VirtualProcess("vm", "h")
            env = network.make_environment(vm, 1)
            handler = server.make_stream_handler(_accept, server.Limits())
            await vm.start(lambda: env.serve(handler, _ADDRESS))
            process = virtual_process.VirtualProcess("caller", "")
            caller_env = network.make_environment(process, 1)
            await process.start(lambda: _send_flood(caller_env))

        with mock.patch.object(
            parsing_rate.ParsingRate,
            "note_piece",
            autospec=True,
            side_effect=parsing_rate.ParsingRate.note_piece,
        ) as note_piece:
            virtual_process.run(run)
        self.assertGreater(note_piece.call_count, parsing_rate.BURST_PIECES)
        self.assertLess(
            note_piece.call_count,
            parsing_rate.BURST_PIECES
            + parsing_rate.PIECES_PER_TURN
            + (_FLOOD_S + _INTERVAL_S) * parsing_rate.PIECES_PER_S,
        )

    def test_large_body_in_small_chunks_is_not_delayed(self) -> None:
        chunk = flooding_target.make_chunk(b"x" * 1_024)
        body = chunk * parsing_rate.BURST_PIECES + b"0\r\n\r\n"

        async def run() -> float:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            vm = virtual_process.VirtualProcess("vm", "h")
            env = network.make_environment(vm, 1)
            handler = server.make_stream_handler(_accept, server.Limits())
            await vm.start(lambda: env.serve(handler, _ADDRESS))
            reader, writer = await env.connect(_ADDRESS)
            began_ms = env.now_ms()
            writer.write(_HEAD + body)
            await reader.readuntil(b"}")
            return env.now_ms() - began_ms

        self.assertLess(virtual_process.run(run), 50.0)
