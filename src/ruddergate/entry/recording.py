"""Recorded events of a run, for all requests with the same idempotency key."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

from ruddergate import outcomes
from ruddergate.adapters.engines import stream_event as parts
from ruddergate.adapters.services import call as service_calls

Event = (
    parts.Tokens
    | service_calls.ServiceResponse
    | outcomes.Finished
    | outcomes.NotServed
)


class Recording:
    """Events of one run in order; followers get all of them from the first."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._is_complete = False
        self._changed = asyncio.Event()

    def add(self, event: Event) -> None:
        """Adds an event; an outcome or a service's answer is the last."""
        self._events.append(event)
        self._is_complete = not isinstance(event, parts.Tokens)
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def last(self) -> Event | None:
        """The last event so far."""
        return self._events[-1] if self._events else None

    def size_bytes(self) -> int:
        """Returns the approximate size of the events in memory."""
        total = 0
        for event in self._events:
            if isinstance(event, parts.Tokens):
                total += sum(len(text) for text in event.texts)
            elif isinstance(event, service_calls.ServiceResponse):
                total += len(event.body)
        return total

    async def follow(
        self, left_ms: Callable[[], float]
    ) -> AsyncIterator[Event]:
        """Yields all events from the first, waiting for those to come.

        Args:
            left_ms: Returns the time left of the follower's own time limit,
                which may be shorter than that of the run.
        """
        position = 0
        while True:
            changed = self._changed
            while position < len(self._events):
                yield self._events[position]
                position += 1
            if self._is_complete:
                return
            try:
                async with asyncio.timeout(left_ms() / 1000.0):
                    await changed.wait()
            except TimeoutError:
                yield outcomes.NotServed(
                    outcomes.Reason.TIME_LIMIT,
                    outcomes.Ran.UNKNOWN,
                    "the time limit passed while the key's run went on",
                )
                return
