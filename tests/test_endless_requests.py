"""Callers that send without end take a bounded part of the event loop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
import unittest

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import parsing_rate
from ruddergate.http import server
from standins import flooding_target
from standins import virtual_network
from standins import virtual_process
from tests import parsing_fixture

T = TypeVar("T")
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


async def _send_large_body(env: environment.Environment) -> float:
    """Sends a body in small chunks; returns how long it took to be read."""
    chunk = flooding_target.make_chunk(b"x" * 1_024)
    reader, writer = await env.connect(_ADDRESS)
    began_ms = env.now_ms()
    writer.write(_HEAD + chunk * parsing_rate.BURST_PIECES + b"0\r\n\r\n")
    await reader.readuntil(b"}")
    return env.now_ms() - began_ms


def _run_caller(
    communicate: Callable[[environment.Environment], Awaitable[T]],
) -> T:
    """Runs a caller against a server in virtual time."""

    async def run() -> T:
        network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
        vm = virtual_process.VirtualProcess("vm", "h")
        env = network.make_environment(vm, 1)
        handler = server.make_stream_handler(_accept, server.Limits())
        await vm.start(lambda: env.serve(handler, _ADDRESS))
        process = virtual_process.VirtualProcess("caller", "")
        caller_env = network.make_environment(process, 1)
        return await process.start(lambda: communicate(caller_env))

    return virtual_process.run(run)


class EndlessRequestTest(unittest.TestCase):
    # All chunks that had arrived were parsed before any other task ran.
    def test_tiny_chunks_of_a_body_are_parsed_at_a_bounded_rate(self) -> None:
        with parsing_fixture.count_pieces() as pieces:
            _run_caller(_send_flood)
        self.assertGreater(pieces.call_count, parsing_rate.BURST_PIECES)
        self.assertLess(
            pieces.call_count,
            parsing_fixture.find_max_pieces(_FLOOD_S + _INTERVAL_S),
        )

    def test_large_body_in_small_chunks_is_not_delayed(self) -> None:
        self.assertLess(_run_caller(_send_large_body), 50.0)
