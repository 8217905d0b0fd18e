"""One attempt to relay a request to one target."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import cost as costs
from ruddergate.decisions import length_band
from ruddergate.decisions import poison_requests
from ruddergate.entry import attempt_log
from ruddergate.entry import context as contexts
from ruddergate.entry import first_event
from ruddergate.entry import lost_call
from ruddergate.entry import quarantine
from ruddergate.entry import relay_progress
from ruddergate.entry import reservation_keeper
from ruddergate.entry import scheduler_messages
from ruddergate.entry import target_connector
from ruddergate.relay import orders
from ruddergate.relay import response_event as response_events
from ruddergate.relay import upstream_request as upstream_requests

# Longer than what all ways to a target may take together.
CONNECT_TIMEOUT_MS = target_connector.TOTAL_TIMEOUT_MS + 30.0
# How long a target may be silent before another one is tried beside it, where
# the route allows that: a multiple of the route's `latency_slo_ms` for the
# first event, and of its `gap_slo_ms` for later ones, with a minimum.
SILENCE_TIMEOUT_SLO_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_MS = 900.0
# Retry-after when helpers refused memory; some may be free again by then.
_NO_MEMORY_RETRY_MS = 500.0
# Retry-after when targets did not respond to a probe; others may serve by then.
_PROBE_RETRY_MS = 500.0
# Targets that answer a probe later than this may just have gone on, after a
# pause of all. Then the silent target responds, too, within the grace.
_PROMPT_ANSWER_MS = 50.0
_RESUME_GRACE_S = 0.2
# Urgency of the shortest prompts and of plain calls. Longer prompts get higher
# numbers, which targets admit later.
_SHORTEST_PROMPT_URGENCY = 3
# Nothing listens at the address any more, or another incarnation does.
_EXITED_REASONS = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_REPLACED,
)
# The connection failed before the request was sent: its token of the target's
# rate limit is unused.
_CONNECT_FAILED_REASONS = (
    outcomes.Reason.TARGET_GONE,
    outcomes.Reason.TARGET_UNREACHABLE,
)
_NOT_TARGET_FAULT_REASONS = (
    outcomes.Reason.TIME_LIMIT,
    outcomes.Reason.QUARANTINED,
    outcomes.Reason.TRIAL_RUNNING,
    outcomes.Reason.TARGET_LEAVING,
    outcomes.Reason.TARGET_QUIET,
    outcomes.Reason.TARGET_RATE_LIMITED,
    outcomes.Reason.TARGET_SILENT,
    outcomes.Reason.RETRY_BUDGET_SPENT,
    outcomes.Reason.NO_MEMORY,
    outcomes.Reason.HELPER_UNREACHABLE,
)


class RelayAttempt:
    """One attempt; `run` is called once and yields the response.

    Args:
        request: The relayed request.
        grant: The target, and its helpers.
        progress: Updated as the response arrives.
        send: Sends the request to the target.
        keeper: Holds memory on the helpers.
        context: Shared objects of the entry.
        probe_timeout_ms: How long targets may take to answer a probe before a
            second attempt, beside one that may still respond, is sent; None
            for a first attempt. A second one takes its retry as it is sent.
    """

    def __init__(
        self,
        request: requests.Request,
        grant: scheduler_messages.PlacementGrant,
        progress: relay_progress.Progress,
        send: upstream_requests.Send,
        keeper: reservation_keeper.ReservationKeeper,
        context: contexts.EntryContext,
        probe_timeout_ms: float | None = None,
    ) -> None:
        self._request = request
        self._probe_timeout_ms = probe_timeout_ms
        self._is_second = probe_timeout_ms is not None
        self._placements = grant.placements
        self._progress = progress
        self._send = send
        self._keeper = keeper
        self._context = context
        self._faulted: set[str] = set()
        # Targets from which nothing came back; their hall may be partitioned.
        self._unreachable: set[str] = set()
        # Targets at whose address nothing listens, or another incarnation does.
        self._exited: set[str] = set()
        self._sent_ms = context.env.now_ms()
        # Whether a token of the target's rate limit was taken.
        self._has_rate_token = False
        self._is_sent = False
        self._has_first_event = False
        self._begun_ms = 0.0
        self._has_lasted = False
        # Whether the target was lost, which may have been due to the request.
        self._is_lost = False
        self._is_flooding = False
        self._has_answered = False
        self._answered_ms: float | None = None
        self._silent_targets: frozenset[str] = frozenset()
        # Whether a silence was yielded and no event has come since.
        self._is_silent = False
        self._liveness = keeper.make_liveness(
            grant.placements[0].target, request.request_id
        )

    @property
    def is_sent(self) -> bool:
        """Whether the request was sent to the target."""
        return self._is_sent

    @property
    def silent_targets(self) -> frozenset[str]:
        """Targets that missed a probe before sending, or seem to have ended."""
        return self._silent_targets

    def give_up(self) -> outcomes.NotServed:
        """Records that the target is abandoned; returns the outcome.

        The iterator of `run` is to be closed after this.
        """
        failure = outcomes.NotServed(
            outcomes.Reason.TARGET_LOST,
            outcomes.Ran.UNKNOWN,
            "the target did not respond in time",
        )
        self._record_failure(failure)
        return failure

    async def run(self) -> AsyncIterator[response_events.Event]:
        """Yields what the caller is to get, and last the outcome.

        A silence of the target is yielded, too.
        """
        if not self._is_second:
            self._progress.current.stage = relay_progress.Stage.PREPARING
        reservations = self._make_reservations()
        self._progress.faulted_helpers = ()
        attempt_log.log_start(
            self._request, self._placements, self._progress, self._context
        )
        try:
            probes = await self._probe_targets()
            if any(not _is_alive(probe) for probe in probes):
                yield self._fail_probes(probes)
                return
            refusal = self._check_admission()
            if refusal is not None:
                yield refusal
                return
            missing = await self._keeper.reserve(
                tuple(reservations.values()),
                self._request.request_id,
                self._liveness,
            )
            if missing:
                yield self._fail_reservations(missing)
                return
            self._sent_ms = self._context.env.now_ms()
            upstream_request = self._make_upstream_request(reservations)
            traceparent = self._request.traceparent
            with self._context.tracer.span("attempt", traceparent):
                async with contextlib.aclosing(
                    self._read_response(upstream_request, bool(reservations))
                ) as events:
                    async for event in events:
                        if self._process_event(event):
                            yield event
        finally:
            self._keeper.release(tuple(reservations.values()))
            self._post_attempt_ends()
            self._context.quarantine.on_attempt_ended(
                self._request, self._is_lost
            )

    def _check_before_send(self) -> outcomes.NotServed | None:
        """Returns a refusal if the request must not be sent at this moment."""
        if self._is_second and not self._context.budget.try_spend():
            return outcomes.refuse(
                outcomes.Reason.RETRY_BUDGET_SPENT,
                "no retry is left for a second attempt",
            )
        refusal = self._check_target_before_send()
        if refusal is not None and self._is_second:
            self._context.budget.refund()
        return refusal

    def _check_target_before_send(self) -> outcomes.NotServed | None:
        refusal = self._check_admission()
        if refusal is not None:
            return refusal
        placement = self._placements[0]
        refusal = self._context.take_rate_token(
            placement.target, placement.attempt_id
        )
        self._has_rate_token = refusal is None
        if refusal is not None:
            return refusal
        refusal = self._context.quarantine.admit(self._request)
        if refusal is not None:
            self._context.return_rate_token(
                placement.target, placement.attempt_id
            )
            self._has_rate_token = False
        self._is_sent = refusal is None
        if self._is_sent:
            # Of a second attempt, too: the first may not be sent yet.
            self._progress.current.stage = relay_progress.Stage.SENT
        return refusal

    def _check_admission(self) -> outcomes.NotServed | None:
        """Returns a refusal if the target or a helper accepts no requests."""
        return self._context.check_admission(
            [placement.target for placement in self._placements]
        )

    async def _probe_targets(self) -> tuple[orders.ProbeResult, ...]:
        """Probes the target and its helpers if they may not respond.

        Engines die together, but each refusal names only one of them, and each
        further attempt would find the next one. Engines also pause together,
        and a second attempt at one of them would spend a retry for nothing.

        Returns:
            The probe results in order; empty without a reason to probe.
        """
        if not (self._progress.helper_failures or self._is_second):
            return ()
        began_ms = self._context.env.now_ms()
        probes = await self._keeper.probe_all(
            [placement.target for placement in self._placements],
            self._probe_timeout_ms or reservation_keeper.PROBE_TIMEOUT_MS,
        )
        took_ms = self._context.env.now_ms() - began_ms
        if self._is_second and took_ms > _PROMPT_ANSWER_MS:
            await asyncio.sleep(_RESUME_GRACE_S)
        return probes

    def _fail_probes(
        self, probes: tuple[orders.ProbeResult, ...]
    ) -> outcomes.NotServed:
        """Records failed probes; returns the outcome, with nothing sent."""
        found = {
            placement.target.target_id: probe
            for placement, probe in zip(self._placements, probes, strict=True)
        }
        missing = {
            target_id
            for target_id, probe in found.items()
            if not _is_alive(probe)
        }
        detail = (
            f"no answer to a health probe from {', '.join(sorted(missing))}"
        )
        if self._is_second and not any(map(_is_known_lost, probes)):
            # They may be paused, and respond in a moment.
            self._silent_targets |= missing
            return outcomes.refuse(outcomes.Reason.TARGET_SILENT, detail)
        self._unreachable |= {
            target_id
            for target_id in missing
            if found[target_id].status is orders.ProbeStatus.NO_RESPONSE
        }
        self._exited |= missing - self._unreachable
        self._progress.excluded |= missing
        self._faulted |= missing
        reason = outcomes.Reason.HELPER_UNREACHABLE
        if not _is_alive(probes[0]):
            reason = outcomes.Reason.TARGET_UNREACHABLE
        return outcomes.refuse(reason, detail, _PROBE_RETRY_MS)

    async def _read_response(
        self,
        upstream_request: upstream_requests.UpstreamRequest,
        is_watched: bool,
    ) -> AsyncIterator[response_events.Event]:
        """Yields the response, and silences found before its first event.

        A watched target is probed until its first event; after that, gaps
        between events show its silence. Helpers are watched for just as long,
        since without them there will be no events.

        Args:
            upstream_request: What to send.
            is_watched: Whether the target is probed.

        Yields:
            The events of the response.
        """
        async with contextlib.aclosing(self._send(upstream_request)) as events:
            watches = []
            if self._request.payload.route.repeatable:
                if upstream_request.helpers:
                    watches.append(self._wait_for_helper_end())
                if is_watched:
                    watches.append(self._wait_for_silence())
            if watches:
                first_events = first_event.read_first(events, watches)
                async with contextlib.aclosing(first_events):
                    async for event in first_events:
                        yield event
                        if isinstance(event, outcomes.NotServed):
                            return
            async for event in events:
                yield event

    async def _wait_for_silence(self) -> response_events.TargetSilent:
        """Returns once the target stops responding to probes.

        It may have died, and its connection with it, or be paused.
        """
        await self._keeper.wait_until_silent(self._liveness)
        self._context.metrics.unresponsive_targets.inc({})
        return response_events.TargetSilent()

    async def _wait_for_helper_end(self) -> response_events.TargetSilent:
        """Returns once a helper seems to have ended.

        The target would stall for a second and a half and then refuse, while
        the prompt could be read with another helper meanwhile. But the helper
        may live, and the target respond.
        """
        helpers = [
            placement.target.incarnation for placement in self._placements[1:]
        ]
        ends = self._context.scheduler.incarnation_ends
        now_ms = self._context.env.now_ms()
        incarnation = await ends.wait_for_any(helpers, now_ms)
        self._silent_targets |= {incarnation.target_id}
        attempt_log.log_helper_end(
            self._request, self._placements, incarnation, self._context
        )
        return response_events.TargetSilent()

    def _fail_reservations(
        self, missing: tuple[reservation_keeper.FailedReservation, ...]
    ) -> outcomes.NotServed:
        """Records failed reservations; returns the outcome.

        A reservation runs nothing, whatever became of it.
        """
        target_ids = [each.reservation.target.target_id for each in missing]
        self._progress.excluded |= set(target_ids)
        lost_results = (
            orders.OrderResult.NOT_LISTENING,
            orders.OrderResult.UNREACHABLE,
        )
        for target_id, each in zip(target_ids, missing, strict=True):
            if each.result in lost_results:
                self._faulted.add(target_id)
            if each.result is orders.OrderResult.UNREACHABLE:
                self._unreachable.add(target_id)
            if each.result is orders.OrderResult.NOT_LISTENING:
                self._exited.add(target_id)
        return outcomes.refuse(
            outcomes.Reason.NO_MEMORY,
            f"no memory could be reserved at {', '.join(target_ids)}",
            _NO_MEMORY_RETRY_MS,
        )

    def _process_event(self, event: response_events.Event) -> bool:
        """Processes an event; returns whether the caller is to get it."""
        match event:
            case response_events.TargetSilent():
                return self._record_silence()
            case response_events.LoadReported():
                self._context.scheduler.post(
                    scheduler_messages.LoadReported(event.report)
                )
                return False
            case response_events.HelperFaultReported():
                self._faulted.add(event.target_id)
                self._progress.excluded |= {event.target_id}
                self._progress.faulted_helpers += (event.target_id,)
                return False
            case response_events.StreamHead():
                is_new = not self._progress.has_head
                self._progress.has_head = True
                return is_new
            case response_events.CompleteResponse():
                self._has_answered = True
                self._answered_ms = self._context.env.now_ms()
            case response_events.StreamEnd():
                self._record_lasting()
            case response_events.StreamEvents():
                self._record_events(event)
            case outcomes.NotServed():
                self._record_failure(event)
        return True

    def _record_silence(self) -> bool:
        """Records a silence; returns whether there is one since just now."""
        if self._is_silent:
            return False
        self._is_silent = True
        self._context.report_lost_call(self._make_lost_call())
        return True

    def _record_events(self, event: response_events.StreamEvents) -> None:
        self._is_silent = False
        self._liveness.note_event()
        self._has_answered = True
        self._answered_ms = self._context.env.now_ms()
        self._record_first_event()
        if self._answered_ms - self._begun_ms >= poison_requests.LASTING_MS:
            self._record_lasting()
        if event.last_event_id:
            # Comments and events without an id leave the caller where it was.
            self._progress.last_event_id = event.last_event_id

    def _record_failure(self, failure: outcomes.NotServed) -> None:
        if self._has_rate_token and failure.reason in _CONNECT_FAILED_REASONS:
            placement = self._placements[0]
            self._context.return_rate_token(
                placement.target, placement.attempt_id
            )
        if failure.reason in _NOT_TARGET_FAULT_REASONS or self._faulted:
            return
        target_id = self._placements[0].target.target_id
        self._faulted.add(target_id)
        if failure.reason is outcomes.Reason.TARGET_LOST:
            self._is_lost = True
            self._context.report_lost_call(self._make_lost_call())
            if self._progress.has_begun:
                incarnation = self._placements[0].target.incarnation
                self._progress.interrupted |= {incarnation}
        if failure.reason is outcomes.Reason.TARGET_UNREACHABLE:
            self._unreachable.add(target_id)
        if failure.reason in _EXITED_REASONS:
            self._exited.add(target_id)
        if failure.reason is outcomes.Reason.RESPONSE_TOO_LARGE:
            self._is_flooding = True
            self._context.metrics.oversized_responses.inc({})

    def _make_lost_call(self) -> lost_call.LostCall:
        target = self._placements[0].target
        return lost_call.LostCall(
            self._request.request_id,
            quarantine.find_fingerprint(self._request),
            target,
            self._context.env.now_ms() - self._sent_ms,
            costs.predict_prefill_ms(
                self._request.workload.pool, self._request.prompt_tokens
            ),
            self._context.scheduler.count_streams(target.target_id),
            self._progress.has_begun,
            self._progress.has_lasted,
            self._request.payload.shared_parts,
            len(self._placements),
        )

    def _record_first_event(self) -> None:
        if self._has_first_event:
            return
        self._has_first_event = True
        self._progress.current.stage = relay_progress.Stage.STREAMING
        self._begun_ms = self._context.env.now_ms()
        self._progress.note_begun(self._begun_ms)
        request = self._request
        took_ms = self._context.env.now_ms() - request.arrived_ms
        self._context.metrics.record_first_token(request.prompt_tokens, took_ms)
        for placement in self._placements:
            self._context.scheduler.post(
                scheduler_messages.FirstToken(placement, "", 0)
            )

    def _record_lasting(self) -> None:
        """Records that the response shows that its request is harmless."""
        if self._has_lasted or not self._has_first_event:
            return
        self._has_lasted = True
        self._progress.has_lasted = True
        self._context.quarantine.on_response_lasting(
            self._request, self._begun_ms
        )

    def _post_attempt_ends(self) -> None:
        target_hall = self._placements[0].target.hall
        for placement in self._placements:
            target_id = placement.target.target_id
            # A helper in another hall that the target reports as failed may
            # just be unreachable from there.
            is_reported = target_id in self._progress.faulted_helpers
            is_in_other_hall = placement.target.hall != target_hall
            self._context.scheduler.post(
                scheduler_messages.AttemptEnded(
                    placement,
                    target_id in self._faulted,
                    target_id in self._unreachable
                    or (is_reported and is_in_other_hall),
                    self._has_answered,
                    target_id in self._exited,
                    self._answered_ms,
                    self._is_flooding and placement is self._placements[0],
                )
            )

    def _make_reservations(self) -> dict[str, orders.Reservation]:
        """Returns the memory to reserve on helpers, by target id."""
        owner = f"{self._context.config.vm_id}.{self._context.incarnation}"
        return {
            placement.target.target_id: orders.Reservation(
                placement.target,
                f"{owner}.{placement.attempt_id}",
                placement.held_tokens,
            )
            for placement in self._placements[1:]
            if placement.held_tokens
        }

    def _make_upstream_request(
        self, reservations: dict[str, orders.Reservation]
    ) -> upstream_requests.UpstreamRequest:
        request = self._request
        return upstream_requests.UpstreamRequest(
            payload=request.payload,
            target=self._placements[0].target,
            workspace=request.workload.workspace,
            deadline_ms=request.deadline_ms,
            urgency=_find_urgency(request),
            resume_after=self._progress.last_event_id,
            helpers=tuple(
                _make_helper(placement, reservations)
                for placement in self._placements[1:]
            ),
            timeouts=self._find_timeouts(),
            check_admission=self._check_before_send,
        )

    def _find_timeouts(self) -> upstream_requests.Timeouts:
        """Returns the timeouts; for what must not run twice, the deadline.

        Silence alone is no failure: an engine that reads a long prompt is
        silent for seconds and then goes on.
        """
        request = self._request
        route = request.payload.route
        left_ms = request.remaining_ms(self._context.env.now_ms())
        if not route.repeatable:
            return upstream_requests.Timeouts(
                CONNECT_TIMEOUT_MS, left_ms, left_ms
            )
        return upstream_requests.Timeouts(
            CONNECT_TIMEOUT_MS,
            max(
                MIN_SILENCE_TIMEOUT_MS,
                SILENCE_TIMEOUT_SLO_FACTOR * route.latency_slo_ms,
            ),
            max(
                MIN_SILENCE_TIMEOUT_MS,
                SILENCE_TIMEOUT_SLO_FACTOR * route.gap_slo_ms,
            ),
        )


def _is_alive(probe: orders.ProbeResult) -> bool:
    return probe.status is orders.ProbeStatus.ALIVE


def _is_known_lost(probe: orders.ProbeResult) -> bool:
    """Returns whether a connection to a target failed."""
    return not _is_alive(probe) and not (
        probe.status is orders.ProbeStatus.NO_RESPONSE and probe.has_connected
    )


def _make_helper(
    placement: scheduler_messages.Placement,
    reservations: dict[str, orders.Reservation],
) -> upstream_requests.Helper:
    reservation = reservations.get(placement.target.target_id)
    return upstream_requests.Helper(
        placement.target.target_id,
        placement.target.address,
        reservation.name if reservation else "",
    )


def _find_urgency(request: requests.Request) -> int:
    """Returns the urgency, by which targets admit shorter prompts first."""
    return _SHORTEST_PROMPT_URGENCY + length_band.find_band(
        request.prompt_tokens
    )
