"""Measures the time of a routing decision for different numbers of targets."""

import random
import time

from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import own_work
from ruddergate.decisions.routing import by_name
from ruddergate.decisions.routing import job as jobs
from ruddergate.fleet import load_report
from standins import paper_table

_SIZES = (20, 200, 1_000)
_DECISIONS = 2_000


def main() -> None:
    """Prints microseconds per decision for each policy and size."""
    job = jobs.Job(1_500, 1_700, "w:p1", 800, False, 0.0)
    print(f"{'policy':<16}" + "".join(f"{size:>10}" for size in _SIZES))
    for name in sorted(by_name.FACTORIES):
        policy = by_name.make_policy(name)
        cells = ""
        for size in _SIZES:
            loads = _make_busy_targets(size)
            rng = random.Random(1)
            started_s = time.perf_counter()
            for number in range(_DECISIONS):
                policy.choose(job, loads, 10.0 + number, rng)
            elapsed_s = time.perf_counter() - started_s
            cells += f"{elapsed_s / _DECISIONS * 1e6:>10.1f}"
        print(f"{name:<16}{cells} us")


def _make_busy_targets(size: int) -> list[estimates.Estimate]:
    loads = paper_table.make_estimates(size)
    for number, each in enumerate(loads):
        work = own_work.OwnWork(1_000 + number, 2_000, 5.0, 0)
        each.begin_attempt("a", work)
        report = load_report.LoadReport(
            each.target.target_id, "g", 3, 2_000, 9_000, False, 0.0
        )
        each.apply_report(report, 1.0)
    return loads


if __name__ == "__main__":
    main()
