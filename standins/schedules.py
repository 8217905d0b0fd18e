"""Random schedules of requests and faults, each generated from a seed.

`python -m standins.schedules --first 1 --count 100` runs many schedules and
prints the guarantees that were violated, by seed.
"""

import dataclasses
import random
import sys

import cyclopts

from ruddergate.experiments import outcome as outcomes
from ruddergate.experiments import trace
from standins import cluster as clusters
from standins import replay

_DURATION_MS = 12_000.0
_REQUESTS = 90
_FAULTS = 7
_MAX_FAULT_MS = 12_000.0
_LAYOUTS = (
    clusters.Layout(vms=5, halls=3, engines=5, services=2),
    clusters.Layout(vms=4, halls=2, engines=4, services=1),
)


def make_schedule(
    seed: int,
) -> tuple[list[trace.Line], clusters.Layout]:
    """Returns the lines of one schedule and the layout to run it on."""
    rng = random.Random(seed)
    layout = dataclasses.replace(rng.choice(_LAYOUTS), seed=seed)
    lines: list[trace.Line] = [
        _make_request(rng, number) for number in range(_REQUESTS)
    ]
    resent = rng.sample(lines, _REQUESTS // 6)
    lines += [_resend(line, rng) for line in resent]
    for _ in range(_FAULTS):
        lines += _make_fault(rng, layout)
    return sorted(lines, key=lambda line: line.at_ms), layout


def _make_request(rng: random.Random, number: int) -> trace.TracedRequest:
    is_service = rng.random() < 0.2
    is_long = rng.random() < 0.05
    tokens = rng.randint(100_000, 700_000) if is_long else 1_500
    return trace.TracedRequest(
        at_ms=round(rng.uniform(0.0, _DURATION_MS), 1),
        id=f"r{number}",
        workspace=f"w{rng.randrange(3)}",
        workload="service" if is_service else "prompt",
        prompt_tokens=0 if is_service else tokens,
        output_tokens=rng.randint(10, 150),
        repeatable=rng.random() < 0.6,
        time_limit_ms=rng.choice((4_000.0, 12_000.0, 60_000.0)),
    )


def _resend(
    line: trace.TracedRequest, rng: random.Random
) -> trace.TracedRequest:
    later_ms = rng.choice((0.0, 1.0, 3_000.0, 15_000.0))
    return dataclasses.replace(line, at_ms=line.at_ms + later_ms)


def _make_fault(
    rng: random.Random, layout: clusters.Layout
) -> list[trace.TracedFault]:
    """Returns a fault and the line that ends it."""
    at_ms = round(rng.uniform(0.0, _DURATION_MS), 1)
    end_ms = at_ms + rng.choice((400.0, 3_000.0, _MAX_FAULT_MS))
    vm = f"vm-{rng.randint(1, layout.vms)}"
    engine = f"engine-{rng.randint(1, layout.engines)}"
    hall = f"hall-{rng.randint(1, layout.halls)}"
    fault, on, from_, end = rng.choice(
        (
            ("kill", vm, "", "resume"),
            ("kill", engine, "", "resume"),
            ("pause", vm, "", "resume"),
            ("pause", engine, "", "resume"),
            ("cut", vm, engine, "heal"),
            ("cut", hall, "", "heal"),
            ("cut", hall, "config", "heal"),
            ("stale", "config", "", "heal"),
            ("outage", "config", "", "heal"),
            ("leave", engine, "", "resume"),
        )
    )
    return [
        trace.TracedFault(at_ms, fault, on, from_),
        trace.TracedFault(end_ms, end, on, from_),
    ]


def find_violations(
    result: replay.ReplayResult, lines: list[trace.Line]
) -> list[str]:
    """Returns violations of the guarantees that hold in every replay."""
    once = {
        line.id
        for line in lines
        if isinstance(line, trace.TracedRequest) and not line.repeatable
    }
    names = [outcome.id for outcome in result.outcomes]
    violations = []
    for outcome in result.outcomes:
        if outcome.status == "finished" and not outcome.answer_ok:
            violations.append(f"{outcome.id}: wrong answer")
        # If an id was sent twice, the second request may have run.
        is_single = names.count(outcome.id) == 1
        if outcome.ran == "not_run" and outcome.executions and is_single:
            violations.append(
                f"{outcome.id}: reported as not run, ran {outcome.executions}"
            )
        if outcome.id in once and outcome.executions > 1:
            violations.append(f"{outcome.id}: ran {outcome.executions} times")
        if _is_late(outcome) and not _was_unreachable(outcome, lines):
            violations.append(
                f"{outcome.id}: {outcome.reason} after {outcome.total_ms}"
            )
    if result.held_tokens:
        violations.append(f"{result.held_tokens} tokens still held at the end")
    return violations


def _is_late(outcome: outcomes.TracedOutcome) -> bool:
    # A caller whose entry was killed gets no answer and gives up by itself.
    if outcome.reason == "no_answer" or outcome.total_ms is None:
        return False
    return outcome.total_ms > outcome.time_limit_ms + 250.0


def _was_unreachable(
    outcome: outcomes.TracedOutcome, lines: list[trace.Line]
) -> bool:
    """Returns whether an entry was paused or partitioned meanwhile.

    Such an entry can't answer in time.
    """
    sent_ms = [
        line.at_ms
        for line in lines
        if isinstance(line, trace.TracedRequest) and line.id == outcome.id
    ]
    for line in lines:
        if not isinstance(line, trace.TracedFault) or line.from_:
            continue
        is_entry = line.on.startswith(("vm-", "hall-"))
        if not is_entry or line.fault not in ("pause", "cut"):
            continue
        until_ms = line.at_ms + _MAX_FAULT_MS
        if any(
            at <= until_ms and line.at_ms <= at + outcome.total_ms
            for at in sent_ms
        ):
            return True
    return False


def main(*, first: int = 1, count: int = 20) -> int:
    """Runs many schedules.

    Args:
        first: First seed.
        count: Number of seeds.
    """
    failed = 0
    for seed in range(first, first + count):
        lines, layout = make_schedule(seed)
        result = replay.replay(tuple(lines), layout)
        violations = find_violations(result, lines)
        failed += bool(violations)
        for outcome in violations:
            print(f"seed {seed}: {outcome}")
    requests = count * (_REQUESTS + _REQUESTS // 6)
    print(f"{count} seeds, {requests} requests, {count * _FAULTS} faults")
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
