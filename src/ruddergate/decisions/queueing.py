"""The order in which one VM dispatches its waiting requests.

Higher priority classes go first, after classes that have had less than their
floor, a guaranteed share of what was recently dispatched. Within a class,
workspaces share by weight and cost (start-time fair queueing). Within a
workspace, each lane is first in, first out; a lane that no target can take
requests from now does not block the others.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

from ruddergate import outcomes
from ruddergate.settings import effective

# Time constant of the exponential decay of what a class was recently served.
SERVED_DECAY_MS = 10_000.0
_MIN_RETRY_AFTER_MS = 100.0
# A wait that is predicted to be longer says little: the rate at which a queue
# empties changes as targets fail and return.
MAX_RETRY_AFTER_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """Requests that wait in one line: those of one pool and length band.

    Attributes:
        pool: Pool of targets.
        band: Length band of the prompts.
    """

    pool: str
    band: int


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request as the queue sees it.

    Attributes:
        job_id: Unique name.
        priority: Its priority class.
        workspace: Its workspace.
        weight: Weight of its workload within the class.
        lane: Lane in which it waits.
        cost_ms: Predicted engine time that it uses.
        unloaded_ms: Predicted time from its start to its end on an idle target.
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
class _WorkspaceQueue:
    lanes: dict[Lane, collections.deque[Job]]
    finish_tag: float = 0.0


@dataclasses.dataclass(slots=True)
class _ClassQueue:
    workspaces: dict[str, _WorkspaceQueue]
    priority: effective.PriorityClass
    count: int = 0
    waiting_cost_ms: float = 0.0
    cost_by_band: dict[int, float] = dataclasses.field(default_factory=dict)
    virtual_time_ms: float = 0.0
    served_ms: float = 0.0
    served_at_ms: float = 0.0

    def note_added(self, job: Job) -> None:
        self.count += 1
        self._add_cost(job, job.cost_ms)

    def note_removed(self, job: Job) -> None:
        self.count -= 1
        self._add_cost(job, -job.cost_ms)

    def _add_cost(self, job: Job, cost_ms: float) -> None:
        band = job.lane.band
        known_ms = self.cost_by_band.get(band, 0.0)
        self.cost_by_band[band] = max(0.0, known_ms + cost_ms)
        self.waiting_cost_ms = max(0.0, self.waiting_cost_ms + cost_ms)

    def cost_up_to(self, band: int) -> float:
        return sum(
            cost_ms
            for job_band, cost_ms in self.cost_by_band.items()
            if job_band <= band
        )

    def recent_served_ms(self, now_ms: float) -> float:
        age_ms = now_ms - self.served_at_ms
        return self.served_ms * math.exp(-age_ms / SERVED_DECAY_MS)


class Queue:
    """Waiting requests of one VM; owned by one task.

    Args:
        drain_rate: Returns the engine time that this VM can dispatch per
            millisecond; a function, as it changes with targets and peers.
    """

    def __init__(self, drain_rate: Callable[[], float]) -> None:
        self._classes: dict[str, _ClassQueue] = {}
        self._drain_rate = drain_rate
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def offer(self, job: Job, now_ms: float) -> outcomes.NotServed | None:
        """Adds a job, or returns at once why it can't be served."""
        wait_ms = self.predict_wait_ms(job.priority, job.lane.band)
        if now_ms + wait_ms + job.unloaded_ms > job.deadline_ms:
            return outcomes.refuse(
                outcomes.Reason.CANNOT_FINISH_IN_TIME,
                f"about {wait_ms + job.unloaded_ms:.0f} ms would be needed",
                _bound_retry_after_ms(wait_ms),
            )
        class_ = self._find_class(job.priority)
        bound_ms = job.priority.queue_cost_ms_max
        if class_.count and (class_.waiting_cost_ms + job.cost_ms > bound_ms):
            return outcomes.refuse(
                outcomes.Reason.QUEUE_FULL,
                f"the queue of class {job.priority.name} is full",
                _bound_retry_after_ms(wait_ms / 2.0),
            )
        self._add_job(class_, job)
        return None

    def take_next(self, now_ms: float, blocked_lanes: set[Lane]) -> Job | None:
        """Removes and returns the next job to dispatch, if there is one.

        Args:
            now_ms: Monotonic time.
            blocked_lanes: Lanes that no target can take jobs from now.
        """
        for class_ in self._rank_classes(now_ms):
            job = self._take_from(class_, blocked_lanes)
            if job is not None:
                self._note_served(class_, job.cost_ms, now_ms)
                return job
        return None

    def requeue(self, job: Job, now_ms: float) -> None:
        """Returns a job just taken to the head of its lane."""
        class_ = self._find_class(job.priority)
        self._note_served(class_, -job.cost_ms, now_ms)
        self._add_job(class_, job, at_head=True)
        workspace = class_.workspaces[job.workspace]
        workspace.finish_tag -= job.cost_ms / job.weight

    def remove(self, job: Job) -> bool:
        """Removes a waiting job; returns whether it was still waiting."""
        class_ = self._find_class(job.priority)
        workspace = class_.workspaces.get(job.workspace)
        waiting_jobs = workspace.lanes.get(job.lane) if workspace else None
        if waiting_jobs is None or job not in waiting_jobs:
            return False
        waiting_jobs.remove(job)
        self._note_removed(class_, job)
        return True

    def remove_expired(self, now_ms: float) -> list[Job]:
        """Removes and returns the jobs that can no longer finish in time."""
        late = [
            job
            for job in self.jobs()
            if now_ms + job.unloaded_ms > job.deadline_ms
        ]
        for job in late:
            self.remove(job)
        return late

    def jobs(self) -> Iterator[Job]:
        """Yields all waiting jobs, in no particular order."""
        for class_ in self._classes.values():
            for workspace in class_.workspaces.values():
                for waiting_jobs in workspace.lanes.values():
                    yield from waiting_jobs

    def waiting_by_class(self) -> dict[str, float]:
        """Returns the waiting engine time of each class, in milliseconds."""
        return {
            name: class_.waiting_cost_ms
            for name, class_ in self._classes.items()
        }

    def predict_wait_ms(
        self, priority: effective.PriorityClass, band: int
    ) -> float:
        """Returns how long a new job of this class and band would wait.

        Longer prompts are left out: their lanes block no shorter ones. The
        result is 0 if no target can be used at the moment: when one can is
        unknown, and is often soon.
        """
        return self._predict_wait_ms(priority, band, 0.0, self._drain_rate())

    def predict_waits(self) -> Iterator[tuple[Job, float]]:
        """Yields the waiting jobs, and how long each of them would wait.

        The later ones of a lane come first. Those that the caller removes no
        longer count for the ones before them.
        """
        rate = self._drain_rate()
        for job in reversed(list(self.jobs())):
            yield (
                job,
                self._predict_wait_ms(
                    job.priority, job.lane.band, job.cost_ms, rate
                ),
            )

    def _predict_wait_ms(
        self,
        priority: effective.PriorityClass,
        band: int,
        own_cost_ms: float,
        rate: float,
    ) -> float:
        if rate <= 0.0:
            return 0.0
        ahead_ms = sum(
            class_.cost_up_to(band)
            for class_ in self._classes.values()
            if class_.priority.rank >= priority.rank
        )
        floor_rate = rate * max(0.0, priority.floor_percent) / 100.0
        class_ = self._classes.get(priority.name)
        class_ms = class_.cost_up_to(band) if class_ else 0.0
        wait_ms = max(0.0, ahead_ms - own_cost_ms) / rate
        if floor_rate > 0:
            class_wait_ms = max(0.0, class_ms - own_cost_ms) / floor_rate
            wait_ms = min(wait_ms, class_wait_ms)
        return wait_ms

    def _find_class(self, priority: effective.PriorityClass) -> _ClassQueue:
        class_ = self._classes.get(priority.name)
        if class_ is None:
            class_ = self._classes[priority.name] = _ClassQueue({}, priority)
        class_.priority = priority
        return class_

    def _add_job(
        self, class_: _ClassQueue, job: Job, at_head: bool = False
    ) -> None:
        workspace = class_.workspaces.get(job.workspace)
        if workspace is None:
            workspace = class_.workspaces[job.workspace] = _WorkspaceQueue({})
        waiting_jobs = workspace.lanes.get(job.lane)
        if waiting_jobs is None:
            waiting_jobs = workspace.lanes[job.lane] = collections.deque()
        if at_head:
            waiting_jobs.appendleft(job)
        else:
            waiting_jobs.append(job)
        class_.note_added(job)
        self._count += 1

    def _note_removed(self, class_: _ClassQueue, job: Job) -> None:
        class_.note_removed(job)
        self._count -= 1
        workspace = class_.workspaces[job.workspace]
        if not workspace.lanes[job.lane]:
            del workspace.lanes[job.lane]

    def _rank_classes(self, now_ms: float) -> list[_ClassQueue]:
        class_queues = [c for c in self._classes.values() if c.count]
        total = sum(c.recent_served_ms(now_ms) for c in self._classes.values())

        def rank_key(class_: _ClassQueue) -> tuple[bool, float, str]:
            floor = class_.priority.floor_percent / 100.0
            starved = class_.recent_served_ms(now_ms) < floor * total
            return (not starved, -class_.priority.rank, class_.priority.name)

        return sorted(class_queues, key=rank_key)

    def _take_from(
        self, class_: _ClassQueue, blocked_lanes: set[Lane]
    ) -> Job | None:
        best: tuple[float, str, Lane] | None = None
        for name, workspace in class_.workspaces.items():
            lane = _find_lane(workspace, blocked_lanes)
            if lane is None:
                continue
            start_tag = max(class_.virtual_time_ms, workspace.finish_tag)
            if best is None or (start_tag, name) < best[:2]:
                best = (start_tag, name, lane)
        if best is None:
            return None
        start_tag, name, lane = best
        workspace = class_.workspaces[name]
        job = workspace.lanes[lane].popleft()
        class_.virtual_time_ms = start_tag
        workspace.finish_tag = start_tag + job.cost_ms / job.weight
        self._note_removed(class_, job)
        return job

    def _note_served(
        self, class_: _ClassQueue, cost_ms: float, now_ms: float
    ) -> None:
        class_.served_ms = max(0.0, class_.recent_served_ms(now_ms) + cost_ms)
        class_.served_at_ms = now_ms


def _find_lane(
    workspace: _WorkspaceQueue, blocked_lanes: set[Lane]
) -> Lane | None:
    """Returns the unblocked lane whose first job has the next deadline."""
    lanes = [lane for lane in workspace.lanes if lane not in blocked_lanes]
    if not lanes:
        return None
    return min(lanes, key=lambda lane: workspace.lanes[lane][0].deadline_ms)


def _bound_retry_after_ms(wait_ms: float) -> float:
    return min(MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, wait_ms))
