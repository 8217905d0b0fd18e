"""Renders outcomes and tokens as HTTP responses."""

from collections.abc import Mapping
import dataclasses
import math

import orjson

from ruddergate import outcomes
from ruddergate.http import message

_STATUS_BY_REASON: Mapping[outcomes.Reason, int] = {
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.UNKNOWN_KEY: 401,
    outcomes.Reason.UNKNOWN_WORKLOAD: 404,
    outcomes.Reason.PROMPT_TOO_LONG: 413,
    outcomes.Reason.QUEUE_FULL: 429,
    outcomes.Reason.LIMIT_REACHED: 429,
    outcomes.Reason.KEY_ALREADY_USED: 409,
    outcomes.Reason.TIME_LIMIT: 504,
    outcomes.Reason.INTERNAL: 500,
    outcomes.Reason.TARGET_UNREACHABLE: 502,
    outcomes.Reason.TARGET_LOST: 502,
    outcomes.Reason.TARGET_REFUSED: 502,
    outcomes.Reason.TARGET_BROKE_PROTOCOL: 502,
    outcomes.Reason.RESPONSE_TOO_LARGE: 502,
}
_DEFAULT_STATUS = 503
_DONE = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFormat:
    """Format and common fields of the response to one request.

    Attributes:
        request_id: ID of the request.
        model: Model or workload that the response names.
        is_chat: Whether to use the format of the chat endpoint.
        prompt_tokens: Length of the prompt, for the `usage` field.
        created_s: Wall-clock time of the response, in seconds.
    """

    request_id: str
    model: str
    is_chat: bool
    prompt_tokens: int
    created_s: int


def make_error_response(
    failure: outcomes.NotServed, request_id: str = ""
) -> message.Response:
    """Returns the error response to a request that was not served."""
    status = _STATUS_BY_REASON.get(failure.reason, _DEFAULT_STATUS)
    headers = {}
    if failure.retry_after_ms is not None:
        seconds = max(1, math.ceil(failure.retry_after_ms / 1000.0))
        headers["retry-after"] = str(seconds)
    if request_id:
        headers["ruddergate-request-id"] = request_id
    document = make_error_document(failure)
    return message.make_json_response(status, document, headers)


def make_error_document(failure: outcomes.NotServed) -> dict[str, object]:
    """Returns the JSON document of an outcome that was not served."""
    return {
        "reason": failure.reason.value,
        "ran": failure.ran.value,
        "detail": failure.detail,
        "retry_after_ms": failure.retry_after_ms,
    }


def make_full_response(
    response_format: ResponseFormat, text: str, finished: outcomes.Finished
) -> message.Response:
    """Returns a complete response that is not streamed."""
    choice: dict[str, object] = {
        "index": 0,
        "finish_reason": finished.finish_reason,
    }
    if response_format.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if response_format.is_chat else "text_completion"
    document = {
        "id": response_format.request_id,
        "object": kind,
        "created": response_format.created_s,
        "model": response_format.model,
        "choices": [choice],
        "usage": _make_usage(response_format, finished),
    }
    headers = {"ruddergate-request-id": response_format.request_id}
    return message.make_json_response(200, document, headers)


def make_stream_headers(response_format: ResponseFormat) -> dict[str, str]:
    """Returns the headers of a streamed response."""
    return {
        "content-type": message.EVENT_STREAM_TYPE,
        "cache-control": "no-store",
        "ruddergate-request-id": response_format.request_id,
    }


def render_tokens(response_format: ResponseFormat, text: str) -> bytes:
    """Returns one server-sent event with a piece of the text."""
    return _render(response_format, text, None)


def render_end(
    response_format: ResponseFormat, finished: outcomes.Finished
) -> bytes:
    """Returns the events that end a complete stream."""
    return _render(response_format, "", finished) + _DONE


def render_error(failure: outcomes.NotServed) -> bytes:
    """Returns the event that ends a failed stream; no `[DONE]` follows."""
    document = {"error": make_error_document(failure)}
    return b"data: " + orjson.dumps(document) + b"\n\n"


def _render(
    response_format: ResponseFormat,
    text: str,
    finished: outcomes.Finished | None,
) -> bytes:
    choice: dict[str, object] = {
        "index": 0,
        "finish_reason": finished.finish_reason if finished else None,
    }
    if response_format.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    kind = (
        "chat.completion.chunk"
        if response_format.is_chat
        else "text_completion"
    )
    document: dict[str, object] = {
        "id": response_format.request_id,
        "object": kind,
        "created": response_format.created_s,
        "model": response_format.model,
        "choices": [choice],
    }
    if finished is not None:
        document["usage"] = _make_usage(response_format, finished)
    return b"data: " + orjson.dumps(document) + b"\n\n"


def _make_usage(
    response_format: ResponseFormat, finished: outcomes.Finished
) -> dict[str, int]:
    return {
        "prompt_tokens": response_format.prompt_tokens,
        "completion_tokens": finished.output_tokens,
        "total_tokens": response_format.prompt_tokens + finished.output_tokens,
    }
