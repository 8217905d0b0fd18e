"""The one signature of routing policies."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import TypeAlias

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import job as jobs

# Chooses among usable targets (never empty); None means that the job is
# better kept waiting here.
Choose: TypeAlias = Callable[
    [jobs.Job, Sequence[estimates.Estimate], float, random.Random],
    estimates.Estimate | None,
]


# Chooses engines that read parts of the prompt for the chosen one.
ChooseHelpers: TypeAlias = Callable[
    [
        jobs.Job,
        estimates.Estimate,
        Sequence[estimates.Estimate],
        float,
        random.Random,
    ],
    Sequence[estimates.Estimate],
]


def choose_no_helpers(
    job: jobs.Job,
    chosen: estimates.Estimate,
    candidates: Sequence[estimates.Estimate],
    now_ms: float,
    rng: random.Random,
) -> Sequence[estimates.Estimate]:
    """Leaves the whole prompt to the chosen engine."""
    return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A routing policy.

    Attributes:
        choose: Where a request runs.
        shorter_first: Whether engines are asked to prefill shorter prompts of
            a class before longer ones.
        choose_helpers: Which other engines read parts of a prompt.
        splits_memory: Whether helpers also hold parts of a prompt that does
            not fit one engine.
    """

    choose: Choose
    shorter_first: bool = False
    choose_helpers: ChooseHelpers = choose_no_helpers
    splits_memory: bool = False
