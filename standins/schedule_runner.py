"""Runs seeds of random schedules in parallel and reports those that failed."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import functools
import sys
from typing import TypeAlias

import cyclopts
import loguru


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one schedule.

    Attributes:
        broken: A message for each violation.
        counts: How often each kind of event occurred.
        statuses: How often callers received each HTTP status.
        samples_ms: Measured times by their name.
    """

    broken: list[str]
    counts: Mapping[str, int]
    statuses: Mapping[int, int] = dataclasses.field(default_factory=dict)
    samples_ms: Mapping[str, Sequence[float]] = dataclasses.field(
        default_factory=dict
    )


# Runs the schedule of a seed.
RunSchedule: TypeAlias = Callable[[int], Result]


def run_all(
    run_schedule: RunSchedule, first: int, count: int, jobs: int
) -> int:
    """Runs seeds, prints those that failed, and returns an exit status.

    Args:
        run_schedule: Runs one seed; called in a process of the pool.
        first: First seed.
        count: Number of seeds.
        jobs: Number of seeds that run in parallel.
    """
    counts: collections.Counter[str] = collections.Counter()
    statuses: collections.Counter[int] = collections.Counter()
    samples_ms: dict[str, list[float]] = {}
    failed: list[str] = []
    seeds = range(first, first + count)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            functools.partial(_run_silently, run_schedule), seeds
        )
        for seed, result in zip(seeds, results, strict=True):
            counts.update(result.counts)
            statuses.update(result.statuses)
            for name, values_ms in result.samples_ms.items():
                samples_ms.setdefault(name, []).extend(values_ms)
            for each in result.broken:
                print(f"seed {seed}: {each}", flush=True)
            if result.broken:
                failed.append(f"seed {seed}: {result.broken[0]}")
    for name, number in sorted(counts.items()):
        print(f"{name}: {number}")
    for status, number in sorted(statuses.items()):
        print(f"status {status}: {number}")
    for name, values_ms in sorted(samples_ms.items()):
        print(f"{name}: {_describe_times(values_ms)}")
    # Once more at the end, as the beginning of a long output may be cut off.
    for each in failed:
        print(each)
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def run_command(run_schedule: RunSchedule) -> None:
    """Runs the seeds that the command line names, and exits.

    Args:
        run_schedule: Runs one seed; called in a process of the pool.
    """

    def main(*, first: int = 1, count: int = 20, jobs: int = 1) -> int:
        """Runs many schedules.

        Args:
            first: First seed.
            count: Number of seeds.
            jobs: Number of seeds that run in parallel, each in a process.
        """
        return run_all(run_schedule, first, count, jobs)

    sys.exit(cyclopts.run(main))


def _describe_times(values_ms: Sequence[float]) -> str:
    if not values_ms:
        return "none"
    ordered_ms = sorted(values_ms)
    shares = ", ".join(
        f"p{percent} {ordered_ms[(len(ordered_ms) - 1) * percent // 100]:.0f}"
        for percent in (50, 90, 99, 100)
    )
    return f"{len(ordered_ms)} times, {shares} ms"


def _run_silently(run_schedule: RunSchedule, seed: int) -> Result:
    loguru.logger.remove()
    return run_schedule(seed)
