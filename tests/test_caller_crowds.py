"""Crowds of callers that a gateway process must outlive.

Guards against a gateway that is ended for its memory: requests that were sent
ahead piled up in it as long as their callers sent, and every connection could
fill buffers of megabytes.

Real processes on loopback; the tests assert what does not depend on the speed
of the machine.
"""

import asyncio
import unittest

from standins import caller_crowds


class CallerCrowdTest(unittest.TestCase):
    def _check(
        self,
        kind: str,
        machine: caller_crowds.Machine | None = None,
    ) -> None:
        limits = machine or caller_crowds.Machine()
        crowd = caller_crowds.make_kinds()[kind]
        found = asyncio.run(caller_crowds.play(crowd, limits))
        self.assertTrue(found.is_running, found)
        self.assertLessEqual(found.memory_bytes, limits.memory_bytes, found)
        self.assertLessEqual(found.descriptors, limits.descriptors_max, found)
        self.assertEqual(found.ordinary, (200, 200), found)

    def test_requests_sent_ahead_without_usual_fields(self) -> None:
        self._check("bare requests")

    def test_requests_sent_ahead_at_unknown_paths(self) -> None:
        self._check("unrouted requests")

    def test_requests_sent_ahead_on_few_connections(self) -> None:
        self._check("few connections")

    def test_requests_sent_ahead_on_many_connections(self) -> None:
        self._check("many connections")

    def test_streams_that_nobody_reads(self) -> None:
        self._check("unread streams")

    def test_long_names_that_are_never_repeated(self) -> None:
        self._check("long names")

    def test_readiness_checks_that_nobody_reads(self) -> None:
        self._check("unread readiness checks")

    def test_metrics_pages_that_nobody_reads(self) -> None:
        self._check("unread metrics pages")

    def test_messages_of_strangers_without_end(self) -> None:
        self._check("frames without end")

    def test_odd_requests_sent_ahead(self) -> None:
        self._check("odd requests")

    def test_bodies_of_tiny_chunks_without_end(self) -> None:
        self._check("tiny chunks")

    def test_heads_of_many_fields_whose_bodies_never_come(self) -> None:
        self._check("many fields")

    def test_long_heads_without_end(self) -> None:
        self._check("long heads without end")

    def test_half_heads_that_take_all_places(self) -> None:
        self._check("half heads", caller_crowds.FEW_PLACES)

    def test_silent_connections_that_take_all_places(self) -> None:
        self._check("silent connections", caller_crowds.FEW_PLACES)

    def test_stop_ends_by_itself_beside_a_crowd(self) -> None:
        limits = caller_crowds.Machine()
        crowd = caller_crowds.make_kinds()["many connections"]
        status, memory_bytes = asyncio.run(
            caller_crowds.play_stop(crowd, limits)
        )
        self.assertEqual(status, 0)
        self.assertLessEqual(memory_bytes, limits.memory_bytes)
