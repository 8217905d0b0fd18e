"""One request's way, put together from the logs of several VMs."""

from collections.abc import Iterable
import dataclasses

import orjson

# Fields of every line; the rest is what decided.
_COMMON_FIELDS = frozenset({"at", "level", "event", "part", "request_id"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line that names a request.

    Attributes:
        at: When it was written, in text that sorts by time.
        source: Where it was read from.
        part: Which part of the program wrote it.
        event: What happened.
        inputs: What decided it, by name.
    """

    at: str
    source: str
    part: str
    event: str
    inputs: dict[str, object]

    def __str__(self) -> str:
        told = " ".join(f"{name}={self.inputs[name]}" for name in self.inputs)
        return f"{self.at} {self.source} {self.part}: {self.event} {told}"


def collect_lines(
    request_id: str, sources: Iterable[tuple[str, Iterable[str]]]
) -> list[LogLine]:
    """Returns a request's log lines in order of time.

    Args:
        request_id: The request.
        sources: Name and lines of each log. What stands before the first
            brace of a line is passed over, so that collected logs may carry
            a prefix.
    """
    found = []
    for name, lines in sources:
        for line in lines:
            # Most lines are others'; only those that may match are parsed.
            if request_id in line:
                parsed = parse_line(line, name)
                if parsed is not None and parsed[0] == request_id:
                    found.append(parsed[1])
    return sorted(found, key=lambda each: each.at)


def parse_line(line: str, source: str) -> tuple[str, LogLine] | None:
    """Returns a line's request and what it says, or None for other text."""
    start = line.find("{")
    try:
        document = orjson.loads(line[start:]) if start >= 0 else None
    except orjson.JSONDecodeError:
        return None
    if not isinstance(document, dict):
        return None
    inputs = {
        name: value
        for name, value in document.items()
        if name not in _COMMON_FIELDS
    }
    return str(document.get("request_id", "")), LogLine(
        str(document.get("at", "")),
        source,
        str(document.get("part", "")),
        str(document.get("event", "")),
        inputs,
    )
