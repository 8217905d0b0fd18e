"""Timeline of one request, collected from the logs of several VMs."""

from collections.abc import Iterable
import dataclasses

import orjson

# Fields of every line. All other fields are inputs of the logged decision.
_COMMON_FIELDS = frozenset({"at", "level", "event", "part", "request_id"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line that names a request.

    Attributes:
        at: Time at which it was written, as text that sorts by time.
        source: Name of the log that contains it.
        part: Component of the program that wrote it.
        event: What happened.
        inputs: Inputs of the decision, by name.
    """

    at: str
    source: str
    part: str
    event: str
    inputs: dict[str, object]

    def __str__(self) -> str:
        inputs = " ".join(f"{name}={self.inputs[name]}" for name in self.inputs)
        return f"{self.at} {self.source} {self.part}: {self.event} {inputs}"


def collect_lines(
    request_id: str, sources: Iterable[tuple[str, Iterable[str]]]
) -> list[LogLine]:
    """Returns a request's log lines in order of time.

    Args:
        request_id: The request.
        sources: Name and lines of each log. Text before the first brace of a
            line is ignored, so log collectors may add a prefix.
    """
    found = []
    for name, lines in sources:
        for line in lines:
            # Most lines belong to other requests; a substring test avoids
            # parsing them.
            if request_id in line:
                parsed = parse_line(line, name)
                if parsed is not None and parsed[0] == request_id:
                    found.append(parsed[1])
    return sorted(found, key=lambda each: each.at)


def parse_line(line: str, source: str) -> tuple[str, LogLine] | None:
    """Returns a line's request ID and content, or None if it is not a log line.

    Args:
        line: A line of text.
        source: Name of the log that contains it.
    """
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
