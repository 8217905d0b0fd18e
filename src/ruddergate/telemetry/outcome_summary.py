"""Summary of request outcomes, from the logs of several VMs.

It shows where callers were not served in time: on which route, at which time,
after how many attempts with how many helpers, and for which reason. Requests
that reached no VM appear in no log and are not counted.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ruddergate.telemetry import request_timeline

IN_TIME = "in time"
LATE_FIRST = "late first token"
LATE_PAUSE = "late pause"
# Prefixes of the log messages that are evaluated. The reason follows the
# first two.
_ENDED = "Request ended: "
_REFUSED = "Request refused: "
_ATTEMPT_BEGAN = "Attempt begins at "
_PREFIXES = (_ENDED, _REFUSED, _ATTEMPT_BEGAN)
_FINISHED = "finished"
# Width of a row of the table by time, in seconds.
BUCKET_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of one request.

    Attributes:
        request_id: ID of the request.
        route: Its route; empty if it was refused before its route was known.
        ended_s: Time at which it ended, in seconds since midnight.
        prompt_tokens: Length of its prompt.
        outcome: `in time`, `late first token`, `late pause`, or a reason.
        attempt_count: Number of its attempts.
        helpers: Number of engines that helped to prefill its prompt in the
            first attempt.
        waited_ms: Time from its arrival to its first attempt.
        first_ms: Time from its arrival to its first event, or None.
    """

    request_id: str
    route: str
    ended_s: float
    prompt_tokens: int
    outcome: str
    attempt_count: int
    helpers: int
    waited_ms: int
    first_ms: int | None


def read_outcomes(sources: Iterable[Iterable[str]]) -> list[RequestOutcome]:
    """Returns the outcome of each request that ended, sorted by end time."""
    attempts: dict[str, list[request_timeline.LogLine]] = (
        collections.defaultdict(list)
    )
    ended: dict[str, request_timeline.LogLine] = {}
    for lines in sources:
        for line in lines:
            if not any(prefix in line for prefix in _PREFIXES):
                continue
            parsed = request_timeline.parse_line(line, "")
            if parsed is None or not parsed[0]:
                continue
            request_id, found = parsed
            if found.event.startswith(_ATTEMPT_BEGAN):
                attempts[request_id].append(found)
            else:
                ended[request_id] = found
    outcomes = [
        _make_outcome(request_id, line, attempts.get(request_id, []))
        for request_id, line in ended.items()
    ]
    return sorted(outcomes, key=lambda each: each.ended_s)


def _make_outcome(
    request_id: str,
    line: request_timeline.LogLine,
    attempts: list[request_timeline.LogLine],
) -> RequestOutcome:
    inputs = line.inputs
    first = attempts[0].inputs if attempts else {}
    return RequestOutcome(
        request_id=request_id,
        route=str(inputs.get("route", "")),
        ended_s=_parse_time_s(line.at),
        prompt_tokens=int(inputs.get("prompt_tokens") or 0),
        outcome=_classify(line),
        attempt_count=len(attempts),
        helpers=len(first.get("helpers") or ()),
        waited_ms=int(first.get("waited_ms") or 0),
        first_ms=inputs.get("first_ms"),
    )


def _classify(line: request_timeline.LogLine) -> str:
    if line.event.startswith(_REFUSED):
        return "refused: " + _parse_reason(line.event, _REFUSED)
    reason = _parse_reason(line.event, _ENDED)
    if reason != _FINISHED:
        return reason
    inputs = line.inputs
    aim_ms = inputs.get("aim_ms") or float("inf")
    first_ms = inputs.get("first_ms")
    if first_ms is None:
        first_ms = inputs.get("took_ms") or 0
    if first_ms > aim_ms:
        return LATE_FIRST
    pause_ms = inputs.get("longest_pause_ms") or 0
    if pause_ms > (inputs.get("gap_aim_ms") or float("inf")):
        return LATE_PAUSE
    return IN_TIME


def _parse_reason(event: str, prefix: str) -> str:
    return event.removeprefix(prefix).split(" ")[0].rstrip(".")


def _parse_time_s(at: str) -> float:
    """Returns the seconds since midnight of a time.

    The format is that of 2026-01-01T07:44:10. Malformed text gives 0.0.
    """
    time_text = at.partition("T")[2][:12].rstrip("+Z")
    try:
        hours, minutes, seconds = time_text.split(":")
        return int(hours) * 3_600.0 + int(minutes) * 60.0 + float(seconds)
    except ValueError:
        return 0.0


def render(outcomes: list[RequestOutcome]) -> list[str]:
    """Returns tables by route, by time and by decision, as lines of text."""
    if not outcomes:
        return ["no request ended in these logs"]
    began_s = outcomes[0].ended_s
    tables: list[tuple[str, Callable[[RequestOutcome], str]]] = [
        ("route", lambda each: each.route or "(unknown)"),
        (
            "second",
            lambda each: f"{_floor(each.ended_s - began_s, BUCKET_S):6.0f}",
        ),
        (
            "sends, helpers",
            lambda each: f"{each.attempt_count}, {each.helpers}",
        ),
    ]
    lines: list[str] = []
    for title, key in tables:
        lines += _render_table(title, outcomes, key)
    return lines


def _floor(value: float, step: float) -> float:
    return value // step * step


def _render_table(
    title: str,
    outcomes: list[RequestOutcome],
    key: Callable[[RequestOutcome], str],
) -> list[str]:
    rows: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for each in outcomes:
        rows[key(each)][each.outcome] += 1
    lines = ["", f"{title:24} asked in time  lost"]
    for name in sorted(rows):
        counts = rows[name]
        total = sum(counts.values())
        in_time = counts.pop(IN_TIME, 0)
        lost = ", ".join(f"{text} {n}" for text, n in counts.most_common())
        lines.append(f"{name:24} {total:5} {in_time:7}  {lost}")
    return lines
