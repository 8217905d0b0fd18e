"""The order in which waiting requests of one VM go.

A higher class goes first; a class that has had less than its floor of what
was lately dispatched goes before it. Inside a class, workspaces take turns by
weight on cost (start-time fair queueing). Inside a workspace, requests keep
their order in each lane; a lane that no target can take now does not hold up
the others.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

from ruddergate import outcomes
from ruddergate.settings import effective

SERVED_HORIZON_MS = 10_000.0
_RETRY_AFTER_LEAST_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """Requests that can be placed alike.

    Attributes:
        pool: Pool of targets.
        band: Band of the prompts' length.
    """

    pool: str
    band: int


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request as the queue sees it.

    Attributes:
        job_id: Unique name.
        priority: Its class.
        workspace: Its workspace.
        weight: The workload's weight in its class.
        lane: Where it can be placed.
        cost_ms: Predicted part of an engine.
        alone_ms: Time to finish once started on an idle target.
        deadline_ms: Monotonic time by which it must have ended.
    """

    job_id: str
    priority: effective.PriorityClass
    workspace: str
    weight: float
    lane: Lane
    cost_ms: float
    unloaded_ms: float
    deadline_ms: float


@dataclasses.dataclass(slots=True)
class _Workspace:
    lanes: dict[Lane, collections.deque[Job]]
    finish: float = 0.0


@dataclasses.dataclass(slots=True)
class _Class:
    workspaces: dict[str, _Workspace]
    priority: effective.PriorityClass
    count: int = 0
    waiting_cost_ms: float = 0.0
    cost_by_band: dict[int, float] = dataclasses.field(default_factory=dict)
    virtual_ms: float = 0.0
    served_ms: float = 0.0
    served_at_ms: float = 0.0

    def note_waiting(self, job: Job, cost_ms: float) -> None:
        self.count += 1 if cost_ms > 0.0 else -1
        band = job.lane.band
        known_ms = self.cost_by_band.get(band, 0.0)
        self.cost_by_band[band] = max(0.0, known_ms + cost_ms)
        self.waiting_cost_ms = max(0.0, self.waiting_cost_ms + cost_ms)

    def cost_up_to(self, band: int) -> float:
        return sum(
            cost_ms
            for each, cost_ms in self.cost_by_band.items()
            if each <= band
        )

    def served_lately(self, now_ms: float) -> float:
        age_ms = now_ms - self.served_at_ms
        return self.served_ms * math.exp(-age_ms / SERVED_HORIZON_MS)


