"""Keys and tickets: who may join a run, and for how long."""

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
        chance = random.Random(1)
        self.text = tickets.issue(_KEY, "vm-1", "i", "w", 5.0, chance)

    def test_issued_ticket_is_read(self) -> None:
        ticket = tickets.parse(self.text, _KEY, "w")
        self.assertEqual((ticket.vm_id, ticket.incarnation), ("vm-1", "i"))

    def test_another_workspace_cannot_use_it(self) -> None:
        self.assertIsNone(tickets.parse(self.text, _KEY, "v"))

    def test_changed_or_made_up_tickets_are_unknown(self) -> None:
        for text in (self.text.replace("vm-1", "vm-2"), "", "a~b~1~c~d"):
            self.assertIsNone(tickets.parse(text, _KEY, "w"))


class RecordingTest(unittest.TestCase):
    def follow(self, record: recording.Recording, left_ms: float) -> list:
        async def run() -> list:
            return [each async for each in record.follow(lambda: left_ms)]

        return asyncio.run(run())

    def test_late_follower_gets_the_whole(self) -> None:
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
    def test_dropped_recording_is_still_refused(self) -> None:
        book: ledger.Ledger[str] = ledger.Ledger()
        book.open("k", "run", 0.0)
        book.keep_recording("k", ledger.MAX_RECORDING_BYTES + 1)
        self.assertIsNone(book.find("k").recording)

    def test_key_that_never_ran_may_be_used_again(self) -> None:
        book: ledger.Ledger[str] = ledger.Ledger()
        book.open("k", "run", 0.0)
        book.remove("k")
        self.assertIsNone(book.find("k"))
