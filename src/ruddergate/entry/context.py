"""Objects that all stages of request handling in one entry share."""

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
from ruddergate.entry import quarantine as quarantines
from ruddergate.entry import scheduler
from ruddergate.entry import view as views
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.telemetry import metrics
from ruddergate.telemetry import traces


def _ignore_lost_call(lost: lost_call.LostCall) -> None:
    """Default of an entry that does not track crashed targets."""


def _admit_targets(
    candidates: Iterable[targets.Target],
) -> outcomes.NotServed | None:
    """Default of an entry whose targets send no response hints."""
    return None


def _grant_rate_token(
    target: targets.Target, attempt_id: str
) -> outcomes.NotServed | None:
    """Default of an entry whose targets advertise no rate limits."""
    return None


async def _assume_alive(incarnation: incarnations.Incarnation) -> bool:
    """Default of an entry that does not track crashed targets."""
    return False


async def _assume_way(wait_ms: float) -> outcomes.NotServed | None:
    """Default of an entry that does not track its links to targets."""
    return None


async def _use_own_tokens(pool: str) -> None:
    """Default of an entry without peers that transfer rate tokens."""


async def _refuse_retry(is_large: bool) -> bool:
    """Default of an entry without peers that transfer retry budget."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """Shared objects of one entry.

    Attributes:
        env: Clock, random numbers and network streams.
        config: Settings of the process.
        incarnation: Name of this run of the entry.
        started_ms: Monotonic time at which the run started.
        view: Settings, fleet and shares of limits.
        scheduler: Chooses targets for requests.
        canceller: Frees what abandoned attempts hold on engines.
        budget: Retry budget.
        metrics: Metrics of the process.
        tracer: Starts spans.
        quarantine: Requests under which targets have crashed.
        ensure_retry: Makes sure that a retry is in the budget, transferring one
            from a peer if needed and possible. Takes whether it is for a large
            prompt, which is worth many short ones. Returns whether a retry is
            available.
        report_lost_call: Starts to find out whether the target of a lost
            request has ended.
        has_crashed: Returns whether an incarnation that lost a request has
            ended, after the probe that may still be running.
        check_admission: Returns a refusal if one of the given targets accepts
            no requests at this moment; called in the step that sends.
        take_rate_token: Counts a request against its target's rate limit, or
            returns a refusal. Takes the target and the attempt id; called in
            the step that sends.
        return_rate_token: Undoes `take_rate_token` for a request that was not
            sent after all. Takes the target and the attempt id.
        ensure_rate_token: Transfers tokens of targets' rate limits from peers
            if a request for a pool needs one. Takes the name of the pool.
        wait_for_way: Returns a refusal if no way leads to any target. Takes how
            long to wait for one, in milliseconds.
    """

    env: environment.Environment
    config: configs.EntryConfig
    incarnation: str
    started_ms: float
    view: views.View
    scheduler: scheduler.Scheduler
    canceller: canceller.Canceller
    budget: retries.Budget
    metrics: metrics.EntryMetrics
    tracer: traces.Tracer
    quarantine: quarantines.Quarantine
    ensure_retry: Callable[[bool], Awaitable[bool]] = _refuse_retry
    report_lost_call: Callable[[lost_call.LostCall], None] = _ignore_lost_call
    has_crashed: Callable[[incarnations.Incarnation], Awaitable[bool]] = (
        _assume_alive
    )
    check_admission: Callable[
        [Iterable[targets.Target]], outcomes.NotServed | None
    ] = _admit_targets
    take_rate_token: Callable[
        [targets.Target, str], outcomes.NotServed | None
    ] = _grant_rate_token
    return_rate_token: Callable[[targets.Target, str], None] = (
        lambda target, attempt_id: None
    )
    ensure_rate_token: Callable[[str], Awaitable[None]] = _use_own_tokens
    wait_for_way: Callable[[float], Awaitable[outcomes.NotServed | None]] = (
        _assume_way
    )

    @property
    def owner(self) -> str:
        """Owner name of what this entry holds on engines."""
        return f"{self.config.vm_id}/{self.incarnation}"