class Queue:
    """Waiting requests of one VM; owned by one task.

    Args:
        drain_rate: Engine time that this VM can give out in a millisecond;
            a function, since it changes with targets and peers.
    """

    def __init__(self, drain_rate: Callable[[], float]) -> None:
        self._classes: dict[str, _Class] = {}
        self._drain_rate = drain_rate
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def offer(self, job: Job, now_ms: float) -> outcomes.NotServed | None:
        """Takes a job in, or returns at once why it can't be served."""
        wait_ms = self.predict_wait_ms(job.priority, job.lane.band)
        if now_ms + wait_ms + job.unloaded_ms > job.deadline_ms:
            return outcomes.refuse(
                outcomes.Reason.CANNOT_FINISH_IN_TIME,
                f"about {wait_ms + job.unloaded_ms:.0f} ms would be needed",
                max(_RETRY_AFTER_LEAST_MS, wait_ms),
            )
        own = self._find_class(job.priority)
        bound_ms = job.priority.queue_cost_ms_max
        if own.count and (own.waiting_cost_ms + job.cost_ms > bound_ms):
            return outcomes.refuse(
                outcomes.Reason.QUEUE_FULL,
                f"the queue of class {job.priority.name} is full",
                max(_RETRY_AFTER_LEAST_MS, wait_ms / 2.0),
            )
        self._add(own, job)
        return None

    def take(self, now_ms: float, closed: set[Lane]) -> Job | None:
        """Removes and returns the job that goes next, if any.

        Args:
            now_ms: Monotonic time.
            closed: Lanes that no target can take from now.
        """
        for own in self._in_order(now_ms):
            found = self._take_from(own, closed)
            if found is not None:
                self._note_served(own, found.cost_ms, now_ms)
                return found
        return None

    def put_back(self, job: Job, now_ms: float) -> None:
        """Returns a job just taken to the head of its line."""
        own = self._find_class(job.priority)
        self._note_served(own, -job.cost_ms, now_ms)
        self._add(own, job, at_head=True)
        space = own.workspaces[job.workspace]
        space.finish -= job.cost_ms / job.weight

    def withdraw(self, job: Job) -> bool:
        """Removes a waiting job; returns whether it was still waiting."""
        own = self._find_class(job.priority)
        space = own.workspaces.get(job.workspace)
        line = space.lanes.get(job.lane) if space else None
        if line is None or job not in line:
            return False
        line.remove(job)
        self._forget(own, job)
        return True

    def expire(self, now_ms: float) -> list[Job]:
        """Removes and returns the jobs that can't finish in time any more."""
        late = [
            job
            for job in self.jobs()
            if now_ms + job.unloaded_ms > job.deadline_ms
        ]
        for job in late:
            self.withdraw(job)
        return late

    def jobs(self) -> Iterator[Job]:
        """Yields all waiting jobs, in no particular order."""
        for own in self._classes.values():
            for space in own.workspaces.values():
                for line in space.lanes.values():
                    yield from line

    def waiting_by_class(self) -> dict[str, float]:
        """Returns the cost waiting in each class, in milliseconds."""
        return {
            name: own.waiting_cost_ms for name, own in self._classes.items()
        }

    def predict_wait_ms(
        self, priority: effective.PriorityClass, band: int
    ) -> float:
        """Returns how long a new job of this class and band would wait.

        Longer prompts do not count: their lanes hold up nobody.
        """
        ahead_ms = sum(
            own.cost_up_to(band)
            for own in self._classes.values()
            if own.priority.rank >= priority.rank
        )
        rate = max(1e-6, self._drain_rate())
        floor_rate = rate * max(0.0, priority.floor_percent) / 100.0
        own = self._classes.get(priority.name)
        own_ms = own.cost_up_to(band) if own else 0.0
        wait_ms = ahead_ms / rate
        if floor_rate > 0:
            wait_ms = min(wait_ms, own_ms / floor_rate)
        return wait_ms

    def _find_class(self, priority: effective.PriorityClass) -> _Class:
        own = self._classes.get(priority.name)
        if own is None:
            own = self._classes[priority.name] = _Class({}, priority)
        own.priority = priority
        return own

    def _add(self, own: _Class, job: Job, at_head: bool = False) -> None:
        space = own.workspaces.get(job.workspace)
        if space is None:
            space = own.workspaces[job.workspace] = _Workspace({})
        line = space.lanes.get(job.lane)
        if line is None:
            line = space.lanes[job.lane] = collections.deque()
        if at_head:
            line.appendleft(job)
        else:
            line.append(job)
        own.note_waiting(job, job.cost_ms)
        self._count += 1

    def _forget(self, own: _Class, job: Job) -> None:
        own.note_waiting(job, -job.cost_ms)
        self._count -= 1
        space = own.workspaces[job.workspace]
        if not space.lanes[job.lane]:
            del space.lanes[job.lane]

    def _in_order(self, now_ms: float) -> list[_Class]:
        waiting = [c for c in self._classes.values() if c.count]
        total = sum(c.served_lately(now_ms) for c in self._classes.values())

        def order(own: _Class) -> tuple[bool, float, str]:
            floor = own.priority.floor_percent / 100.0
            starved = own.served_lately(now_ms) < floor * total
            return (not starved, -own.priority.rank, own.priority.name)

        return sorted(waiting, key=order)

    def _take_from(self, own: _Class, closed: set[Lane]) -> Job | None:
        best: tuple[float, str, Lane] | None = None
        for name, space in own.workspaces.items():
            lane = _first_open(space, closed)
            if lane is None:
                continue
            start = max(own.virtual_ms, space.finish)
            if best is None or (start, name) < best[:2]:
                best = (start, name, lane)
        if best is None:
            return None
        start, name, lane = best
        space = own.workspaces[name]
        job = space.lanes[lane].popleft()
        own.virtual_ms = start
        space.finish = start + job.cost_ms / job.weight
        self._forget(own, job)
        return job

    def _note_served(self, own: _Class, cost_ms: float, now_ms: float) -> None:
        own.served_ms = max(0.0, own.served_lately(now_ms) + cost_ms)
        own.served_at_ms = now_ms


def _first_open(space: _Workspace, closed: set[Lane]) -> Lane | None:
    """Returns the open lane whose first job must end soonest."""
    lanes = [lane for lane in space.lanes if lane not in closed]
    if not lanes:
        return None
    return min(lanes, key=lambda lane: space.lanes[lane][0].deadline_ms)
