"""Idempotency keys and tickets: who may join a run, and for how long."""

import asyncio
import random
import unittest

from ruddergate import outcomes
from ruddergate.adapters.engines import stream_event
from ruddergate.decisions import ledger
from ruddergate.entry import recording
from ruddergate.entry import tickets

_KEY = b"0123456789abcdef"


class TicketTest(unittest.TestCase):
    def setUp(self) -> None:
        rng = random.Random(1)
        self.ticket_text = tickets.issue(_KEY, "vm-1", "i", "w", 5.0, rng)

    def test_issued_ticket_is_parsed(self) -> None:
        ticket = tickets.parse(self.ticket_text, _KEY, "w")
        self.assertEqual((ticket.vm_id, ticket.incarnation), ("vm-1", "i"))

    def test_another_workspace_cannot_use_a_ticket(self) -> None:
        self.assertIsNone(tickets.parse(self.ticket_text, _KEY, "v"))

    def test_forged_tickets_are_unknown(self) -> None:
        for ticket_text in (
            self.ticket_text.replace("vm-1", "vm-2"),
            "",
            "a~b~1~c~d",
        ):
            self.assertIsNone(tickets.parse(ticket_text, _KEY, "w"))


class RecordingTest(unittest.TestCase):
    def follow(self, record: recording.Recording, left_ms: float) -> list:
        async def run() -> list:
            return [each async for each in record.follow(lambda: left_ms)]

        return asyncio.run(run())

    def test_late_follower_gets_all_events(self) -> None:
        events = [stream_event.Tokens(0, ("a",)), outcomes.Finished(1, "stop")]
        record = recording.Recording()
        for event in events:
            record.add(event)
        self.assertEqual(self.follow(record, 0.0), events)

    def test_follower_keeps_its_own_time_limit(self) -> None:
        record = recording.Recording()
        record.add(stream_event.Tokens(0, ("a",)))
        ended = self.follow(record, 0.0)[-1]
        self.assertIs(ended.reason, outcomes.Reason.TIME_LIMIT)
        self.assertIs(ended.ran, outcomes.Ran.UNKNOWN)


class LedgerTest(unittest.TestCase):
    def test_key_of_a_dropped_recording_stays_in_use(self) -> None:
        runs_by_key: ledger.Ledger[str] = ledger.Ledger()
        runs_by_key.open("k", "run", 0.0)
        runs_by_key.keep_recording("k", ledger.MAX_RECORDING_BYTES + 1)
        self.assertIsNone(runs_by_key.find("k").recording)

    def test_key_that_never_ran_may_be_used_again(self) -> None:
        runs_by_key: ledger.Ledger[str] = ledger.Ledger()
        runs_by_key.open("k", "run", 0.0)
        runs_by_key.remove("k")
        self.assertIsNone(runs_by_key.find("k"))
