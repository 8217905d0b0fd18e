"""Outcomes of the requests of a trace."""

from collections.abc import Iterable
import dataclasses
import pathlib

import orjson


@dataclasses.dataclass(frozen=True, slots=True)
class TracedOutcome:
    """Outcome of one request of a trace.

    Attributes:
        id: ID of the request.
        status: `finished`, `refused` or `failed`.
        ran: `not_run`, `ran` or `unknown`.
        reason: Why it did not finish, or empty.
        ttft_ms: Time to first token, or None.
        total_ms: Time to the end of the answer, or None.
        answer_ok: Whether a finished answer was complete and belonged to this
            request.
        executions: Number of runs counted by the targets; -1 if they are not
            counted.
        prompt_tokens: Length of the prompt.
        workspace: Workspace that sent it.
        workload: Workload that it was sent as.
        time_limit_ms: Its time limit.
        retry_after_ms: Delay before a retry that the response asked for, or
            None.
    """

    id: str
    status: str
    ran: str
    reason: str
    ttft_ms: float | None
    total_ms: float | None
    answer_ok: bool
    executions: int
    prompt_tokens: int
    workspace: str
    workload: str
    time_limit_ms: float
    retry_after_ms: float | None = None


def write_outcomes(
    path: pathlib.Path, outcomes: Iterable[TracedOutcome]
) -> None:
    """Writes one JSON line for each outcome."""
    with path.open("wb") as file:
        for outcome in outcomes:
            file.write(orjson.dumps(dataclasses.asdict(outcome)) + b"\n")


def read_outcomes(path: pathlib.Path) -> tuple[TracedOutcome, ...]:
    """Returns the outcomes in a file written by `write_outcomes`."""
    lines = path.read_bytes().splitlines()
    return tuple(TracedOutcome(**orjson.loads(line)) for line in lines)
