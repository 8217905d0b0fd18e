"""Replays traces with faults against a small virtual cluster."""

import dataclasses

from ruddergate.experiments import trace
from standins import cluster as clusters
from standins import replay
from standins import schedules

LAYOUT = clusters.Layout(vms=4, halls=2, engines=4, services=2)


def make_requests(
    count: int, interval_ms: float, **fields: object
) -> list[trace.TracedRequest]:
    """Returns requests of the same shape at a fixed interval."""
    first = trace.TracedRequest(0.0, "r", "w1", "repairs")
    shape = {"prompt_tokens": 1_200, "output_tokens": 40, **fields}
    return [
        dataclasses.replace(
            first, at_ms=number * interval_ms, id=f"r{number}", **shape
        )
        for number in range(count)
    ]


def make_fault(at_ms: float, kind: str, on: str, from_: str = "") -> trace.Line:
    """Returns the trace line of a fault."""
    return trace.TracedFault(at_ms, kind, on, from_)


def replay_trace(
    lines: list[trace.Line],
    layout: clusters.Layout = LAYOUT,
    tree: dict | None = None,
) -> replay.ReplayResult:
    """Replays trace lines in time order; they may be given in any order."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    return replay.replay(tuple(ordered), layout, tree)


find_violations = schedules.find_violations


def count_statuses(found: replay.ReplayResult) -> dict[str, int]:
    """Returns the number of requests for each final status."""
    counts: dict[str, int] = {}
    for each in found.outcomes:
        counts[each.status] = counts.get(each.status, 0) + 1
    return counts
