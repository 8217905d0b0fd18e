"""Connections to the port for peers whose senders never send a request.

Guards against a VM without descriptors: such connections were bounded in time
only, so as many were open as anybody opened within that time.
"""

import asyncio
import unittest

import loguru

from ruddergate import environment
from ruddergate.decisions import links
from ruddergate.entry import detour_server
from ruddergate.telemetry import metrics
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm-1", 80)
_STRANGERS = 600


async def _connect_to_target(address: environment.Address) -> None:
    raise AssertionError(f"connected to {address}")


class StrangerTest(unittest.TestCase):
    def test_connections_without_a_request_are_bounded(self) -> None:
        loguru.logger.remove()
        open_counts: list[int] = []

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            vm = virtual_process.VirtualProcess("vm-1", "h")
            env = network.make_environment(vm, 1)
            served = detour_server.DetourServer(
                env,
                links.Links(),
                _connect_to_target,
                lambda address: None,
                lambda target: None,
                lambda name: False,
                metrics.EntryMetrics(),
            )
            await vm.start(lambda: env.serve(served.serve, _ADDRESS))
            process = virtual_process.VirtualProcess("stranger", "")
            stranger = network.make_environment(process, 1)

            async def connect() -> None:
                await stranger.connect(_ADDRESS)

            calls = [process.start(connect) for _ in range(_STRANGERS)]
            await asyncio.gather(*calls)
            # Within the time for a request.
            await asyncio.sleep(0.1)
            open_counts.append(served.carried)
            await asyncio.sleep(2.0)
            self.assertEqual(served.carried, 0)

        virtual_process.run(run)
        self.assertEqual(open_counts, [detour_server.MAX_OPEN])
