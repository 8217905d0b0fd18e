"""Parses callers' requests and writes error responses."""

from collections.abc import Mapping
import math

from ruddergate import outcomes
from ruddergate.http import message
from ruddergate.platform import headers
from ruddergate.relay import caller_protocol as caller_protocols

_STATUS: Mapping[outcomes.Reason, int] = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.UNKNOWN_KEY: 401,
    outcomes.Reason.UNKNOWN_WORKLOAD: 404,
}
# This status and those above guarantee callers that the request did not run and
# never will.
_NOT_RUN_STATUS = 503
_TIME_STATUS = 504
_OTHER_STATUS = 502
# Larger numbers in headers count as this one. It exceeds any time limit, in
# milliseconds, and the memory of any pool, in tokens.
_MAX_NUMBER = 1e15


def make_caller_protocol() -> caller_protocols.CallerProtocol:
    """Returns the protocol of the platform's callers."""
    return caller_protocols.CallerProtocol(_read, _write_failure)


def _read(
    incoming: message.IncomingRequest,
) -> caller_protocols.CallerRequest | outcomes.NotServed:
    request_headers = incoming.headers
    time_limit_ms = _read_number(request_headers.get(headers.TIME_LEFT, ""))
    tokens = request_headers.get(headers.TOKENS, "").split(",")
    prompt_tokens = _read_number(tokens[0])
    output_tokens = _read_number(tokens[-1]) if len(tokens) > 1 else None
    prompt_parts = _read_part_names(request_headers.get(headers.PARTS, ""))
    return caller_protocols.CallerRequest(
        request_id=request_headers.get(headers.REQUEST_ID, ""),
        host=request_headers.get("host", ""),
        key=request_headers.get(headers.API_KEY, ""),
        time_limit_ms=time_limit_ms,
        prompt_tokens=int(prompt_tokens or 0),
        output_tokens_max=int(output_tokens or 0),
        # The last part belongs to the request itself or to its session.
        shared_parts=prompt_parts[:-1],
        last_event_id=request_headers.get(headers.LAST_EVENT, ""),
        fields=headers.select_for_target(incoming.fields),
    )


def _read_number(text: str) -> float | None:
    """Returns a non-negative number of bounded size, or None."""
    try:
        number = float(text)
    except ValueError:
        return None
    if math.isnan(number) or number < 0.0:
        return None
    return min(number, _MAX_NUMBER)


def _read_part_names(text: str) -> tuple[str, ...]:
    """Returns the names of the parts of a prompt, in order."""
    return tuple(
        part.partition(":")[0].strip() for part in text.split(",") if part
    )


def _write_failure(failure: outcomes.NotServed) -> message.Response:
    status = _STATUS.get(failure.reason)
    if status is None and failure.ran is outcomes.Ran.NOT_RUN:
        status = _NOT_RUN_STATUS
    if status is None and failure.reason is outcomes.Reason.TIME_LIMIT:
        status = _TIME_STATUS
    fields: dict[str, str] = {}
    if failure.retry_after_ms is not None:
        fields[headers.RETRY_AFTER] = f"{failure.retry_after_ms / 1000.0:.3f}"
    document = {
        "reason": failure.reason.value,
        "ran": failure.ran.value,
        "detail": failure.detail,
    }
    return message.make_json_response(status or _OTHER_STATUS, document, fields)
