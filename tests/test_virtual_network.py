"""The virtual network: processes that end while data is in flight."""

import asyncio
import unittest

from ruddergate import environment
from standins import virtual_network
from standins import virtual_process

_ADDRESS = environment.Address("vm-0", 1)


class DatagramTest(unittest.TestCase):
    def test_late_close_does_not_close_the_port_of_a_successor(self) -> None:
        # A killed process cleans up only when its tasks are collected.
        received: list[bytes] = []

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            ports = []
            for number in (1, 2):
                process = virtual_process.VirtualProcess("vm-0", "h")
                env = network.make_environment(process, number)
                ports.append(await env.bind(received.append, _ADDRESS))
            ports[0].close()
            ports[1].send(b"news", _ADDRESS)
            await asyncio.sleep(0.1)

        virtual_process.run(run)
        self.assertEqual(received, [b"news"])


class InFlightTest(unittest.TestCase):
    """What is in flight belongs to no process and outlives its sender.

    An empty context is false in a condition. If the network's empty context is
    therefore replaced by the sender's, the end of a process drops what it has
    sent, and a replica that is to restart after its end never does.
    """

    def test_what_was_sent_arrives_after_the_sender_has_ended(self) -> None:
        received: list[bytes] = []

        async def run() -> None:
            network = virtual_network.VirtualNetwork(
                1, virtual_network.Latency()
            )
            sender = virtual_process.VirtualProcess("vm-1", "h")
            receiver = virtual_process.VirtualProcess("vm-0", "h")
            await network.make_environment(receiver, 1).bind(
                received.append, _ADDRESS
            )
            env = network.make_environment(sender, 1)
            port = await env.bind(
                received.append, environment.Address("vm-1", 1)
            )

            async def send() -> None:
                port.send(b"last words", _ADDRESS)

            await sender.start(send)
            sender.kill()
            await asyncio.sleep(0.1)

        virtual_process.run(run)
        self.assertEqual(received, [b"last words"])
