"""Summary of a replay's outcomes, by prompt length and by workload."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

from ruddergate.experiments import outcome as outcomes
from ruddergate.telemetry import metrics

LENGTHS = ("1k", "4k", "16k", "64k", "256k", "1M")
MAX_SHORT_TOKENS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Outcomes of one group of requests.

    Attributes:
        count: Number of requests.
        finished: Number of requests that finished.
        refused: Number of requests that were refused before they ran.
        failed: Number of all other requests.
        ttft_p50_ms: Median time to first token, or None.
        ttft_p95_ms: 95th percentile of it, or None.
        ttft_p99_ms: 99th percentile of it, or None.
        total_p95_ms: 95th percentile of the total time of finished requests, or
            None.
    """

    count: int
    finished: int
    refused: int
    failed: int
    ttft_p50_ms: float | None
    ttft_p95_ms: float | None
    ttft_p99_ms: float | None
    total_p95_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a replay.

    Attributes:
        all: All requests.
        by_length: Requests by length bucket.
        by_workload: Requests by name of the workload.
        by_reason: Number of unfinished requests, by reason.
        goodput_tokens: Prompt tokens of finished requests.
        late: Requests that ended after their time limit and a grace period.
        wrong_answers: Finished requests whose answer was not correct.
        not_run_but_ran: Requests that were reported as not run, but had run.
        run_twice: Requests that are not repeatable, but ran more than once.
        short_ttft_p99_ms: 99th percentile of the time to first token of short
            prompts, or None.
        short_slowdown_p99: Ratio of that to its value in a replay of the same
            trace without long requests; None if there was no such replay.
    """

    all: Row
    by_length: dict[str, Row]
    by_workload: dict[str, Row]
    by_reason: dict[str, int]
    goodput_tokens: int
    late: int
    wrong_answers: int
    not_run_but_ran: int
    run_twice: int
    short_ttft_p99_ms: float | None
    short_slowdown_p99: float | None


# Allowed beyond the time limit, for the transfer of the response.
LATE_GRACE_MS = 250.0


def summarize(
    found: Sequence[outcomes.TracedOutcome],
    not_repeatable: frozenset[str],
    without_long: Sequence[outcomes.TracedOutcome] = (),
) -> Summary:
    """Returns the summary of a replay.

    Args:
        found: Outcomes of the trace.
        not_repeatable: IDs of the requests that may run only once.
        without_long: Outcomes of the same trace without long requests.
    """
    short_p99 = _short_p99(found)
    baseline_p99 = _short_p99(without_long)
    slowdown = None
    if short_p99 is not None and baseline_p99:
        slowdown = round(short_p99 / baseline_p99, 3)
    return Summary(
        all=_make_row(found),
        by_length=_group(
            found, lambda each: metrics.length_bucket(each.prompt_tokens)
        ),
        by_workload=_group(found, lambda each: each.workload),
        by_reason=_count_reasons(found),
        goodput_tokens=sum(
            each.prompt_tokens for each in found if each.status == "finished"
        ),
        late=sum(_is_late(each) for each in found),
        wrong_answers=sum(
            each.status == "finished" and not each.answer_ok for each in found
        ),
        not_run_but_ran=sum(
            each.ran == "not_run" and each.executions > 0 for each in found
        ),
        run_twice=sum(
            each.executions > 1 and each.id in not_repeatable for each in found
        ),
        short_ttft_p99_ms=short_p99,
        short_slowdown_p99=slowdown,
    )


def percentile(values: Iterable[float], percent: float) -> float | None:
    """Returns the nearest-rank percentile, or None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    rank = max(1, math.ceil(percent / 100.0 * len(ordered)))
    return round(ordered[rank - 1], 3)


def _is_late(each: outcomes.TracedOutcome) -> bool:
    if each.total_ms is None:
        return False
    return each.total_ms > each.time_limit_ms + LATE_GRACE_MS


def _short_p99(found: Sequence[outcomes.TracedOutcome]) -> float | None:
    times = [
        each.ttft_ms
        for each in found
        if 0 < each.prompt_tokens <= MAX_SHORT_TOKENS
        and each.ttft_ms is not None
    ]
    return percentile(times, 99)


def _group(
    found: Iterable[outcomes.TracedOutcome],
    key: Callable[[outcomes.TracedOutcome], str],
) -> dict[str, Row]:
    groups: dict[str, list[outcomes.TracedOutcome]] = {}
    for each in found:
        groups.setdefault(key(each), []).append(each)
    order = sorted(groups, key=_order)
    return {name: _make_row(groups[name]) for name in order}


def _order(name: str) -> tuple[int, str]:
    return (LENGTHS.index(name) if name in LENGTHS else len(LENGTHS), name)


def _count_reasons(
    found: Iterable[outcomes.TracedOutcome],
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for each in found:
        if each.status != "finished":
            name = f"{each.reason} ({each.ran})"
            counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def _make_row(found: Sequence[outcomes.TracedOutcome]) -> Row:
    first = [each.ttft_ms for each in found if each.ttft_ms is not None]
    total = [each.total_ms for each in found if each.status == "finished"]
    statuses = [each.status for each in found]
    return Row(
        count=len(found),
        finished=statuses.count("finished"),
        refused=statuses.count("refused"),
        failed=statuses.count("failed"),
        ttft_p50_ms=percentile(first, 50),
        ttft_p95_ms=percentile(first, 95),
        ttft_p99_ms=percentile(first, 99),
        total_p95_ms=percentile(total, 95),
    )


def render_table(summary: Summary) -> str:
    """Returns the summary as a table of text."""
    lines = [
        f"{'':>12} {'count':>7} {'finished':>8} {'refused':>7} {'failed':>6}"
        f" {'ttft p50':>10} {'p95':>10} {'p99':>10} ms"
    ]
    rows = {"all": summary.all, **summary.by_length, **summary.by_workload}
    for name, row in rows.items():
        lines.append(
            f"{name:>12} {row.count:>7} {row.finished:>8} {row.refused:>7}"
            f" {row.failed:>6} {_format(row.ttft_p50_ms)}"
            f" {_format(row.ttft_p95_ms)} {_format(row.ttft_p99_ms)}"
        )
    lines.append(
        f"late {summary.late}, wrong answers {summary.wrong_answers}, "
        f"told not run but ran {summary.not_run_but_ran}, "
        f"run twice {summary.run_twice}, "
        f"short slowdown {summary.short_slowdown_p99}"
    )
    for reason, count in summary.by_reason.items():
        lines.append(f"  {reason}: {count}")
    return "\n".join(lines)


def _format(value: float | None) -> str:
    return f"{'-' if value is None else round(value, 1):>10}"
