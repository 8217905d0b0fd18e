"""Ports for real processes lie outside of the ephemeral port range.

Otherwise an outgoing connection could take the port first.
"""

import pathlib
import socket
import unittest

from standins import _private

_EPHEMERAL_PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortsTest(unittest.TestCase):
    def test_ports_are_free_distinct_and_below_the_ephemeral_range(
        self,
    ) -> None:
        first_ephemeral = int(_EPHEMERAL_PORT_RANGE.read_text().split()[0])
        ports = [_private.find_free_port() for _ in range(50)]
        self.assertEqual(len(set(ports)), 50)
        self.assertLess(max(ports), first_ephemeral)
        for port in ports:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))

    def test_port_in_use_is_skipped(self) -> None:
        taken = _private.find_free_port()
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", taken + 1))
            holder.listen()
            self.assertNotEqual(_private.find_free_port(), taken + 1)
