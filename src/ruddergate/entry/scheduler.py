"""The task that owns the queues and the believed load of targets.

Everything else sends it messages. After each message it gives out places for
as long as the next request has a target.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import queueing
from ruddergate.decisions import rate_limits
from ruddergate.decisions import withdrawals
from ruddergate.decisions.routing import by_name
from ruddergate.entry import config as configs
from ruddergate.entry import placement
from ruddergate.entry import seating as seatings
from ruddergate.entry import target_losses
from ruddergate.entry import target_table
from ruddergate.entry import view as views
from ruddergate.fleet import dispatched
from ruddergate.fleet import load_report
from ruddergate.fleet import loss_report
from ruddergate.fleet import target as targets
from ruddergate.messages import loads as load_messages
from ruddergate.telemetry import logs

# With requests waiting, targets are looked at this often.
_TICK_MS = 20.0
_IDLE_TICK_MS = 500.0
# A lane that no target can take rests for a time drawn from this range: VMs
# that wait for the same targets must not all go when one has become free.
_LANE_REST_MS = (5.0, 60.0)
_GONE_RETRY_MS = 1_000.0
# Callers refused until a target takes calls are told to come back within this
# time after it: told the same moment they would all come in it, and the target
# had too much to do before. Half of what its own time is drawn out by at most.
_RETURN_SPREAD_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has a new list or new settings."""


Message = (
    placement.Place
    | placement.Withdraw
    | placement.FirstToken
    | placement.Ended
    | placement.LifeEnded
    | placement.Reported
    | load_messages.Loads
    | ViewChanged
)


