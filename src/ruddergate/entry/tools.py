"""What the stages of a request's way share in one entry."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import retries
from ruddergate.entry import canceller
from ruddergate.entry import config as configs
from ruddergate.entry import lost_call
from ruddergate.entry import scheduler
from ruddergate.entry import suspects as suspect_tables
from ruddergate.entry import view as views
from ruddergate.fleet import target as targets
from ruddergate.telemetry import metrics
from ruddergate.telemetry import traces


def _note_nothing(lost: lost_call.LostCall) -> None:
    """Stands where it is not asked what became of targets."""


def _refuse_nothing(
    asked: Iterable[targets.Target],
) -> outcomes.NotServed | None:
    """Stands where targets do not say in answers what they take."""
    return None


def _admit_all(
    target: targets.Target, attempt_id: str
) -> outcomes.NotServed | None:
    """Stands where targets name no rate limits."""
    return None


async def _lend_nothing(is_large: bool) -> bool:
    """Stands where there are no peers that lend retries."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """Handles of one entry's tasks.

    Attributes:
        outside: Clock, chance and streams.
        config: Settings of the process.
        incarnation: Name of this run of the entry.
        began_ms: Monotonic time at which it began.
        view: Settings, fleet and shares.
        scheduler: Gives out places.
        canceller: Frees what was given up.
        budget: Retries that may be made.
        metrics: Metrics of the process.
        tracer: Starts spans.
        suspects: Contents under which targets have ended.
        secure_retry: Sees to it that a retry can be made, by borrowing one
            where that is possible; told whether it is for a prompt worth many
            short ones. Returns whether one can be made.
        note_lost: Has it found out whether the target that lost a call ended.
        refuse_send: Returns a refusal if one of some targets takes no calls at
            this moment; asked in the step that sends.
        admit: Counts a call against its target's rate limit, or returns a
            refusal; told the target and the attempt, in the step that sends.
        give_back: Takes back a call counted so that was not sent after all.
    """

    outside: environment.Environment
    config: configs.EntryConfig
    incarnation: str
    began_ms: float
    view: views.View
    scheduler: scheduler.Scheduler
    canceller: canceller.Canceller
    budget: retries.Budget
    metrics: metrics.EntryMetrics
    tracer: traces.Tracer
    suspects: suspect_tables.Suspects
    secure_retry: Callable[[bool], Awaitable[bool]] = _lend_nothing
    note_lost: Callable[[lost_call.LostCall], None] = _note_nothing
    refuse_send: Callable[
        [Iterable[targets.Target]], outcomes.NotServed | None
    ] = _refuse_nothing
    admit: Callable[[targets.Target, str], outcomes.NotServed | None] = (
        _admit_all
    )
    give_back: Callable[[targets.Target], None] = lambda target: None

    @property
    def owner(self) -> str:
        """Name under which engines hold memory for this entry."""
        return f"{self.config.vm_id}/{self.incarnation}"
