"""Runs seeds of random schedules in parallel and reports those that failed."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import concurrent.futures
import functools
from typing import Protocol

import loguru


class ScheduleResult(Protocol):
    """Result of a seed.

    Attributes:
        broken: A message for each violation.
        counts: How often each kind of event occurred.
    """

    broken: list[str]
    counts: Mapping[str, int]


def run_all(
    run_schedule: Callable[[int], ScheduleResult],
    first: int,
    count: int,
    jobs: int,
) -> int:
    """Runs seeds, prints those that failed, and returns an exit status.

    Args:
        run_schedule: Runs one seed; called in a process of the pool.
        first: First seed.
        count: Number of seeds.
        jobs: Number of seeds that run in parallel.
    """
    counts: collections.Counter[str] = collections.Counter()
    failed: list[str] = []
    seeds = range(first, first + count)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            functools.partial(_run_silently, run_schedule), seeds
        )
        for seed, result in zip(seeds, results, strict=True):
            counts.update(result.counts)
            for each in result.broken:
                print(f"seed {seed}: {each}", flush=True)
            if result.broken:
                failed.append(f"seed {seed}: {result.broken[0]}")
    for name, number in sorted(counts.items()):
        print(f"{name}: {number}")
    # Once more at the end, as the beginning of a long output may be cut off.
    for each in failed:
        print(each)
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _run_silently(
    run_schedule: Callable[[int], ScheduleResult], seed: int
) -> ScheduleResult:
    loguru.logger.remove()
    return run_schedule(seed)
