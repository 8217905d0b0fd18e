"""The task that owns the request queues and the estimated load of targets.

Other tasks send it messages. After each batch of messages it dispatches queued
requests until no target is left for the next one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import draining
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import queueing
from ruddergate.decisions import rate_limits
from ruddergate.decisions.routing import by_name
from ruddergate.entry import config as configs
from ruddergate.entry import end_verifier
from ruddergate.entry import placing as placings
from ruddergate.entry import planned_stop
from ruddergate.entry import scheduler_messages
from ruddergate.entry import stop_admission
from ruddergate.entry import target_losses
from ruddergate.entry import target_table
from ruddergate.entry import view as views
from ruddergate.fleet import dispatched
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import load_report
from ruddergate.fleet import loss_report
from ruddergate.fleet import target as targets
from ruddergate.messages import loads as load_messages
from ruddergate.telemetry import logs

# Interval of dispatch attempts while requests are queued.
_QUEUED_TICK_MS = 20.0
_IDLE_TICK_MS = 500.0
# Interval at which a planned stop looks for queued requests that can't finish.
_STOP_CHECK_INTERVAL_MS = 40.0
# A lane that no target can take is paused for a random time from this range, so
# that VMs waiting for the same targets don't all dispatch at once when one of
# them becomes free.
_LANE_PAUSE_MS = (5.0, 60.0)
_NO_TARGET_RETRY_MS = 1_000.0
# Jitter added to the retry-after of callers that are refused until a target
# accepts requests again: without it they would all return at the same moment,
# to a target that was overloaded before. Half of the largest jitter that is
# added to the backoff of the target itself.
_RETURN_SPREAD_MS = 250.0

_INTERNAL = outcomes.refuse(
    outcomes.Reason.INTERNAL,
    "no target could be chosen because of an internal error; see the log",
)


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has a new target list or new settings."""


Message = (
    scheduler_messages.PlacementRequest
    | scheduler_messages.CancelPlacement
    | scheduler_messages.FirstToken
    | scheduler_messages.AttemptEnded
    | scheduler_messages.IncarnationEnded
    | scheduler_messages.EndVerified
    | scheduler_messages.NewEnds
    | scheduler_messages.StopBegan
    | scheduler_messages.LoadReported
    | load_messages.Loads
    | ViewChanged
)


