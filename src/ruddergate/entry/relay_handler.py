"""Answers callers whose calls are passed on unchanged."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.entry import relay_admit
from ruddergate.entry import relay_run
from ruddergate.entry import reservation_keeper
from ruddergate.entry import tools as tool_types
from ruddergate.http import message
from ruddergate.relay import caller_protocol as caller_protocols
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.telemetry import logs

# How a call ends in logs and metrics whose caller did not wait for the answer.
CALLER_LEFT = "caller_left"
# A VM that has just started has its settings within a few milliseconds, on a
# thin link and beside many others within half a second; after the loss of all
# VMs callers that were refused meanwhile had no try left.
FIRST_SETTINGS_WAIT_MS = 800.0
# For so long a VM counts as just started; later, the store is out of reach.
STARTING_MS = 3_000.0


class RelayHandler:
    """Admits a call, runs it and hands its answer back.

    Args:
        tools: What the stages share.
        door: How callers are understood and answered.
        send: Sends a call to a target.
        keeper: Holds memory for requests.
        trust: How old settings may be.
    """

    def __init__(
        self,
        tools: tool_types.Tools,
        caller_protocol: caller_protocols.CallerProtocol,
        send: upstream_requests.Send,
        keeper: reservation_keeper.ReservationKeeper,
        trust: relay_admit.Trust,
    ) -> None:
        self._tools = tools
        self._door = caller_protocol
        self._send = send
        self._keeper = keeper
        self._trust = trust
        self._log = logs.make_logger("entry")

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers a caller."""
        caller_request = self._door.read(incoming)
        if isinstance(caller_request, outcomes.NotServed):
            return self._refuse(caller_request, "")
        # A wait for the first settings is part of the caller's time.
        arrived_ms = self._tools.outside.now_ms()
        await self._wait_for_catalog()
        request = relay_admit.admit(
            incoming, caller_request, arrived_ms, self._tools, self._trust
        )
        if isinstance(request, outcomes.NotServed):
            return self._refuse(request, caller_request.request_id)
        events = relay_run.run(request, self._send, self._keeper, self._tools)
        try:
            first = await anext(events)
        except BaseException:
            await events.aclose()
            self._note_left(request, None)
            raise
        if isinstance(first, response_events.StreamHead):
            body = self._hand_on(request, events)
            return message.Response(first.status, {}, body, first.fields)
        await events.aclose()
        if isinstance(first, response_events.CompleteResponse):
            self._note_end(request, "finished", outcomes.Ran.RAN, "")
            return message.Response(first.status, {}, first.body, first.fields)
        self._note_end(request, first.reason.value, first.ran, first.detail)
        return self._door.write_failure(first)

    async def _wait_for_catalog(self) -> None:
        """Lets a call that comes right after the start wait for settings."""
        tools = self._tools
        starts_for_ms = tools.began_ms + STARTING_MS - tools.outside.now_ms()
        wait_ms = min(FIRST_SETTINGS_WAIT_MS, starts_for_ms)
        if tools.view.catalog_came.is_set() or wait_ms <= 0.0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                await tools.view.catalog_came.wait()

    async def _hand_on(
        self,
        request: requests.Request,
        events: AsyncIterator[response_events.Event],
    ) -> AsyncIterator[bytes]:
        pauses = _Pauses(request.arrived_ms)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    if isinstance(event, response_events.StreamEvents):
                        pauses.note_event(self._tools.outside.now_ms())
                        yield event.data
                    elif isinstance(event, outcomes.NotServed):
                        self._note_end(
                            request,
                            event.reason.value,
                            event.ran,
                            event.detail,
                            pauses,
                        )
                        # A proper end would make a broken answer look whole.
                        raise ConnectionAbortedError(event.detail)
        except (GeneratorExit, asyncio.CancelledError):
            self._note_left(request, pauses)
            raise
        self._note_end(request, "finished", outcomes.Ran.RAN, "", pauses)

    def _note_left(
        self, request: requests.Request, pauses: "_Pauses | None"
    ) -> None:
        """Notes that the caller left, or that this process ends."""
        self._note_end(
            request,
            CALLER_LEFT,
            outcomes.Ran.UNKNOWN,
            "the caller's connection ended before the answer",
            pauses,
        )

    def _refuse(
        self, refusal: outcomes.NotServed, request_id: str
    ) -> message.Response:
        self._tools.metrics.note_outcome(refusal.reason, refusal.ran)
        self._log.info(
            "Request refused: {}. {}",
            refusal.reason.value,
            refusal.detail,
            request_id=request_id,
            revision=self._tools.view.catalog.revision,
        )
        return self._door.write_failure(refusal)

    def _note_end(
        self,
        request: requests.Request,
        reason: str,
        ran: outcomes.Ran,
        detail: str,
        pauses: "_Pauses | None" = None,
    ) -> None:
        self._tools.metrics.note_outcome(reason, ran.value)
        if pauses is not None:
            self._tools.metrics.note_pause(
                request.prompt_tokens, pauses.longest_ms
            )
        took_ms = self._tools.outside.now_ms() - request.arrived_ms
        self._log.info(
            "Request ended: {} ({}). {}",
            reason,
            ran.value,
            detail,
            request_id=request.request_id,
            route=request.payload.route.name,
            workspace=request.workload.workspace,
            revision=request.workload.revision,
            prompt_tokens=request.prompt_tokens,
            took_ms=round(took_ms),
            aim_ms=request.payload.route.latency_slo_ms,
            gap_aim_ms=request.payload.route.gap_slo_ms,
            first_ms=round(pauses.first_ms) if pauses else None,
            longest_pause_ms=round(pauses.longest_ms) if pauses else None,
        )


class _Pauses:
    """Times between the events of one stream, as they are handed on.

    Attributes:
        first_ms: From the call's arrival to the first event.
        longest_ms: Longest time between two events so far.
    """

    def __init__(self, arrived_ms: float) -> None:
        self.first_ms = -1.0
        self.longest_ms = 0.0
        self._last_ms = arrived_ms

    def note_event(self, now_ms: float) -> None:
        """Notes that events are handed on now."""
        passed_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if self.first_ms < 0.0:
            self.first_ms = passed_ms
        else:
            self.longest_ms = max(self.longest_ms, passed_ms)
