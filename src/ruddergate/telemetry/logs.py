"""Structured logs: short messages, each bound to a component (`part`)."""

import atexit
from collections.abc import Iterator
import contextlib
import contextvars
import datetime as dt
import sys
import traceback
from typing import TextIO
from typing import TYPE_CHECKING

import loguru
import orjson

from ruddergate.telemetry import line_writer

if TYPE_CHECKING:
    Logger = loguru.Logger

_TEXT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} "
    "{extra[part]}: {message} {extra[request_id]}"
)


# Writers of this process, one for each call of `configure`.
_WRITERS: list[line_writer.LineWriter] = []
_REQUEST_ID = contextvars.ContextVar("request_id", default="")


def count_dropped_lines() -> int:
    """Returns how many log lines of this process were not written."""
    return sum(writer.dropped for writer in _WRITERS)


def configure(level: str, as_json: bool, sink: TextIO | None = None) -> None:
    """Sends logs to a sink, as text or as JSON lines.

    Args:
        level: Lowest level that is logged.
        as_json: Whether each line is a JSON object.
        sink: Stream that lines are written to; standard error if None.
    """
    chosen = sink if sink is not None else sys.stderr
    writer = line_writer.LineWriter(chosen)
    _WRITERS.append(writer)
    atexit.register(writer.flush)
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main", "request_id": ""})
    if as_json:
        loguru.logger.add(
            lambda line: writer.write(_render(line.record)),
            level=level,
            format="{message}",
            # Formatting the variables of tracebacks is slow for what it adds.
            backtrace=False,
            diagnose=False,
        )
    else:
        loguru.logger.add(
            lambda line: writer.write(str(line)), level=level, format=_TEXT
        )


def _render(record: "loguru.Record") -> str:
    """Returns one JSON line: time, level, message, then the bound values."""
    time = record["time"].astimezone(dt.UTC)
    document = {
        "at": time.isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        document["fault"] = repr(record["exception"].value)
        document["traceback"] = _render_traceback(record["exception"])
    return orjson.dumps(document, default=str).decode() + "\n"


def _render_traceback(exception: "loguru.RecordException") -> str:
    lines = traceback.format_exception(
        exception.type, exception.value, exception.traceback
    )
    return "".join(lines)


@contextlib.contextmanager
def bind_request(request_id: str) -> Iterator[None]:
    """Sets the request that `find_request_id` returns meanwhile."""
    token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)


def find_request_id() -> str:
    """Returns the request that this task works for, or empty."""
    return _REQUEST_ID.get()


def make_logger(component: str) -> "Logger":
    """Returns a logger that binds the name of a component to its lines."""
    return loguru.logger.bind(part=component, request_id="")
