"""One attempt to have a call that is passed on answered by one target."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import cost as costs
from ruddergate.decisions import length_band
from ruddergate.entry import attempt_log
from ruddergate.entry import first_event
from ruddergate.entry import lost_call
from ruddergate.entry import placement
from ruddergate.entry import relay_progress
from ruddergate.entry import reservation_keeper
from ruddergate.entry import suspects
from ruddergate.entry import tools as tool_types
from ruddergate.relay import orders
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests

# A connection to a target in reach is up in a few milliseconds; packets lost
# on the way are sent again after a second, which is too late to wait for. A
# short prompt, due in 300 ms, can then still be in time elsewhere.
CONNECT_TIMEOUT_MS = 150.0
# Silence that a target is allowed before another one takes over, where the
# route lets another one take over: times the aim, and at least so long.
SILENCE_AIMS = 3.0
SILENCE_LEAST_MS = 900.0
# Where memory was refused, some may be free again after this time.
_NO_MEMORY_RETRY_MS = 500.0
# Where engines gave no sign of life, others may serve after this time.
_SIGN_RETRY_MS = 500.0
# Urgency of the shortest prompts; plain calls and others follow behind.
_URGENCY_FIRST = 3
_GONE_REASONS = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_REPLACED,
)
# Connections that failed before the call was sent; its token is unused.
_NOT_SENT_REASONS = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_UNREACHABLE,
)
_NOT_THE_TARGETS_FAULT = (
    outcomes.Reason.TIME_LIMIT,
    outcomes.Reason.QUARANTINED,
    outcomes.Reason.TARGET_LEAVING,
    outcomes.Reason.TARGET_QUIET,
    outcomes.Reason.TARGET_RATE_LIMITED,
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
)


class RelayAttempt:
    """One attempt; `run` yields its answer once.

    Args:
        request: The call.
        placed: The target, and those that help it.
        progress: Is brought up to date as the answer comes.
        send: Sends the call.
        keeper: Holds memory on the helpers.
        tools: What the stages share.
    """

    def __init__(
        self,
        request: requests.Request,
        placed: placement.Placed,
        progress: relay_progress.Progress,
        send: upstream_requests.Send,
        keeper: reservation_keeper.ReservationKeeper,
        tools: tool_types.Tools,
    ) -> None:
        self._request = request
        self._seats = placed.seats
        self._progress = progress
        self._send = send
        self._keeper = keeper
        self._tools = tools
        self._at_fault: set[str] = set()
        # Targets from which nothing came back; their hall may be cut off.
        self._out_of_reach: set[str] = set()
        # Targets in whose place nobody or another one answered.
        self._gone: set[str] = set()
        self._sent_ms = tools.outside.now_ms()
        # Whether a token of the target's rate limit was taken.
        self._has_token = False
        self._has_first = False
        self._has_answered = False

    async def run(self) -> AsyncIterator[response_events.Event]:
        """Yields what the caller is to get, and at last how it ended."""
        reservations = self._make_reservations()
        self._progress.blamed = ()
        attempt_log.log_start(
            self._request, self._seats, self._progress, self._tools
        )
        try:
            signs = await self._ask_signs()
            if any(sign is not orders.ProbeStatus.ALIVE for sign in signs):
                yield self._give_up_unsent(signs)
                return
            refusal = self._refuse_withdrawn()
            if refusal is not None:
                yield refusal
                return
            missing = await self._keeper.take(
                tuple(reservations.values()), self._request.request_id
            )
            if missing:
                yield self._give_up_memory(missing)
                return
            self._sent_ms = self._tools.outside.now_ms()
            upstream_request = self._make_errand(reservations)
            traceparent = self._request.traceparent
            with self._tools.tracer.span("attempt", traceparent):
                async with contextlib.aclosing(
                    self._read(upstream_request, bool(reservations))
                ) as events:
                    async for event in events:
                        if self._note(event):
                            yield event
        finally:
            self._keeper.give_back(tuple(reservations.values()))
            self._post_ends()

    def _refuse_send(self) -> outcomes.NotServed | None:
        """Returns why the call may not be sent in this moment, if so."""
        refusal = self._tools.suspects.refuse(self._request)
        refusal = refusal or self._refuse_withdrawn()
        if refusal is not None:
            return refusal
        seat = self._seats[0]
        refusal = self._tools.admit(seat.target, seat.attempt_id)
        self._has_token = refusal is None
        return refusal

    def _refuse_withdrawn(self) -> outcomes.NotServed | None:
        """Returns a refusal if the target or a helper takes no calls now."""
        return self._tools.refuse_send([seat.target for seat in self._seats])

    async def _ask_signs(self) -> tuple[orders.ProbeStatus, ...]:
        """Returns signs of life of this attempt's targets, once one has failed.

        Engines die together, and each refusal names one of them only: a prompt
        read by nine engines, four of them dead, was sent five times within
        250 ms and refused.
        """
        if not self._progress.helpers_failed:
            return ()
        return await self._keeper.ask_signs(
            [seat.target for seat in self._seats]
        )

    def _give_up_unsent(
        self, signs: tuple[orders.ProbeStatus, ...]
    ) -> outcomes.NotServed:
        """Returns the outcome; nothing was sent."""
        missing = tuple(
            seat.target.target_id
            for seat, sign in zip(self._seats, signs, strict=True)
            if sign is not orders.ProbeStatus.ALIVE
        )
        self._out_of_reach |= {
            seat.target.target_id
            for seat, sign in zip(self._seats, signs, strict=True)
            if sign is orders.ProbeStatus.NO_RESPONSE
        }
        self._gone |= set(missing) - self._out_of_reach
        self._progress.excluded |= set(missing)
        self._at_fault |= set(missing)
        reason = outcomes.Reason.HELPER_UNREACHABLE
        if signs[0] is not orders.ProbeStatus.ALIVE:
            reason = outcomes.Reason.TARGET_UNREACHABLE
        return outcomes.refuse(
            reason, f"no sign of life from {', '.join(missing)}", _SIGN_RETRY_MS
        )

    async def _read(
        self,
        upstream_request: upstream_requests.UpstreamRequest,
        is_watched: bool,
    ) -> AsyncIterator[response_events.Event]:
        """Yields the answer; a watched target must show that it lives.

        It is watched until its first events; from then on their gaps tell. So
        are its helpers, without which there won't be any.
        """
        async with contextlib.aclosing(self._send(upstream_request)) as events:
            hopeless = []
            if upstream_request.helpers:
                hopeless.append(self._wait_for_helpers_end())
            if is_watched:
                hopeless.append(self._wait_for_silence())
            if hopeless:
                first = await first_event.await_first(events, hopeless)
                yield first
                if isinstance(first, outcomes.NotServed):
                    return
            async for event in events:
                yield event

    async def _wait_for_silence(self) -> outcomes.NotServed:
        """Returns how the attempt ends when the target is silent."""
        await self._keeper.wait_for_silence(self._seats[0].target)
        return outcomes.NotServed(
            outcomes.Reason.TARGET_LOST,
            outcomes.Ran.UNKNOWN,
            "the target gave no sign of life",
        )

    async def _wait_for_helpers_end(self) -> outcomes.NotServed:
        """Returns how the attempt ends when a helper has ended.

        The target would stand still for a second and a half and then refuse;
        meanwhile the prompt may be read again with another helper. Where it
        may not be sent again, this waits for as long as the target does.
        """
        helpers = [seat.target.incarnation for seat in self._seats[1:]]
        incarnation = await self._tools.scheduler.ends.wait_for_any(helpers)
        request = self._request
        is_large = length_band.is_long(request.prompt_tokens)
        may_again = request.payload.route.repeatable
        if not may_again or not await self._tools.secure_retry(is_large):
            await asyncio.Event().wait()
        self._note(response_events.HelperFaultReported(incarnation.target_id))
        self._gone.add(incarnation.target_id)
        # A content that ends several engines at once must not be cleared by
        # that: the one that was to answer may have ended, too.
        self._tools.note_lost(self._describe_lost())
        return outcomes.NotServed(
            outcomes.Reason.HELPER_ENDED,
            outcomes.Ran.UNKNOWN,
            f"helper {incarnation.target_id} has ended",
        )

    def _give_up_memory(
        self, missing: tuple[reservation_keeper.Missing, ...]
    ) -> outcomes.NotServed:
        """Returns the outcome; a reservation runs nothing, whatever happens."""
        names = [each.reservation.target.target_id for each in missing]
        self._progress.excluded |= set(names)
        lost = (
            orders.OrderResult.NOT_LISTENING,
            orders.OrderResult.UNREACHABLE,
        )
        for name, each in zip(names, missing, strict=True):
            if each.answer in lost:
                self._at_fault.add(name)
            if each.answer is orders.OrderResult.UNREACHABLE:
                self._out_of_reach.add(name)
            if each.answer is orders.OrderResult.NOT_LISTENING:
                self._gone.add(name)
        return outcomes.refuse(
            outcomes.Reason.NO_MEMORY,
            f"no memory could be set aside at {', '.join(names)}",
            _NO_MEMORY_RETRY_MS,
        )

    def _note(self, event: response_events.Event) -> bool:
        """Takes an event in; returns whether it is to be handed on."""
        match event:
            case response_events.LoadReported():
                self._tools.scheduler.post(placement.Reported(event.report))
                return False
            case response_events.HelperFaultReported():
                self._at_fault.add(event.target_id)
                self._progress.excluded |= {event.target_id}
                self._progress.blamed += (event.target_id,)
                return False
            case response_events.StreamHead():
                is_new = not self._progress.is_begun
                self._progress.is_begun = True
                return is_new
            case response_events.CompleteResponse():
                self._has_answered = True
            case response_events.StreamEvents():
                self._has_answered = True
                self._note_first()
                self._progress.last_event_id = event.last_event_id
            case outcomes.NotServed():
                self._note_failure(event)
        return True

    def _note_failure(self, ended: outcomes.NotServed) -> None:
        if self._has_token and ended.reason in _NOT_SENT_REASONS:
            self._tools.give_back(self._seats[0].target)
        if ended.reason in _NOT_THE_TARGETS_FAULT or self._at_fault:
            return
        writer = self._seats[0].target.target_id
        self._at_fault.add(writer)
        if ended.reason is outcomes.Reason.TARGET_LOST:
            self._tools.note_lost(self._describe_lost())
        if ended.reason is outcomes.Reason.TARGET_UNREACHABLE:
            self._out_of_reach.add(writer)
        if ended.reason in _GONE_REASONS:
            self._gone.add(writer)

    def _describe_lost(self) -> lost_call.LostCall:
        target = self._seats[0].target
        return lost_call.LostCall(
            self._request.request_id,
            suspects.name_content(self._request),
            target,
            self._tools.outside.now_ms() - self._sent_ms,
            costs.predict_prefill_ms(
                self._request.workload.pool, self._request.prompt_tokens
            ),
            self._tools.scheduler.count_streams(target.target_id),
        )

    def _note_first(self) -> None:
        if self._has_first:
            return
        self._has_first = True
        request = self._request
        took_ms = self._tools.outside.now_ms() - request.arrived_ms
        self._tools.metrics.note_first_token(request.prompt_tokens, took_ms)
        for seat in self._seats:
            self._tools.scheduler.post(placement.FirstToken(seat, "", 0))

    def _post_ends(self) -> None:
        writers_hall = self._seats[0].target.hall
        for seat in self._seats:
            name = seat.target.target_id
            # A helper that a target blames may well be out of its reach.
            is_blamed = name in self._progress.blamed
            is_away = seat.target.hall != writers_hall
            self._tools.scheduler.post(
                placement.Ended(
                    seat,
                    name in self._at_fault,
                    name in self._out_of_reach or (is_blamed and is_away),
                    self._has_answered,
                    name in self._gone,
                )
            )

    def _make_reservations(self) -> dict[str, orders.Reservation]:
        """Returns the memory to set aside on helpers, by target."""
        owner = f"{self._tools.config.vm_id}.{self._tools.incarnation}"
        return {
            seat.target.target_id: orders.Reservation(
                seat.target, f"{owner}.{seat.attempt_id}", seat.held_tokens
            )
            for seat in self._seats[1:]
            if seat.held_tokens
        }

    def _make_errand(
        self, reservations: dict[str, orders.Reservation]
    ) -> upstream_requests.UpstreamRequest:
        request = self._request
        return upstream_requests.UpstreamRequest(
            payload=request.payload,
            target=self._seats[0].target,
            workspace=request.workload.workspace,
            deadline_ms=request.deadline_ms,
            urgency=_find_urgency(request),
            resume_after=self._progress.last_event_id,
            helpers=tuple(
                _make_helper(seat, reservations) for seat in self._seats[1:]
            ),
            timeouts=self._find_patience(),
            check_admission=self._refuse_send,
        )

    def _find_patience(self) -> upstream_requests.Timeouts:
        """Returns how long silence is borne; to the end for what runs once."""
        request = self._request
        route = request.payload.route
        left_ms = request.remaining_ms(self._tools.outside.now_ms())
        if not route.repeatable:
            return upstream_requests.Timeouts(
                CONNECT_TIMEOUT_MS, left_ms, left_ms
            )
        return upstream_requests.Timeouts(
            CONNECT_TIMEOUT_MS,
            max(SILENCE_LEAST_MS, SILENCE_AIMS * route.latency_slo_ms),
            max(SILENCE_LEAST_MS, SILENCE_AIMS * route.gap_slo_ms),
            self._may_another_take_over,
        )

    async def _may_another_take_over(self) -> bool:
        """Returns whether giving the target up could help the caller.

        Silence alone is no failure: an engine that reads a long prompt says
        nothing for seconds, and goes on.
        """
        request = self._request
        being_sent = frozenset({self._seats[0].target.target_id})
        most = request.payload.route.targets_max
        if self._progress.count_sent(being_sent) >= most:
            return False
        is_large = length_band.is_long(request.prompt_tokens)
        return await self._tools.secure_retry(is_large)


def _make_helper(
    seat: placement.Seat, reservations: dict[str, orders.Reservation]
) -> upstream_requests.Helper:
    held = reservations.get(seat.target.target_id)
    return upstream_requests.Helper(
        seat.target.target_id, seat.target.address, held.name if held else ""
    )


def _find_urgency(request: requests.Request) -> int:
    """Lets shorter prompts in before longer ones."""
    return _URGENCY_FIRST + length_band.find_band(request.prompt_tokens)
