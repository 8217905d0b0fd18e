"""Traces: files of JSON lines with one request or fault per line."""

from collections.abc import Iterable
import dataclasses
import pathlib

import orjson

FAULTS = (
    "cut",
    "heal",
    "kill",
    "leave",
    "outage",
    "pause",
    "publish",
    "resume",
    "stale",
)


@dataclasses.dataclass(frozen=True, slots=True)
class TracedRequest:
    """A request of a trace.

    Attributes:
        at_ms: Time at which the caller sends it, from the start of the trace.
        id: ID; lines with the same ID are resends of one request.
        workspace: Workspace that sends it.
        workload: Workload that it is sent as.
        prompt_tokens: Length of the prompt; 0 for a plain service's call.
        output_tokens: Length of the answer.
        prefix: Name of the shared prefix, or empty.
        prefix_tokens: Length of the shared prefix.
        repeatable: Whether it may run more than once.
        time_limit_ms: Its time limit.
        vm: VM to send it to; any VM if empty.
    """

    at_ms: float
    id: str
    workspace: str
    workload: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    repeatable: bool = True
    time_limit_ms: float = 60_000.0
    vm: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TracedFault:
    """A fault of a trace.

    Attributes:
        at_ms: Time at which it happens, from the start of the trace.
        fault: One of `FAULTS`.
        on: What it happens to, such as `vm-1`.
        from_: For a cut, the node that `on` is disconnected from; if empty, all
            other nodes.
    """

    at_ms: float
    fault: str
    on: str
    from_: str = ""


Line = TracedRequest | TracedFault


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedLine:
    """A malformed line of a trace.

    Attributes:
        number: Number of the line, from 1.
        detail: What is wrong with it.
    """

    number: int
    detail: str


def read_trace(path: pathlib.Path) -> tuple[Line, ...] | MalformedLine:
    """Returns the lines of a trace file sorted by time.

    Returns the first malformed line instead if there is one.
    """
    lines: list[Line] = []
    for number, text in enumerate(path.read_bytes().splitlines(), 1):
        if not text.strip():
            continue
        line = _parse_line(text)
        if isinstance(line, str):
            return MalformedLine(number, line)
        lines.append(line)
    lines.sort(key=lambda line: line.at_ms)
    return tuple(lines)


def _parse_line(text: bytes) -> Line | str:
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return f"invalid JSON: {error}"
    if not isinstance(document, dict):
        return "not a JSON object"
    if "fault" in document:
        return _parse_fault(document)
    known = {field.name for field in dataclasses.fields(TracedRequest)}
    # Unknown fields are ignored: traces of later versions may have more.
    fields = {key: document[key] for key in known if key in document}
    try:
        request = TracedRequest(**fields)
        return dataclasses.replace(request, at_ms=float(request.at_ms))
    except (TypeError, ValueError) as error:
        return str(error).replace("TracedRequest.__init__()", "a request")


def _parse_fault(document: dict[str, object]) -> TracedFault | str:
    fault = document["fault"]
    if fault not in FAULTS:
        return f"unknown fault {fault!r}, expected one of {', '.join(FAULTS)}"
    on = document.get("on")
    if not isinstance(on, str):
        return "the fault lacks `on`"
    at_ms = document.get("at_ms")
    if not isinstance(at_ms, (int, float)):
        return "the fault lacks `at_ms`"
    return TracedFault(float(at_ms), fault, on, str(document.get("from", "")))


def write_trace(path: pathlib.Path, lines: Iterable[Line]) -> None:
    """Writes a trace file; fields with their default value are omitted."""
    defaults = {
        field.name: field.default for field in dataclasses.fields(TracedRequest)
    }
    with path.open("wb") as file:
        for line in lines:
            document = dataclasses.asdict(line)
            if isinstance(line, TracedFault):
                from_ = document.pop("from_")
                if from_:
                    document["from"] = from_
            kept = {
                key: value
                for key, value in document.items()
                if key == "at_ms" or defaults.get(key) != value
            }
            file.write(orjson.dumps(kept) + b"\n")
