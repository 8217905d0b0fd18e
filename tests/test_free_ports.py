"""Ports for real processes: none that an outgoing connection may take."""

import pathlib
import socket
import unittest

from standins import _private

_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class FreePortsTest(unittest.TestCase):
    def test_ports_are_free_distinct_and_below_outgoing_ones(self) -> None:
        first_outgoing = int(_RANGE.read_text().split()[0])
        ports = [_private.find_free_port() for _ in range(50)]
        self.assertEqual(len(set(ports)), 50)
        self.assertLess(max(ports), first_outgoing)
        for port in ports:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))

    def test_port_that_is_taken_is_passed_over(self) -> None:
        taken = _private.find_free_port()
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", taken + 1))
            holder.listen()
            self.assertNotEqual(_private.find_free_port(), taken + 1)