class Scheduler:
    """Queues, estimates and the routing policy of one entry.

    Attributes:
        ends: Tells of lives of targets that have ended.
    """

    def __init__(
        self,
        outside: environment.Environment,
        config: configs.EntryConfig,
        view: views.View,
        note_change: Callable[[], None] = lambda: None,
        collect_peers: Callable[
            [], Sequence[dispatched.Dispatched]
        ] = lambda: (),
        is_blind: Callable[[], bool] = lambda: False,
        collect_lost: Callable[[], loss_report.LossReport] = lambda: (
            loss_report.EMPTY
        ),
        withdrawn: withdrawals.Withdrawals | None = None,
        limits: rate_limits.RateLimits | None = None,
    ) -> None:
        """Makes an idle scheduler.

        Args:
            outside: Clock and chance.
            config: Settings of the process.
            view: What it goes by.
            note_change: Called when this VM's work on a target changes, which
                peers had better hear of.
            collect_peers: Returns what peers have on targets, as far as it is
                news; asked before places are given out.
            is_blind: Returns whether there are peers of which nothing is known.
            collect_lost: Returns what peers have newly found out of reach.
            withdrawn: Which lives of targets take no calls.
            limits: Rate limits that targets name.
        """
        self._withdrawn = withdrawn or withdrawals.Withdrawals()
        if limits is None:
            limits = rate_limits.RateLimits(outside.random, lambda *_: 0)
        self._limits = limits
        self._note_change = note_change
        self._collect_peers = collect_peers
        self._is_blind = is_blind
        self._collect_lost = collect_lost
        self._losses = target_losses.TargetLosses(outside.random)
        self.ends = self._losses.ends
        self._outside = outside
        self._config = config
        self._view = view
        self._seating = seatings.Seating(
            outside.random,
            by_name.make_policy(config.policy),
            by_name.make_policy(config.service_policy),
            note_change,
            self._limits.is_limited,
        )
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._queues: dict[str, queueing.Queue] = {}
        self._asked: dict[str, placement.Place] = {}
        self._table = target_table.TargetTable(
            view, self._withdrawn, self._limits
        )
        self._ticked_ms = outside.now_ms()
        self._held_until_ms = 0.0
        self._log = logs.make_logger("scheduler")
        self._lane_rests_until_ms: dict[queueing.Lane, float] = {}

    def post(self, message: Message) -> None:
        """Sends the scheduler a message."""
        self._inbox.put_nowait(message)

    def shorter_first(self) -> bool:
        """Returns whether engines are to prefill shorter prompts first."""
        return self._seating.shorter_first

    async def place(
        self, asked: placement.Place
    ) -> placement.Placed | outcomes.NotServed:
        """Asks for a place and waits for the answer."""
        self.post(asked)
        try:
            return await asked.reply
        except asyncio.CancelledError:
            self.post(placement.Withdraw(asked))
            raise

    def summarize(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns this VM's own work on targets, for peers."""
        now_ms = self._outside.now_ms()
        return tuple(
            estimate.summarize(now_ms)
            for estimate in self._table.list_all()
            if estimate.own_streams()
        )

    def summarize_lost(self) -> loss_report.LossReport:
        """Returns what this VM has just found out of reach, for peers."""
        return self._losses.summarize(self._outside.now_ms())

    def waiting_by_class(self) -> dict[str, float]:
        """Returns the cost waiting in each class, in milliseconds."""
        total: dict[str, float] = {}
        for queue in self._queues.values():
            for name, cost_ms in queue.waiting_by_class().items():
                total[name] = total.get(name, 0.0) + cost_ms
        return total

    def count_streams(self, target_id: str) -> float:
        """Returns how many answers a target is believed to be writing."""
        estimate = self._table.find_named(target_id)
        if estimate is None:
            return 0.0
        return estimate.recent_streams(self._outside.now_ms())

    def find_target(self, target_id: str) -> targets.Target | None:
        """Returns a listed target by name."""
        estimate = self._table.find_named(target_id)
        return estimate.target if estimate else None

    def find_rate_limit(
        self, target_id: str, now_ms: float
    ) -> tuple[float, float]:
        """Returns a target's rate limit and this VM's part of it, a second."""
        return self._limits.find_share(target_id, now_ms)

    def find_halls(self, pool: str) -> set[str]:
        """Returns the halls with targets of a pool, whatever their state."""
        return self._table.find_halls(pool)

    def believed_loads(self) -> list[estimates.Estimate]:
        """Returns the believed load of each target, for the status page."""
        return self._table.list_all()

    def is_usable(self, estimate: estimates.Estimate) -> bool:
        """Returns whether a target may be sent work now and had better be."""
        return self._table.is_usable(estimate, self._outside.now_ms())

    async def run(self) -> None:
        """Serves the inbox until cancelled."""
        while True:
            await self._wait()
            self._note_time()
            while not self._inbox.empty():
                self._take(self._inbox.get_nowait())
            self._take_peers(self._collect_peers())
            self._take_lost(self._collect_lost())
            self._give_places()

    async def _wait(self) -> None:
        """Returns when there is a message or a tick has passed."""
        waiting = any(len(queue) for queue in self._queues.values())
        tick_ms = _TICK_MS if waiting else _IDLE_TICK_MS
        try:
            async with asyncio.timeout(tick_ms / 1000.0):
                self._take(await self._inbox.get())
        except TimeoutError:
            pass

    def _note_time(self) -> None:
        """After a gap in time, holds work until the view is fresh again."""
        now_ms = self._outside.now_ms()
        if now_ms - self._ticked_ms > self._config.wake_gap_ms:
            self._held_until_ms = now_ms + self._config.wake_refresh_ms
        self._ticked_ms = now_ms

    def _take(self, message: Message) -> None:
        now_ms = self._outside.now_ms()
        match message:
            case placement.Place():
                self._take_place(message, now_ms)
            case placement.Withdraw():
                self._take_withdraw(message.asked)
            case placement.FirstToken():
                self._take_first_token(message, now_ms)
            case placement.Ended():
                self._take_ended(message, now_ms)
            case placement.LifeEnded():
                self._take_life_ended(message.target, now_ms)
            case placement.Reported():
                self._take_report(message.report, now_ms)
            case load_messages.Loads():
                self._take_loads(message, now_ms)
            case ViewChanged():
                self._take_view(now_ms)

    def _take_place(self, asked: placement.Place, now_ms: float) -> None:
        if asked.reply.cancelled():
            return
        queue = self._find_queue(asked.pool.name)
        if not self._table.has_pool(asked.pool.name):
            _answer(asked, _refuse_no_target(asked.pool.name))
            return
        first_ms = self._find_turn_ms(asked.pool.name, len(queue), now_ms)
        if first_ms > asked.job.deadline_ms:
            _answer(asked, self._refuse_until(asked.pool.name, first_ms))
            return
        refusal = queue.offer(asked.job, now_ms)
        if refusal is not None:
            _answer(asked, refusal)
            return
        self._asked[asked.job.job_id] = asked

    def _find_turn_ms(self, pool: str, ahead: int, now_ms: float) -> float:
        """Returns when a pool takes a call, as far as targets turn calls away.

        Args:
            pool: Name of the pool.
            ahead: Calls that wait for it already.
            now_ms: Time.
        """
        first_ms = self._table.find_first_ms(pool, now_ms)
        if not ahead or not len(self._limits):
            return first_ms
        capacity_per_s = self._table.find_capacity_per_s(pool, now_ms)
        if capacity_per_s <= 0.0:
            return first_ms
        return first_ms + ahead / capacity_per_s * 1_000.0

    def _take_withdraw(self, asked: placement.Place) -> None:
        self._asked.pop(asked.job.job_id, None)
        if self._find_queue(asked.pool.name).withdraw(asked.job):
            return
        if asked.reply.done() and not asked.reply.cancelled():
            placed = asked.reply.result()
            if isinstance(placed, placement.Placed):
                self._release(placed)

    def _release(self, placed: placement.Placed) -> None:
        for seat in placed.seats:
            self._limits.note_unplaced(seat.target.target_id, seat.attempt_id)
            estimate = self._table.find(seat.target)
            if estimate is not None:
                estimate.end(seat.attempt_id)

    def _take_first_token(
        self, message: placement.FirstToken, now_ms: float
    ) -> None:
        estimate = self._table.find(message.seat.target)
        if estimate is None:
            return
        self._withdrawn.note_served(estimate.target.incarnation, now_ms)
        if estimate.first_token(message.seat.attempt_id, now_ms):
            self._note_change()
        if message.prefix:
            estimate.note_prefix(message.prefix, message.prefix_tokens)

    def _take_ended(self, message: placement.Ended, now_ms: float) -> None:
        target = message.seat.target
        self._limits.note_unplaced(target.target_id, message.seat.attempt_id)
        estimate = self._table.find(target)
        if estimate is None:
            return
        estimate.end(message.seat.attempt_id)
        if message.unreachable:
            self._losses.note_silent(target, now_ms)
        elif message.gone:
            self._losses.note_gone(target, now_ms)
        if message.failed:
            estimate.note_fault(now_ms)
        elif message.answered:
            self._withdrawn.note_served(target.incarnation, now_ms)
            self._losses.note_answered(target, now_ms)
            estimate.answered_ms = now_ms
        self._note_change()

    def _take_life_ended(self, target: targets.Target, now_ms: float) -> None:
        estimate = self._table.find(target)
        if estimate is not None:
            estimate.note_fault(now_ms)
            self._losses.note_gone(target, now_ms)
            self._note_change()

    def _take_lost(self, told: loss_report.LossReport) -> None:
        if told is not loss_report.EMPTY:
            now_ms = self._outside.now_ms()
            self._losses.take_told(told, self._table.find_told, now_ms)

    def _take_report(
        self, report: load_report.LoadReport, now_ms: float
    ) -> None:
        estimate = self._table.find_named(report.target_id)
        if estimate is None or report.started_ms != estimate.target.started_ms:
            return
        estimate.take_report(report, now_ms)

    def _take_loads(self, loads: load_messages.Loads, now_ms: float) -> None:
        for report in loads.reports:
            self._take_report(report, now_ms)
        self._take_peers(loads.peers)
        for event in loads.events:
            estimate = self._table.find_named(event.target_id)
            if estimate is not None:
                estimate.take_event(event)

    def _take_peers(self, rows: Sequence[dispatched.Dispatched]) -> None:
        now_ms = self._outside.now_ms()
        for row in rows:
            estimate = self._table.find_named(row.target_id)
            if estimate is not None:
                estimate.take_peers(row, now_ms)

    def _take_view(self, now_ms: float) -> None:
        if self._view.age_ms(now_ms) < self._config.wake_gap_ms:
            self._held_until_ms = 0.0
        self._table.take_view(now_ms)

    def _find_queue(self, pool: str) -> queueing.Queue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = queueing.Queue(self._make_drain_rate(pool))
            self._queues[pool] = queue
        return queue

    def _make_drain_rate(self, pool: str) -> Callable[[], float]:
        def drain_rate() -> float:
            now_ms = self._outside.now_ms()
            usable = self._table.count_usable(pool, now_ms)
            return usable / self._view.live_vms()

        return drain_rate

    def _give_places(self) -> None:
        now_ms = self._outside.now_ms()
        if now_ms < self._held_until_ms:
            return
        for pool, queue in self._queues.items():
            if len(queue):
                self._expire(queue, now_ms)
                self._give_places_of(pool, queue, now_ms)

    def _expire(self, queue: queueing.Queue, now_ms: float) -> None:
        for job in queue.expire(now_ms):
            asked = self._asked.pop(job.job_id)
            refusal = outcomes.refuse(
                outcomes.Reason.CANNOT_FINISH_IN_TIME,
                "it could no longer have finished in time",
                _GONE_RETRY_MS,
            )
            _answer(asked, refusal)

    def _give_places_of(
        self, pool: str, queue: queueing.Queue, now_ms: float
    ) -> None:
        closed = {
            lane
            for lane, until_ms in self._lane_rests_until_ms.items()
            if now_ms < until_ms
        }
        usable = self._find_usable(pool, now_ms)
        if not usable:
            self._refuse_hopeless(pool, queue, now_ms)
        while usable and (job := queue.take(now_ms, closed)) is not None:
            asked = self._asked[job.job_id]
            seats = self._seating.seat(asked, usable, now_ms, self._is_blind())
            if not seats:
                queue.put_back(job, now_ms)
                closed.add(job.lane)
                rest_ms = self._outside.random.uniform(*_LANE_REST_MS)
                self._lane_rests_until_ms[job.lane] = now_ms + rest_ms
                continue
            del self._asked[job.job_id]
            first = seats[0]
            self._limits.note_placed(
                first.target.target_id, first.attempt_id, now_ms
            )
            if any(self._takes_few(each.target) for each in seats):
                usable = self._find_usable(pool, now_ms)
            placed = placement.Placed(seats)
            if asked.reply.done():
                # Given up in this moment; its withdrawal is still under way.
                self._release(placed)
            else:
                asked.reply.set_result(placed)

    def _takes_few(self, target: targets.Target) -> bool:
        """Returns whether a call given to a target may have been its last."""
        return self._withdrawn.is_on_trial(
            target.incarnation
        ) or self._limits.is_limited(target.target_id)

    def _refuse_hopeless(
        self, pool: str, queue: queueing.Queue, now_ms: float
    ) -> None:
        """Refuses at once what can't have a target before its time is up."""
        first_ms = self._table.find_first_ms(pool, now_ms)
        hopeless = [job for job in queue.jobs() if first_ms > job.deadline_ms]
        for job in hopeless:
            queue.withdraw(job)
            asked = self._asked.pop(job.job_id)
            _answer(asked, self._refuse_until(pool, first_ms))

    def _refuse_until(self, pool: str, first_ms: float) -> outcomes.NotServed:
        """Returns the refusal of what no target takes before that time."""
        if math.isinf(first_ms):
            return outcomes.refuse(
                outcomes.Reason.NO_TARGET,
                f"no target of pool {pool} takes calls of this VM",
                _GONE_RETRY_MS,
            )
        now_ms = self._outside.now_ms()
        most_ms = _RETURN_SPREAD_MS
        capacity_per_s = self._table.find_capacity_per_s(pool, now_ms)
        if capacity_per_s > 0.0:
            # Under rate limits one caller can be served in such a time.
            most_ms = max(most_ms, 1_000.0 / capacity_per_s)
        spread_ms = self._outside.random.uniform(0.0, most_ms)
        return outcomes.refuse(
            outcomes.Reason.CANNOT_FINISH_IN_TIME,
            f"no target of pool {pool} wants calls now",
            first_ms - now_ms + spread_ms,
        )

    def _find_usable(
        self, pool: str, now_ms: float
    ) -> list[estimates.Estimate]:
        """Returns the targets to choose from.

        When all look bad, this VM is more likely at fault than all of them, and
        any that may take work is better than none.
        """
        taking = self._table.list_taking(pool, now_ms)
        good = [
            each
            for each in taking
            if each.is_usable(now_ms)
            and not self._losses.is_suspect(each.target.hall, now_ms)
        ]
        if good or not self._config.tries_all:
            return good
        return taking


def _answer(
    asked: placement.Place, answer: placement.Placed | outcomes.NotServed
) -> None:
    if not asked.reply.done():
        asked.reply.set_result(answer)


def _refuse_no_target(pool: str) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.NO_TARGET, f"pool {pool} has no target", _GONE_RETRY_MS
    )
