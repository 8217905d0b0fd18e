"""Probes, orders and the store's answers without end cost a bounded amount."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

from ruddergate import environment
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.platform import orders
from ruddergate.platform import store
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders as order_types
from ruddergate.relay import published
from standins import flooding_target
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("target", 1)
_TARGET = targets.Target("t-1", "p", "h", _ADDRESS, condition.Condition.LIVE)
_TIMEOUTS = client.Timeouts(200.0, 2_000.0, 20_000.0)
_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
_PAGE_ITEMS = 500
# 50,000 items in pages of 500, each after a round trip of some milliseconds.
_LIST_LIMIT_S = 5.0
_FLOOD_PIECE = b"x" * flooding_target.PIECE_BYTES


async def _serve_endless_list(
    env: environment.Environment, is_advancing: bool
) -> None:
    """Serves pages of which there is always another one."""
    pages = 0

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        nonlocal pages
        pages += 1
        page = pages if is_advancing else 1
        items = [
            {"key": f"servers/{page:09d}-{number:03d}", "revision": 1}
            for number in range(_PAGE_ITEMS)
        ]
        return message.make_json_response(
            200, {"at": 7, "more": True, "items": items}
        )

    handler = server.make_stream_handler(handle, server.Limits())
    await env.serve(handler, _ADDRESS)


def _read_endless_list(is_advancing: bool) -> object:
    async def run() -> object:
        network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
        process = virtual_process.VirtualProcess("target", "h")
        store_env = network.make_environment(process, 1)
        await process.start(
            lambda: _serve_endless_list(store_env, is_advancing)
        )
        vm = virtual_process.VirtualProcess("vm", "h")
        env = network.make_environment(vm, 1)
        source = store.make_source(env, _ADDRESS, _TIMEOUTS)

        async def read_all() -> object:
            async with asyncio.timeout(_LIST_LIMIT_S):
                return await source.read_all()

        return await vm.start(read_all)

    return virtual_process.run(run)


def _run_against_flood(
    communicate: Callable[[environment.Environment], Awaitable[object]],
) -> tuple[object, int]:
    """Returns the result of a call to a flood, and the bytes that it sent."""
    flood = flooding_target.Flood(_UNFRAMED, _FLOOD_PIECE)

    async def run() -> object:
        network = virtual_network.VirtualNetwork(1, virtual_network.Latency())
        target = virtual_process.VirtualProcess("target", "h")
        env = network.make_environment(target, 1)
        await target.start(
            lambda: flooding_target.start_flood(env, _ADDRESS, flood)
        )
        vm = virtual_process.VirtualProcess("vm", "h")
        vm_env = network.make_environment(vm, 1)
        return await vm.start(lambda: communicate(vm_env))

    return virtual_process.run(run), flood.sent_bytes


class EndlessFetchTest(unittest.TestCase):
    # The body of a report grew until the timeout of the probe.
    def test_report_without_end(self) -> None:
        async def probe(env: environment.Environment) -> object:
            made = orders.make_orders(env, _TIMEOUTS, hint_types.ignore_hints)
            return await made.probe(_TARGET)

        result, flooded_bytes = _run_against_flood(probe)
        self.assertIs(result.status, order_types.ProbeStatus.ALIVE)
        self.assertLess(flooded_bytes, 2 * orders.MAX_RESPONSE_BYTES)

    def test_response_to_an_order_without_end(self) -> None:
        async def release(env: environment.Environment) -> object:
            made = orders.make_orders(env, _TIMEOUTS, hint_types.ignore_hints)
            return await made.release(order_types.Reservation(_TARGET, "r", 1))

        result, flooded_bytes = _run_against_flood(release)
        self.assertIs(result, order_types.OrderResult.UNKNOWN)
        self.assertLess(flooded_bytes, 2 * orders.MAX_RESPONSE_BYTES)

    # The store's answer grew until the time for a whole answer.
    def test_response_of_the_store_without_end(self) -> None:
        async def read_all(env: environment.Environment) -> object:
            source = store.make_source(env, _ADDRESS, _TIMEOUTS)
            return await source.read_all()

        result, flooded_bytes = _run_against_flood(read_all)
        self.assertIsInstance(result, published.Unavailable)
        self.assertLess(flooded_bytes, 2 * store.MAX_RESPONSE_BYTES)

    # Pages were read for as long as the store said that there are more.
    def test_list_of_the_store_without_end(self) -> None:
        for is_advancing in (False, True):
            with self.subTest(is_advancing=is_advancing):
                result = _read_endless_list(is_advancing)
                self.assertIsInstance(result, published.Unavailable)
