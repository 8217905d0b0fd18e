"""Messages to the scheduler and its answers."""

import asyncio
import dataclasses

from ruddergate import outcomes
from ruddergate.decisions import gangs
from ruddergate.decisions import queueing
from ruddergate.decisions.routing import job as jobs
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.settings import effective


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """One target given to an attempt.

    Attributes:
        target: Where to run.
        attempt_id: Name of the attempt there.
        cached_tokens: Prompt tokens believed cached there.
        believed: What the choice went by, for logs.
        held_tokens: Memory of the target that the attempt is to take up.
    """

    target: targets.Target
    attempt_id: str
    cached_tokens: int
    estimated_load: str = ""
    held_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementGrant:
    """A request may go now; one seat, or one for each part of a gang."""

    placements: tuple[Placement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Asks for a place; the answer is set on `reply`.

    Attributes:
        job: The request as the queue sees it.
        route: The request as a routing policy sees it.
        pool: Its pool.
        segments: Parts of a prompt that spans a gang; else empty.
        excluded: Targets that have failed this request.
        reply: Gets a PlacementGrant or a NotServed.
    """

    job: queueing.Job
    route: jobs.Job
    pool: effective.Pool
    segments: tuple[gangs.Segment, ...]
    excluded: frozenset[str]
    reply: "asyncio.Future[PlacementGrant | outcomes.NotServed]"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelPlacement:
    """Takes back a request for a place, or a place just given."""

    request: PlacementRequest


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """An attempt's prefill has ended."""

    placement: Placement
    prefix: str
    prefix_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        seat: Its place.
        failed: Whether the target is to blame.
        unreachable: Whether nothing came back from it.
        answered: Whether the target did its part, and so is in reach.
        gone: Whether nobody or another target answered in its place.
    """

    placement: Placement
    is_target_fault: bool
    is_unreachable: bool = False
    has_answered: bool = True
    has_exited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """A target was found to have ended, whatever was running there."""

    target: targets.Target


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target told its load with an answer."""

    report: load_report.LoadReport