class Scheduler:
    """Queues requests and dispatches them to targets, for one entry.

    Attributes:
        incarnation_ends: Notifies waiters of target incarnations that ended.
    """

    def __init__(
        self,
        env: environment.Environment,
        config: configs.EntryConfig,
        view: views.View,
        on_own_load_change: Callable[[], None] = lambda: None,
        collect_peer_loads: Callable[
            [], Sequence[dispatched.Dispatched]
        ] = lambda: (),
        lacks_peer_loads: Callable[[], bool] = lambda: False,
        collect_loss_report: Callable[[], loss_report.LossReport] = lambda: (
            loss_report.EMPTY
        ),
        collect_refuted_ends: Callable[[], Sequence[str]] = lambda: (),
        drain_state: draining.DrainState | None = None,
        limits: rate_limits.RateLimits | None = None,
        losses: target_losses.TargetLosses | None = None,
        stop: planned_stop.PlannedStop | None = None,
    ) -> None:
        """Creates an idle scheduler.

        Args:
            env: Clock and random numbers.
            config: Settings of the process.
            view: Current target list and settings.
            on_own_load_change: Called when the load that this VM puts on a
                target changes, to have it sent to peers.
            collect_peer_loads: Returns the load that peers put on targets, as
                far as it has changed; called before requests are dispatched.
            lacks_peer_loads: Returns whether there are peers, but no load of
                any of them is known yet.
            collect_loss_report: Returns what peers have newly found to be
                unreachable.
            collect_refuted_ends: Returns which ends of targets peers have newly
                refuted.
            drain_state: Which target incarnations accept no requests.
            limits: Rate limits that targets advertise.
            losses: Losses of targets and halls.
            stop: The planned stop of the process.
        """
        self._stop = stop or planned_stop.PlannedStop()
        self._stop_check_ms = 0.0
        self._drain_state = drain_state or draining.DrainState()
        if limits is None:
            limits = rate_limits.RateLimits(env.random, lambda *_: 0)
        self._limits = limits
        self._on_own_load_change = on_own_load_change
        self._collect_peer_loads = collect_peer_loads
        self._lacks_peer_loads = lacks_peer_loads
        self._collect_loss_report = collect_loss_report
        self._collect_refuted_ends = collect_refuted_ends
        self._losses = losses or target_losses.TargetLosses(env.random)
        self.incarnation_ends = self._losses.ended
        self._env = env
        self._config = config
        self._view = view
        self._placer = placings.Placer(
            env.random,
            by_name.make_policy(config.policy),
            by_name.make_policy(config.service_policy),
            on_own_load_change,
            self._limits.is_limited,
        )
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._queues: dict[str, queueing.Queue] = {}
        self._pending: dict[str, scheduler_messages.PlacementRequest] = {}
        self._table = target_table.TargetTable(
            view, self._drain_state, self._limits
        )
        self._last_turn_ms = env.now_ms()
        self._hold_until_ms = 0.0
        self._log = logs.make_logger("scheduler")
        self._lane_paused_until_ms: dict[queueing.Lane, float] = {}

    def post(self, message: Message) -> None:
        """Sends the scheduler a message."""
        self._inbox.put_nowait(message)

    def shorter_first(self) -> bool:
        """Returns whether engines should prefill shorter prompts first."""
        return self._placer.shorter_first

    async def place(
        self, request: scheduler_messages.PlacementRequest
    ) -> scheduler_messages.PlacementGrant | outcomes.NotServed:
        """Queues a request and waits until it is dispatched or refused."""
        self.post(request)
        try:
            return await request.reply
        except asyncio.CancelledError:
            self.post(scheduler_messages.CancelPlacement(request))
            raise

    def list_own_loads(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns the load that this VM puts on targets, for peers."""
        now_ms = self._env.now_ms()
        return tuple(
            estimate.summarize(now_ms)
            for estimate in self._table.list_all()
            if estimate.own_streams()
        )

    def make_loss_report(self) -> loss_report.LossReport:
        """Returns what this VM has just found to be unreachable, for peers."""
        return self._losses.summarize(self._env.now_ms())

    def list_refuted_ends(self) -> tuple[str, ...]:
        """Returns the ends that this VM has just refuted, for peers."""
        return self._losses.summarize_refuted(self._env.now_ms())

    def is_end_reported(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether a report that a listed target ended stands."""
        target = self.find_target(incarnation.target_id)
        is_listed = target is not None and target.incarnation == incarnation
        now_ms = self._env.now_ms()
        return is_listed and self._losses.is_end_reported(incarnation, now_ms)

    def is_end_refuted(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether the end of a target was refuted just now."""
        return self._losses.is_refuted(incarnation, self._env.now_ms())

    def waiting_by_class(self) -> dict[str, float]:
        """Returns the queued cost of each priority class in milliseconds."""
        total: dict[str, float] = {}
        for queue in self._queues.values():
            for name, cost_ms in queue.waiting_by_class().items():
                total[name] = total.get(name, 0.0) + cost_ms
        return total

    def count_streams(self, target_id: str) -> float:
        """Returns the estimated number of responses a target is generating."""
        estimate = self._table.find_by_id(target_id)
        if estimate is None:
            return 0.0
        return estimate.recent_streams(self._env.now_ms())

    def find_target(self, target_id: str) -> targets.Target | None:
        """Returns a listed target by name."""
        estimate = self._table.find_by_id(target_id)
        return estimate.target if estimate else None

    def find_rate_limit(
        self, target_id: str, now_ms: float
    ) -> tuple[float, float]:
        """Returns a target's rate limit and this VM's share, per second."""
        return self._limits.find_share(target_id, now_ms)

    def count_sendable(self, pool: str) -> Iterator[tuple[str, float]]:
        """Yields how many requests the usable targets of a pool accept now."""
        return self._table.count_sendable(pool, self._env.now_ms())

    def count_queued(self, pool: str) -> int:
        """Returns how many requests are queued for a pool."""
        queue = self._queues.get(pool)
        return len(queue) if queue is not None else 0

    def find_halls(self, pool: str) -> set[str]:
        """Returns the halls with targets of a pool, in any state."""
        return self._table.find_halls(pool)

    def list_estimates(self) -> list[estimates.Estimate]:
        """Returns the estimated load of each target, for the status page."""
        return self._table.list_all()

    def is_usable(self, estimate: estimates.Estimate) -> bool:
        """Returns whether a target accepts requests now and looks healthy."""
        return self._table.is_usable(estimate, self._env.now_ms())

    async def run(self) -> None:
        """Processes messages until cancelled."""
        while True:
            await self._wait_for_message()
            self._detect_clock_gap()
            while not self._inbox.empty():
                self._handle(self._inbox.get_nowait())
            self._merge_peer_loads(self._collect_peer_loads())
            self._losses.merge_refuted(
                self._collect_refuted_ends(), self._env.now_ms()
            )
            self._merge_loss_report(self._collect_loss_report())
            self._dispatch_all()

    async def _wait_for_message(self) -> None:
        """Processes the next message, or returns after one tick."""
        waiting = any(len(queue) for queue in self._queues.values())
        tick_ms = _QUEUED_TICK_MS if waiting else _IDLE_TICK_MS
        try:
            async with asyncio.timeout(tick_ms / 1000.0):
                self._handle(await self._inbox.get())
        except TimeoutError:
            pass

    def _detect_clock_gap(self) -> None:
        """Holds dispatch after a suspension until the view is fresh again.

        A long time between two turns counts as a suspension of the process.
        """
        now_ms = self._env.now_ms()
        if now_ms - self._last_turn_ms > self._config.suspend_gap_ms:
            self._hold_until_ms = now_ms + self._config.suspend_refresh_max_ms
        self._last_turn_ms = now_ms

    def _handle(self, message: Message) -> None:
        now_ms = self._env.now_ms()
        match message:
            case scheduler_messages.PlacementRequest():
                self._on_placement_request(message, now_ms)
            case scheduler_messages.CancelPlacement():
                self._on_cancel_placement(message.request)
            case scheduler_messages.FirstToken():
                self._on_first_token(message, now_ms)
            case scheduler_messages.AttemptEnded():
                self._on_attempt_ended(message, now_ms)
            case scheduler_messages.IncarnationEnded():
                self._on_incarnation_ended(message.target, now_ms)
            case scheduler_messages.EndVerified():
                self._on_end_verified(message, now_ms)
            case scheduler_messages.LoadReported():
                self._on_load_report(message.report, now_ms)
            case load_messages.Loads():
                self._on_loads(message, now_ms)
            case ViewChanged():
                self._on_view_changed(now_ms)

    def _on_placement_request(
        self, request: scheduler_messages.PlacementRequest, now_ms: float
    ) -> None:
        if request.reply.cancelled():
            return
        queue = self._find_queue(request.pool.name)
        if not self._table.has_pool(request.pool.name):
            _reply(request, _refuse_no_target(request.pool.name))
            return
        start_ms = self._predict_start_ms(request.pool.name, len(queue), now_ms)
        if start_ms > request.job.deadline_ms:
            _reply(request, self._refuse_until(request.pool.name, start_ms))
            return
        refusal = self._refuse_by_stop(request, queue, now_ms)
        refusal = refusal or queue.offer(request.job, now_ms)
        if refusal is not None:
            _reply(request, refusal)
            return
        self._pending[request.job.job_id] = request

    def _predict_start_ms(self, pool: str, ahead: int, now_ms: float) -> float:
        """Returns when a pool accepts a further request.

        Only backoff times and rate limits of its targets count, not their load.

        Args:
            pool: Name of the pool.
            ahead: Number of requests that are queued for it already.
            now_ms: Monotonic time.
        """
        start_ms = self._table.find_next_available_ms(pool, now_ms)
        if not ahead or not len(self._limits):
            return start_ms
        sendable = self._table.count_sendable(pool, now_ms)
        ahead -= min(ahead, sum(count for _, count in sendable))
        capacity_per_s = self._table.find_capacity_per_s(pool, now_ms)
        if capacity_per_s <= 0.0:
            return start_ms
        return start_ms + ahead / capacity_per_s * 1_000.0

    def _on_cancel_placement(
        self, request: scheduler_messages.PlacementRequest
    ) -> None:
        self._pending.pop(request.job.job_id, None)
        if self._find_queue(request.pool.name).remove(request.job):
            return
        if request.reply.done() and not request.reply.cancelled():
            grant = request.reply.result()
            if isinstance(grant, scheduler_messages.PlacementGrant):
                self._release(grant)

    def _release(self, grant: scheduler_messages.PlacementGrant) -> None:
        for placement in grant.placements:
            self._limits.note_unplaced(
                placement.target.target_id, placement.attempt_id
            )
            estimate = self._table.find(placement.target)
            if estimate is not None:
                estimate.end_attempt(placement.attempt_id)

    def _on_first_token(
        self, message: scheduler_messages.FirstToken, now_ms: float
    ) -> None:
        estimate = self._table.find(message.placement.target)
        if estimate is None:
            return
        self._drain_state.note_success(estimate.target.incarnation, now_ms)
        self._losses.note_answered(estimate.target, now_ms)
        if estimate.note_first_token(message.placement.attempt_id, now_ms):
            self._on_own_load_change()
        if message.prefix:
            estimate.note_prefix(message.prefix, message.prefix_tokens)

    def _on_attempt_ended(
        self, message: scheduler_messages.AttemptEnded, now_ms: float
    ) -> None:
        target = message.placement.target
        self._limits.note_unplaced(
            target.target_id, message.placement.attempt_id
        )
        estimate = self._table.find(target)
        if estimate is None:
            return
        estimate.end_attempt(message.placement.attempt_id)
        if message.is_unreachable:
            self._losses.note_unreachable(target, now_ms)
        elif message.has_exited:
            self._losses.note_ended(target, now_ms)
        elif message.is_flooding:
            self._losses.note_flooding(target, now_ms)
        if message.is_target_fault:
            estimate.note_fault(now_ms)
        elif message.has_answered:
            self._drain_state.note_success(target.incarnation, now_ms)
            answered_ms = message.answered_ms
            self._losses.note_answered(
                target, now_ms if answered_ms is None else answered_ms
            )
            estimate.answered_ms = now_ms
        self._on_own_load_change()

    def _on_incarnation_ended(
        self, target: targets.Target, now_ms: float
    ) -> None:
        estimate = self._table.find(target)
        if estimate is not None:
            estimate.note_fault(now_ms)
            self._losses.note_ended(target, now_ms)
            self._on_own_load_change()

    def _on_end_verified(
        self, message: scheduler_messages.EndVerified, now_ms: float
    ) -> None:
        match message.verdict:
            case end_verifier.Verdict.ALIVE:
                self._losses.note_answered(message.target, now_ms)
            case end_verifier.Verdict.LISTENING:
                incarnation = message.target.incarnation
                self._losses.note_end_uncertain(incarnation, now_ms)
            case end_verifier.Verdict.ENDED:
                incarnation = message.target.incarnation
                self._losses.note_end_confirmed(incarnation, now_ms)

    def _merge_loss_report(self, report: loss_report.LossReport) -> None:
        if report is not loss_report.EMPTY:
            now_ms = self._env.now_ms()
            self._losses.merge_gossip(report, self._table.find_reported, now_ms)

    def _on_load_report(
        self, report: load_report.LoadReport, now_ms: float
    ) -> None:
        estimate = self._table.find_by_id(report.target_id)
        if estimate is None or report.started_ms != estimate.target.started_ms:
            return
        estimate.apply_report(report, now_ms)

    def _on_loads(self, loads: load_messages.Loads, now_ms: float) -> None:
        for report in loads.reports:
            self._on_load_report(report, now_ms)
        self._merge_peer_loads(loads.peers)
        for event in loads.events:
            estimate = self._table.find_by_id(event.target_id)
            if estimate is not None:
                estimate.apply_cache_event(event)

    def _merge_peer_loads(self, rows: Sequence[dispatched.Dispatched]) -> None:
        now_ms = self._env.now_ms()
        for row in rows:
            estimate = self._table.find_by_id(row.target_id)
            if estimate is not None:
                estimate.apply_peer_work(row, now_ms)

    def _on_view_changed(self, now_ms: float) -> None:
        if self._view.age_ms(now_ms) < self._config.suspend_gap_ms:
            self._hold_until_ms = 0.0
        self._table.refresh(now_ms)

    def _find_queue(self, pool: str) -> queueing.Queue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = queueing.Queue(self._make_drain_rate(pool))
            self._queues[pool] = queue
        return queue

    def _make_drain_rate(self, pool: str) -> Callable[[], float]:
        def drain_rate() -> float:
            now_ms = self._env.now_ms()
            usable = self._table.count_usable(pool, now_ms)
            return usable / self._view.count_live_vms()

        return drain_rate

    def _dispatch_all(self) -> None:
        now_ms = self._env.now_ms()
        if now_ms < self._hold_until_ms:
            return
        must_check = self._stop.is_stopping and now_ms >= self._stop_check_ms
        if must_check:
            self._stop_check_ms = now_ms + _STOP_CHECK_INTERVAL_MS
        for pool, queue in self._queues.items():
            if len(queue):
                self._refuse_expired(queue, now_ms)
                if must_check:
                    self._refuse_unfinishable(pool, queue, now_ms)
                self._dispatch_pool(pool, queue, now_ms)

    def _refuse_expired(self, queue: queueing.Queue, now_ms: float) -> None:
        for job in queue.remove_expired(now_ms):
            request = self._pending.pop(job.job_id)
            refusal = outcomes.refuse(
                outcomes.Reason.CANNOT_FINISH_IN_TIME,
                "the request could no longer finish before its deadline",
                _NO_TARGET_RETRY_MS,
            )
            _reply(request, refusal)

    def _refuse_by_stop(
        self,
        request: scheduler_messages.PlacementRequest,
        queue: queueing.Queue,
        now_ms: float,
    ) -> outcomes.NotServed | None:
        """Returns a refusal if a planned stop would cut a new request."""
        if not self._stop.is_stopping:
            return None
        job = request.job
        wait_ms = queue.predict_wait_ms(job.priority, job.lane.band)
        wait_ms += self._find_shortest_backlog_ms(request.pool.name, now_ms)
        return stop_admission.refuse_queued(
            request, wait_ms, self._stop, now_ms
        )

    def _refuse_unfinishable(
        self, pool: str, queue: queueing.Queue, now_ms: float
    ) -> None:
        """Refuses queued requests that a planned stop would cut."""
        backlog_ms = self._find_shortest_backlog_ms(pool, now_ms)
        for job, wait_ms in queue.predict_waits():
            refusal = stop_admission.refuse_queued(
                self._pending[job.job_id],
                wait_ms + backlog_ms,
                self._stop,
                now_ms,
            )
            if refusal is not None:
                self._refuse_queued(queue, job, refusal)

    def _find_shortest_backlog_ms(self, pool: str, now_ms: float) -> float:
        """Returns the shortest prefill backlog of the targets of a pool."""
        usable = self._find_usable(pool, now_ms)
        return min(
            (each.remaining_prefill_ms(now_ms) for each in usable), default=0.0
        )

    def _refuse_queued(
        self,
        queue: queueing.Queue,
        job: queueing.Job,
        refusal: outcomes.NotServed,
    ) -> None:
        queue.remove(job)
        _reply(self._pending.pop(job.job_id), refusal)

    def _dispatch_pool(
        self, pool: str, queue: queueing.Queue, now_ms: float
    ) -> None:
        paused = {
            lane
            for lane, until_ms in self._lane_paused_until_ms.items()
            if now_ms < until_ms
        }
        usable = self._find_usable(pool, now_ms)
        if not usable:
            self._refuse_unservable(pool, queue, now_ms)
        while usable and (job := queue.take_next(now_ms, paused)) is not None:
            request = self._pending[job.job_id]
            placements = self._place(request, usable, now_ms)
            if placements is None:
                del self._pending[job.job_id]
                _reply(request, _INTERNAL)
                continue
            if not placements:
                queue.requeue(job, now_ms)
                paused.add(job.lane)
                pause_ms = self._env.random.uniform(*_LANE_PAUSE_MS)
                self._lane_paused_until_ms[job.lane] = now_ms + pause_ms
                continue
            del self._pending[job.job_id]
            refusal = self._refuse_placed(request, placements, now_ms)
            if refusal is not None:
                _reply(request, refusal)
                continue
            first = placements[0]
            self._limits.note_placed(
                first.target.target_id, first.attempt_id, now_ms
            )
            if any(
                self._has_restricted_intake(each.target) for each in placements
            ):
                usable = self._find_usable(pool, now_ms)
            grant = scheduler_messages.PlacementGrant(placements)
            if request.reply.done():
                # Given up just now; its CancelPlacement is still in the inbox.
                self._release(grant)
            else:
                request.reply.set_result(grant)

    def _place(
        self,
        request: scheduler_messages.PlacementRequest,
        usable: list[estimates.Estimate],
        now_ms: float,
    ) -> tuple[scheduler_messages.Placement, ...] | None:
        """Returns the placements of a request, or None for an internal error.

        A request for which no placement can be computed must not end the task
        that places all others.
        """
        try:
            return self._placer.place(
                request, usable, now_ms, self._lacks_peer_loads()
            )
        except Exception:
            self._log.exception(
                "Could not place a request.", job=request.job.job_id
            )
            return None

    def _refuse_placed(
        self,
        request: scheduler_messages.PlacementRequest,
        placements: tuple[scheduler_messages.Placement, ...],
        now_ms: float,
    ) -> outcomes.NotServed | None:
        """Returns a refusal, and ends the placements, if a stop cuts them."""
        if not self._stop.is_stopping:
            return None
        found = (self._table.find(each.target) for each in placements)
        chosen = [each for each in found if each is not None]
        refusal = stop_admission.refuse_placed(
            request, chosen, self._stop, now_ms
        )
        if refusal is not None:
            self._release(scheduler_messages.PlacementGrant(placements))
        return refusal

    def _has_restricted_intake(self, target: targets.Target) -> bool:
        """Returns whether a target may accept no further request after one."""
        return self._drain_state.is_half_open(
            target.incarnation
        ) or self._limits.is_limited(target.target_id)

    def _refuse_unservable(
        self, pool: str, queue: queueing.Queue, now_ms: float
    ) -> None:
        """Refuses requests that get no target before their deadline."""
        start_ms = self._table.find_next_available_ms(pool, now_ms)
        unservable = [job for job in queue.jobs() if start_ms > job.deadline_ms]
        for job in unservable:
            refusal = self._refuse_until(pool, start_ms)
            self._refuse_queued(queue, job, refusal)

    def _refuse_until(self, pool: str, start_ms: float) -> outcomes.NotServed:
        """Returns the refusal of a request that no target accepts in time.

        Args:
            pool: Name of the pool.
            start_ms: Time at which the first target accepts requests; infinite
                if none will.
        """
        if math.isinf(start_ms):
            return outcomes.refuse(
                outcomes.Reason.NO_TARGET,
                f"no target of pool {pool} accepts requests from this VM",
                _NO_TARGET_RETRY_MS,
            )
        now_ms = self._env.now_ms()
        spread_max_ms = _RETURN_SPREAD_MS
        capacity_per_s = self._table.find_capacity_per_s(pool, now_ms)
        if capacity_per_s > 0.0:
            # With rate limits, one request can be served per such interval.
            spread_max_ms = max(spread_max_ms, 1_000.0 / capacity_per_s)
        spread_ms = self._env.random.uniform(0.0, spread_max_ms)
        return outcomes.refuse(
            outcomes.Reason.CANNOT_FINISH_IN_TIME,
            f"no target of pool {pool} accepts requests now",
            start_ms - now_ms + spread_ms,
        )

    def _find_usable(
        self, pool: str, now_ms: float
    ) -> list[estimates.Estimate]:
        """Returns the targets to choose from.

        If all look unhealthy, the fault is more likely at this VM than at all
        of them. With panic routing, any target that accepts requests is then
        better than none.
        """
        accepting = self._table.list_accepting(pool, now_ms)
        healthy = [
            each
            for each in accepting
            if each.is_usable(now_ms)
            and not self._losses.is_suspect(each.target.hall, now_ms)
        ]
        if healthy or not self._config.panic_routing:
            return healthy
        return accepting


def _reply(
    request: scheduler_messages.PlacementRequest,
    result: scheduler_messages.PlacementGrant | outcomes.NotServed,
) -> None:
    if not request.reply.done():
        request.reply.set_result(result)


def _refuse_no_target(pool: str) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.NO_TARGET,
        f"pool {pool} has no target",
        _NO_TARGET_RETRY_MS,
    )
