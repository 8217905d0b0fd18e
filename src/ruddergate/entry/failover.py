"""One attempt, and a second one beside it while its target is silent.

A silent target may still respond: an engine writes no tokens while it reads a
long prompt. So its attempt is left open until another target has responded. The
first of the two to respond is read on, and the other attempt is closed.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import length_band
from ruddergate.entry import attempt_log
from ruddergate.entry import attempt_outcome
from ruddergate.entry import context as contexts
from ruddergate.entry import crashed_targets
from ruddergate.entry import model_run
from ruddergate.entry import relay_attempt
from ruddergate.entry import relay_placement
from ruddergate.entry import relay_progress
from ruddergate.entry import scheduler_messages
from ruddergate.entry import target_connector
from ruddergate.relay import response_event as response_events

# Pause before a further try while a target stays silent and no other target
# or no retry was to be had. It grows each time that others are silent, too.
_RETRY_PAUSE_S = 0.2
_MAX_RETRY_PAUSE_S = 1.0
# Tries beside one silent target that end before the request is sent.
_MAX_UNSENT_TRIES = 8
# These are not among them: they last as long as a pause, or end at any moment.
_UNCOUNTED_REASONS = (
    outcomes.Reason.TARGET_SILENT,
    outcomes.Reason.RETRY_BUDGET_SPENT,
)

# How long a target may take to answer a probe before a second attempt is sent:
# longer than the connection, which shows whether it can be reached; and once
# targets were silent, as on a slow link all of them miss the first timeout.
_PROBE_TIMEOUT_MS = target_connector.TOTAL_TIMEOUT_MS + 50.0
_PATIENT_PROBE_TIMEOUT_MS = 450.0

MakeAttempt = Callable[
    [
        scheduler_messages.PlacementGrant,
        relay_progress.Progress,
        float | None,
    ],
    relay_attempt.RelayAttempt,
]
"""Makes an attempt; the last argument is its `probe_timeout_ms`."""
_Events = AsyncIterator[response_events.Event]


class FailoverAttempt:
    """An attempt that moves to another target if its own stays silent.

    Attributes:
        grant: Placement of the attempt that is being read.
        progress: Progress of the request up to that attempt.
    """

    def __init__(
        self,
        request: requests.Request,
        grant: scheduler_messages.PlacementGrant,
        progress: relay_progress.Progress,
        make_attempt: MakeAttempt,
        context: contexts.EntryContext,
    ) -> None:
        """Creates an attempt that has not begun.

        Args:
            request: The relayed request.
            grant: The target, and its helpers.
            progress: Updated as the response arrives.
            make_attempt: Creates an attempt at the granted targets.
            context: Shared objects of the entry.
        """
        self.grant = grant
        self.progress = progress
        self._request = request
        self._make_attempt = make_attempt
        self._context = context

    async def run(self) -> _Events:
        """Yields what the caller is to get, and last the outcome."""
        attempt = self._make_attempt(self.grant, self.progress, None)
        events = attempt.run()
        try:
            while (event := await anext(events, None)) is not None:
                if not isinstance(event, response_events.TargetSilent):
                    yield event
                    continue
                standby = self._start_standby(attempt)
                try:
                    event = await self._wait_for_response(
                        attempt, events, standby
                    )
                    if standby.has_responded() and event is None:
                        await events.aclose()
                        self.grant = standby.grant
                        self.progress = standby.progress
                        event = standby.first_event
                        attempt, events = standby.take_over()
                finally:
                    await standby.close()
                yield event
        finally:
            await events.aclose()

    def _start_standby(self, attempt: relay_attempt.RelayAttempt) -> "_Standby":
        self._log_silence("trying another beside it")
        return _Standby(
            self._request,
            self.grant,
            attempt.silent_targets,
            self.progress,
            self._make_attempt,
            self._context,
        )

    async def _wait_for_response(
        self,
        attempt: relay_attempt.RelayAttempt,
        events: _Events,
        standby: "_Standby",
    ) -> response_events.Event | None:
        """Returns the silent target's next event, or None.

        Returns:
            The event; None if the standby has responded before, or after the
            silent target has failed.
        """
        reading = asyncio.ensure_future(anext(events))
        try:
            await asyncio.wait(
                {reading, standby.responding},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not reading.done() and not standby.has_responded():
                # No other target can be tried.
                await asyncio.wait({reading})
            if not reading.done():
                self._log_silence("another has responded", "replaced")
                # Before its iterator ends, which posts how the attempt ended.
                self._log_failure(attempt.give_up())
                return None
            event = reading.result()
        finally:
            await _end(reading)
        failure = attempt_outcome.find_failure(event, self.progress)
        if failure is None:
            self._log_silence("it responds again", "responded")
            return event
        self._log_silence("it has failed", "failed")
        # Releases its memory and places, which the other one may need.
        await events.aclose()
        await standby.finish_alone()
        if standby.has_responded():
            self._log_failure(failure)
            return None
        return event

    def _log_failure(self, failure: outcomes.NotServed) -> None:
        attempt_log.log_failure(
            self._request,
            self.grant.placements[0],
            failure,
            self.progress,
            self._context,
        )
        self._context.metrics.failed_attempts.inc(
            {"result": failure.reason.value}
        )

    def _log_silence(self, state: str, result: str = "") -> None:
        attempt_log.log_silence(
            self._request,
            self.grant.placements[0],
            state,
            self.progress,
            self._context,
        )
        if result:
            self._context.metrics.silent_attempts.inc({"result": result})


class _Standby:
    """Attempts beside one whose target is silent, until one has a response.

    Attributes:
        responding: The task that makes them; done once there is a response, or
            once no further attempt may be made.
        grant: Placement of the attempt that has responded.
        progress: Progress of the request as if the silent target were given up.
        first_event: The first event of the response.
    """

    def __init__(
        self,
        request: requests.Request,
        silent: scheduler_messages.PlacementGrant,
        also_silent: frozenset[str],
        progress: relay_progress.Progress,
        make_attempt: MakeAttempt,
        context: contexts.EntryContext,
    ) -> None:
        """Starts the task.

        Args:
            request: The relayed request.
            silent: Placement of the silent target.
            also_silent: Helpers of it that seem to have ended.
            progress: Progress of the request; failed attempts are recorded.
            make_attempt: Creates an attempt at the granted targets.
            context: Shared objects of the entry.
        """
        self.grant = silent
        self.progress = progress
        self.first_event: response_events.Event | None = None
        self._request = request
        self._silent = silent.placements[0].target
        self._shared_progress = progress
        self._make_attempt = make_attempt
        self._context = context
        # Other targets that do not respond either.
        self._also_silent = set(also_silent)
        self._silent_rounds = 0
        # Whether the silent target has failed.
        self._is_alone = False
        self._attempt: relay_attempt.RelayAttempt | None = None
        self._events: _Events | None = None
        self.responding = asyncio.ensure_future(self._run())

    def has_responded(self) -> bool:
        """Returns whether there is a response to read on."""
        return self.first_event is not None

    def take_over(self) -> tuple[relay_attempt.RelayAttempt, _Events]:
        """Returns the attempt and its further events, to be closed later."""
        taken = self._attempt, self._events
        self._events = None
        return taken

    async def finish_alone(self) -> None:
        """Waits for an attempt that was sent, as the silent one has failed."""
        self._is_alone = True
        if self._is_sent():
            await asyncio.wait({self.responding})

    async def close(self) -> None:
        """Ends the attempt unless it was taken over."""
        await _end(self.responding)
        if self._events is not None:
            await self._events.aclose()
            self._count_sent()

    def _is_sent(self) -> bool:
        return self._attempt is not None and self._attempt.is_sent

    def _count_sent(self) -> None:
        """Counts an attempt that has failed, or that was not needed."""
        if not self._is_sent():
            return
        target_id = self.grant.placements[0].target.target_id
        self._shared_progress.sent_targets |= {target_id}
        self._shared_progress.counted_attempts += 1

    async def _run(self) -> None:
        unsent_tries = 0
        while await self._may_try() and unsent_tries < _MAX_UNSENT_TRIES:
            if await self._has_retry():
                failure = await self._try_once()
                if failure is None:
                    return
                unsent_tries += failure.reason not in _UNCOUNTED_REASONS
                if failure.reason is outcomes.Reason.QUARANTINED:
                    return
            if self._is_alone:
                return
            pause_s = _RETRY_PAUSE_S * (1 + self._silent_rounds)
            await asyncio.sleep(min(pause_s, _MAX_RETRY_PAUSE_S))

    async def _may_try(self) -> bool:
        """Returns whether the request may be sent to a further target."""
        request = self._request
        progress = self._shared_progress
        if progress.has_head and not request.payload.route.is_resumable:
            return False
        if request.payload.shared_parts and not progress.has_lasted:
            # A part of its prompt may have crashed the target.
            await self._context.has_crashed(self._silent.incarnation)
        return not await crashed_targets.is_limit_reached(
            request,
            progress,
            self._context,
            frozenset({self._silent.target_id}),
        )

    async def _has_retry(self) -> bool:
        """Returns whether the budget has a retry, which is taken on sending.

        Streams whose targets are all silent would hold retries for nothing.
        """
        is_large = length_band.is_long(self._request.prompt_tokens)
        return await self._context.ensure_retry(is_large)

    async def _try_once(self) -> outcomes.NotServed | None:
        """Makes one attempt; returns its failure, or None with a response."""
        request = self._request
        context = self._context
        self._attempt = None
        self.progress = self._make_progress()
        refusal = await context.quarantine.wait_for_trial(
            request, request.remaining_ms(context.env.now_ms())
        )
        if refusal is not None:
            return refusal
        grant = await relay_placement.wait_for_placement(
            request,
            self.progress,
            context,
            self._find_forbidden(),
        )
        if isinstance(grant, outcomes.NotServed):
            self._also_silent.clear()
            return grant
        self.grant = grant
        self._attempt = self._make_attempt(
            grant, self.progress, self._find_probe_timeout_ms()
        )
        self._events = self._attempt.run()
        event = await self._read_first()
        failure = attempt_outcome.find_failure(event, self._shared_progress)
        if failure is None:
            self.first_event = event
            return None
        if failure.reason is outcomes.Reason.TARGET_SILENT:
            self._also_silent |= self._attempt.silent_targets
            self._silent_rounds += 1
        events, self._events = self._events, None
        await events.aclose()
        self._note_failure(failure)
        return failure

    def _find_probe_timeout_ms(self) -> float:
        if self._silent_rounds:
            return _PATIENT_PROBE_TIMEOUT_MS
        return _PROBE_TIMEOUT_MS

    def _find_forbidden(self) -> frozenset[str]:
        """Returns the targets that are silent, unless these are all."""
        pool = self._silent.pool
        listed = self._context.view.listing.targets
        others = sum(each.pool == pool for each in listed) - 1
        if len(self._also_silent) >= others:
            self._also_silent.clear()
        return frozenset({self._silent.target_id, *self._also_silent})

    async def _read_first(self) -> response_events.Event:
        """Returns the first event that is no further silence."""
        event = await anext(self._events)
        while isinstance(event, response_events.TargetSilent):
            event = await anext(self._events)
        return event

    def _make_progress(self) -> relay_progress.Progress:
        """Returns the progress as if the silent target were given up."""
        shared = self._shared_progress
        silent_id = self._silent.target_id
        interrupted = shared.interrupted
        if shared.has_begun:
            interrupted |= {self._silent.incarnation}
        return dataclasses.replace(
            shared,
            ran=outcomes.Ran.UNKNOWN,
            counted_attempts=shared.counted_attempts + 1,
            sent_targets=shared.sent_targets | {silent_id},
            excluded=shared.excluded | {silent_id},
            interrupted=interrupted,
            faulted_helpers=(),
            pinned_target_id="",
        )

    def _note_failure(self, failure: outcomes.NotServed) -> None:
        """Records a failed attempt in the progress of the request."""
        request = self._request
        shared = self._shared_progress
        target_id = self.grant.placements[0].target.target_id
        attempt_log.log_failure(
            request, self.grant.placements[0], failure, shared, self._context
        )
        self._context.metrics.failed_attempts.inc(
            {"result": failure.reason.value}
        )
        shared.ran = model_run.combine_ran(shared.ran, failure.ran)
        attempt_outcome.exclude_target(target_id, failure, shared)
        shared.interrupted |= self.progress.interrupted - {
            self._silent.incarnation
        }
        self._count_sent()
        self._attempt = None


async def _end(task: asyncio.Future) -> None:
    """Cancels a task unless it is done, and waits until it is."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})
    with contextlib.suppress(asyncio.CancelledError):
        task.result()
