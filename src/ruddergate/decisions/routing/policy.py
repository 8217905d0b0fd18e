"""The common signature of routing policies."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import TypeAlias

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions.routing import job as jobs

# Chooses one of the usable targets, of which there is at least one; None means
# that the job should wait on this VM.
Choose: TypeAlias = Callable[
    [jobs.Job, Sequence[estimates.Estimate], float, random.Random],
    estimates.Estimate | None,
]


# Chooses the engines that prefill parts of the prompt for the chosen one.
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
    """Returns no helpers: the chosen engine prefills the whole prompt."""
    return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A routing policy.

    Attributes:
        choose: Chooses the target of a request.
        shorter_first: Whether engines are asked to prefill shorter prompts of
            a priority class before longer ones.
        choose_helpers: Chooses the other engines that prefill parts of a
            prompt.
        splits_memory: Whether helpers also hold parts of a prompt that does
            not fit one engine.
    """

    choose: Choose
    shorter_first: bool = False
    choose_helpers: ChooseHelpers = choose_no_helpers
    splits_memory: bool = False
