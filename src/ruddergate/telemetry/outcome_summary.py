"""What became of requests, summed up from the logs of several VMs.

It answers where callers were not served in time: on which route, at which
moment, after which decision, for which reason. Calls that reached no VM stand
in no log and are not counted.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ruddergate.telemetry import request_timeline

IN_TIME = "in time"
LATE_FIRST = "late first token"
LATE_PAUSE = "late pause"
# How an end and a refusal begin in the logs; the reason follows.
_ENDED = "Request ended: "
_REFUSED = "Request refused: "
_ATTEMPT_BEGAN = "Attempt begins at "
_PREFIXES = (_ENDED, _REFUSED, _ATTEMPT_BEGAN)
_FINISHED = "finished"
# Length of one moment in the table by time, in seconds.
BUCKET_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """What became of one request.

    Attributes:
        request_id: The request.
        route: Its route; empty where it was refused before that was known.
        ended_s: When it ended, in seconds of the day.
        prompt_tokens: Length of its prompt.
        outcome: `in time`, `late first token`, `late pause`, or a reason.
        sends: How many targets it was sent to.
        helpers: Engines that helped to read its prompt at the first send.
        waited_ms: Time from its arrival to its first send.
        first_ms: Time from its arrival to its first event, if there was one.
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
    """Returns the fate of each request that ended, in order of time."""
    attempts: dict[str, list[request_timeline.LogLine]] = (
        collections.defaultdict(list)
    )
    ended: dict[str, request_timeline.LogLine] = {}
    for lines in sources:
        for line in lines:
            if not any(mark in line for mark in _PREFIXES):
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


def _parse_reason(event: str, start: str) -> str:
    return event.removeprefix(start).split(" ")[0].rstrip(".")


def _parse_time_s(at: str) -> float:
    """Returns the seconds of the day of a time such as 2026-01-01T07:44:10."""
    clock = at.partition("T")[2][:12].rstrip("+Z")
    try:
        hours, minutes, seconds = clock.split(":")
        return int(hours) * 3_600.0 + int(minutes) * 60.0 + float(seconds)
    except ValueError:
        return 0.0


def render(outcomes: list[RequestOutcome]) -> list[str]:
    """Returns tables by route, by moment and by decision, as lines."""
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
        asked = sum(counts.values())
        in_time = counts.pop(IN_TIME, 0)
        lost = ", ".join(f"{text} {n}" for text, n in counts.most_common())
        lines.append(f"{name:24} {asked:5} {in_time:7}  {lost}")
    return lines
