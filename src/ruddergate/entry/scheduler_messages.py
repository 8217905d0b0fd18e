"""Messages to the scheduler, and its replies."""

import asyncio
import dataclasses

from ruddergate import outcomes
from ruddergate.decisions import cost as costs
from ruddergate.decisions import gangs
from ruddergate.decisions import queueing
from ruddergate.decisions.routing import job as jobs
from ruddergate.entry import end_verifier
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.settings import effective


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A target that was chosen for an attempt.

    Attributes:
        target: The target.
        attempt_id: Id of the attempt at this target.
        cached_tokens: Prompt tokens that are probably cached there.
        estimated_load: The load estimate behind the choice, for logs.
        held_tokens: Memory that the attempt will occupy, in tokens.
    """

    target: targets.Target
    attempt_id: str
    cached_tokens: int
    estimated_load: str = ""
    held_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementGrant:
    """Allows a request to be sent now.

    Attributes:
        placements: The target that responds and those that help it, or one for
            each segment of a gang.
    """

    placements: tuple[Placement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Asks for a target; the result is set on `reply`.

    Attributes:
        job: The request as the queue sees it.
        routing_job: The request as a routing policy sees it. Until a target is
            chosen, its `waited_ms` is the monotonic time at which the wait
            began; the policy gets the duration.
        pool: The pool to choose from.
        segments: Parts of a prompt that spans a gang; else empty.
        excluded: Ids of targets that have failed this request; they are chosen
            only if there are no others.
        reply: Receives a PlacementGrant or a NotServed.
        forbidden: Ids of targets that must not be chosen.
        cost: Predicted cost, by which requests are refused that a planned stop
            would cut; None if none of them is.
    """

    job: queueing.Job
    routing_job: jobs.Job
    pool: effective.Pool
    segments: tuple[gangs.Segment, ...]
    excluded: frozenset[str]
    reply: "asyncio.Future[PlacementGrant | outcomes.NotServed]"
    forbidden: frozenset[str] = frozenset()
    cost: costs.Cost | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelPlacement:
    """Cancels a placement request, or returns the placements just granted."""

    request: PlacementRequest


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The prefill of an attempt has ended.

    Attributes:
        placement: The attempt and its target.
        prefix: Name of the shared prefix that is now cached there, or empty.
        prefix_tokens: Length of that prefix.
    """

    placement: Placement
    prefix: str
    prefix_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        placement: The attempt and its target.
        is_target_fault: Whether the target is at fault.
        is_unreachable: Whether nothing came back from the target.
        has_answered: Whether the target responded, and so is reachable.
        has_exited: Whether nothing listened at the target's address any more,
            or another incarnation responded there.
        answered_ms: When the target last responded; None if that was now.
        is_flooding: Whether the target sent a response without end.
    """

    placement: Placement
    is_target_fault: bool
    is_unreachable: bool = False
    has_answered: bool = True
    has_exited: bool = False
    answered_ms: float | None = None
    is_flooding: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """A target incarnation has ended, with whatever was running there."""

    target: targets.Target


@dataclasses.dataclass(frozen=True, slots=True)
class EndVerified:
    """A target that a peer reported as ended was probed.

    Attributes:
        target: The target.
        verdict: What that shows about this incarnation of it.
    """

    target: targets.Target
    verdict: end_verifier.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class StopBegan:
    """The planned stop has begun.

    The scheduler refuses what can't finish at its next turn, which this brings
    about.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class NewEnds:
    """Peers have reported ends of targets, or refuted some.

    The scheduler collects them at its next turn, which this brings about.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target reported its load along with a response."""

    report: load_report.LoadReport
