"""Answers callers whose requests are relayed unchanged."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.entry import context as contexts
from ruddergate.entry import open_requests
from ruddergate.entry import relay_admit
from ruddergate.entry import relay_progress
from ruddergate.entry import relay_run
from ruddergate.entry import reservation_keeper
from ruddergate.http import message
from ruddergate.relay import caller_protocol as caller_protocols
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.telemetry import logs

# Outcome in logs and metrics when the caller did not wait for the response.
CALLER_LEFT = "caller_left"
# A VM that has just started gets its settings within a few milliseconds, or
# within half a second on a slow link while many others start. Without the wait,
# after the loss of all VMs, callers used up their retries on refusals.
FIRST_SETTINGS_WAIT_MS = 800.0
# Time after its start in which a VM waits for settings. If it has none later,
# the store is unreachable.
STARTUP_PERIOD_MS = 3_000.0
_STOPPING = outcomes.refuse(
    outcomes.Reason.STOPPING,
    "this VM stops before the request could finish",
    # Other VMs serve it.
    0.0,
)


class RelayHandler:
    """Admits a request, runs it and returns the response.

    Args:
        context: Shared objects of the entry.
        protocol: Reads requests of callers and writes refusals.
        send: Sends a request to a target.
        keeper: Holds memory on targets for requests.
        age_limits: How old settings may be.
        tracked: The requests that are not answered yet.
        must_refuse: Returns whether a planned stop leaves no time for a request
            with the given deadline.
    """

    def __init__(
        self,
        context: contexts.EntryContext,
        protocol: caller_protocols.CallerProtocol,
        send: upstream_requests.Send,
        keeper: reservation_keeper.ReservationKeeper,
        age_limits: relay_admit.SettingsAgeLimits,
        tracked: open_requests.OpenRequests,
        must_refuse: Callable[[float], bool] = lambda deadline_ms: False,
    ) -> None:
        self._context = context
        self._protocol = protocol
        self._send = send
        self._keeper = keeper
        self._age_limits = age_limits
        self._tracked = tracked
        self._must_refuse = must_refuse
        self._log = logs.make_logger("entry")

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers a caller."""
        caller_request = self._protocol.read(incoming)
        if isinstance(caller_request, outcomes.NotServed):
            return self._refuse(caller_request, "")
        # The time limit counts from the first byte: the caller waits while a
        # slow body arrives, and during the wait for the first settings.
        arrived_ms = self._context.env.now_ms() - incoming.reading_ms
        await self._wait_for_catalog()
        await self._wait_for_keys(incoming, caller_request)
        request = relay_admit.admit(
            incoming,
            caller_request,
            arrived_ms,
            self._context,
            self._age_limits,
        )
        if isinstance(request, outcomes.NotServed):
            return self._refuse(request, caller_request.request_id)
        if self._must_refuse(request.deadline_ms):
            return self._refuse(_STOPPING, caller_request.request_id)
        progress = relay_progress.Progress(request.payload.last_event_id)
        events = relay_run.run(
            request, progress, self._send, self._keeper, self._context
        )
        with contextlib.ExitStack() as stack:
            opened = stack.enter_context(self._tracked.track(request, progress))
            try:
                first = await opened.wait_for_answer(anext(events))
            except BaseException:
                await events.aclose()
                self._log_caller_left(request, None)
                raise
            if first is None:
                first = relay_run.conclude_early(_STOPPING, progress)
            if isinstance(first, response_events.StreamHead):
                body = self._stream_body(request, events, stack.pop_all())
                return message.Response(first.status, {}, body, first.fields)
        await events.aclose()
        if isinstance(first, response_events.CompleteResponse):
            self._log_end(request, "finished", outcomes.Ran.RAN, "")
            return message.Response(first.status, {}, first.body, first.fields)
        self._log_end(request, first.reason.value, first.ran, first.detail)
        return self._protocol.write_failure(first)

    async def _wait_for_catalog(self) -> None:
        """Waits for the first settings if the process has just started."""
        context = self._context
        startup_left_ms = (
            context.started_ms + STARTUP_PERIOD_MS - context.env.now_ms()
        )
        wait_ms = min(FIRST_SETTINGS_WAIT_MS, startup_left_ms)
        if context.view.catalog_loaded.is_set() or wait_ms <= 0.0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000.0):
                await context.view.catalog_loaded.wait()

    async def _wait_for_keys(
        self,
        incoming: message.IncomingRequest,
        caller_request: caller_protocols.CallerRequest,
    ) -> None:
        """Waits while peers are asked for later settings than the store's.

        Not where a removed key may be used until this VM learns of it.
        """
        view = self._context.view
        if (
            view.keys_released.is_set()
            or math.isinf(self._age_limits.key_age_max_ms)
            or not relay_admit.needs_key(incoming, caller_request, view.catalog)
        ):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_SETTINGS_WAIT_MS / 1000.0):
                await view.keys_released.wait()

    async def _stream_body(
        self,
        request: requests.Request,
        events: AsyncIterator[response_events.Event],
        tracking: contextlib.ExitStack,
    ) -> AsyncIterator[bytes]:
        pauses = _EventPauses(request.arrived_ms)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    if isinstance(event, response_events.StreamEvents):
                        pauses.note_event(self._context.env.now_ms())
                        yield event.data
                    elif isinstance(event, outcomes.NotServed):
                        self._log_end(
                            request,
                            event.reason.value,
                            event.ran,
                            event.detail,
                            pauses,
                        )
                        # A regular end would make a broken response look
                        # complete.
                        raise ConnectionAbortedError(event.detail)
        except (GeneratorExit, asyncio.CancelledError):
            self._log_caller_left(request, pauses)
            raise
        finally:
            tracking.close()
        self._log_end(request, "finished", outcomes.Ran.RAN, "", pauses)

    def _log_caller_left(
        self, request: requests.Request, pauses: "_EventPauses | None"
    ) -> None:
        """Logs that the caller disconnected, or that this process stops."""
        self._log_end(
            request,
            CALLER_LEFT,
            outcomes.Ran.UNKNOWN,
            "the caller's connection was closed before the end of the answer",
            pauses,
        )

    def _refuse(
        self, refusal: outcomes.NotServed, request_id: str
    ) -> message.Response:
        self._context.metrics.record_outcome(refusal.reason, refusal.ran)
        self._log.info(
            "Request refused: {}. {}",
            refusal.reason.value,
            refusal.detail,
            request_id=request_id,
            revision=self._context.view.catalog.revision,
        )
        return self._protocol.write_failure(refusal)

    def _log_end(
        self,
        request: requests.Request,
        reason: str,
        ran: outcomes.Ran,
        detail: str,
        pauses: "_EventPauses | None" = None,
    ) -> None:
        self._context.metrics.record_outcome(reason, ran.value)
        if pauses is not None:
            self._context.metrics.record_pause(
                request.prompt_tokens, pauses.longest_ms
            )
        took_ms = self._context.env.now_ms() - request.arrived_ms
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


class _EventPauses:
    """Pauses between the events of one stream, as sent to the caller.

    Attributes:
        first_ms: Time from the request's arrival to the first event; negative
            before it.
        longest_ms: Longest pause between two events so far.
    """

    def __init__(self, arrived_ms: float) -> None:
        self.first_ms = -1.0
        self.longest_ms = 0.0
        self._last_ms = arrived_ms

    def note_event(self, now_ms: float) -> None:
        """Records that events are sent now."""
        elapsed_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if self.first_ms < 0.0:
            self.first_ms = elapsed_ms
        else:
            self.longest_ms = max(self.longest_ms, elapsed_ms)
