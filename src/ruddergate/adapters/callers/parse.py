"""Parses a caller's HTTP request; a malformed one gets a one-line error."""

from collections.abc import Mapping
import hashlib

import orjson

from ruddergate import outcomes
from ruddergate.adapters.callers import call as calls
from ruddergate.http import message

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
SERVICES = "/services/"

# Estimated size of a token if the caller does not declare the prompt's length.
BYTES_PER_TOKEN = 4
# A declared prompt length is raised to at least one token per this many bytes.
MAX_BYTES_PER_TOKEN = 64
# Prompts that are longer than this and name no prefix share one if their first
# characters, this many, are the same.
PREFIX_CHARACTERS = 4_096
MAX_TOKENS = 100_000_000
MAX_KEY_LENGTH = 200
# Assumed if a caller sends a key without its age; see docs/CALLERS.md.
DEFAULT_KEY_AGE_MS = 30_000.0


def parse_call(
    incoming: message.IncomingRequest,
) -> calls.Call | outcomes.NotServed:
    """Returns the parsed call, or a BAD_REQUEST outcome if it is malformed."""
    try:
        if incoming.path.startswith(SERVICES):
            return _parse_service(incoming)
        return _parse_prompt(incoming)
    except _BadRequestError as error:
        return outcomes.refuse(outcomes.Reason.BAD_REQUEST, str(error))


class _BadRequestError(ValueError):
    """A malformed call; caught in this module."""


def _parse_service(incoming: message.IncomingRequest) -> calls.Call:
    path_below = incoming.path.removeprefix(SERVICES)
    workload, _, path = path_below.partition("/")
    if not workload:
        raise _BadRequestError(
            "the path lacks a workload: expected /services/WORKLOAD/..."
        )
    try:
        body = incoming.body.decode()
    except UnicodeDecodeError:
        raise _BadRequestError("the body is not valid UTF-8") from None
    query = f"?{incoming.query}" if incoming.query else ""
    return _make_call(
        incoming, workload, body, 0, None, False, False, f"/{path}{query}"
    )


def _parse_prompt(incoming: message.IncomingRequest) -> calls.Call:
    document = _parse_object(incoming.body)
    is_chat = incoming.path == CHAT
    prompt = _read_messages(document) if is_chat else _read_prompt(document)
    workload = incoming.headers.get("ruddergate-workload", "")
    workload = workload or _read_field(document, "model", str, "")
    if not workload:
        raise _BadRequestError(
            "no workload: set the header Ruddergate-Workload"
        )
    output_tokens = _read_output_tokens(document)
    stream = _read_field(document, "stream", bool, False)
    tokens = _count_tokens(incoming.headers, prompt)
    return _make_call(
        incoming, workload, prompt, tokens, output_tokens, stream, is_chat, ""
    )


def _read_output_tokens(document: Mapping[str, object]) -> int | None:
    for name in ("max_tokens", "max_completion_tokens"):
        tokens = _read_field(document, name, int, None)
        if tokens is not None:
            if not 1 <= tokens <= MAX_TOKENS:
                raise _BadRequestError(f"{name}: expected 1 to 100,000,000")
            return tokens
    return None


def _parse_object(body: bytes) -> Mapping[str, object]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise _BadRequestError("the body is not valid JSON") from None
    if not isinstance(document, dict):
        raise _BadRequestError("the body is not a JSON object")
    return document


def _read_prompt(document: Mapping[str, object]) -> str:
    prompt = _read_field(document, "prompt", str, None)
    if not prompt:
        raise _BadRequestError("prompt: expected a non-empty string")
    return prompt


def _read_messages(document: Mapping[str, object]) -> str:
    messages = _read_field(document, "messages", list, None)
    if not messages:
        raise _BadRequestError("messages: expected a non-empty list")
    lines = []
    for each in messages:
        if not isinstance(each, dict):
            raise _BadRequestError("messages: expected a list of objects")
        role = _read_field(each, "role", str, None)
        content = _read_field(each, "content", str, None)
        if role is None or content is None:
            raise _BadRequestError(
                "messages: expected strings for role and content"
            )
        lines.append(f"{role}: {content}\n")
    return "".join(lines)


def _read_field(
    document: Mapping[str, object],
    name: str,
    type_: type,
    default: object,
) -> object:
    value = document.get(name)
    if value is None:
        return default
    if type(value) is not type_:
        raise _BadRequestError(f"{name}: expected {type_.__name__}")
    return value


def _make_call(
    incoming: message.IncomingRequest,
    workload: str,
    prompt: str,
    prompt_tokens: int,
    output_tokens_max: int | None,
    stream: bool,
    is_chat: bool,
    service_path: str,
) -> calls.Call:
    headers = incoming.headers
    prefix_name, prefix_tokens = "", 0
    if not service_path:
        prefix_name, prefix_tokens = _read_prefix(headers, prompt)
    return calls.Call(
        key=_read_key(headers),
        workload=workload,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        output_tokens_max=output_tokens_max,
        prefix_name=prefix_name,
        prefix_tokens=min(prefix_tokens, prompt_tokens),
        time_limit_ms=_read_number(headers, "ruddergate-time-limit-ms"),
        repeatable=_read_repeatable(headers),
        idempotency_key=_read_idempotency_key(headers),
        key_age_ms=_read_key_age(headers),
        ticket=headers.get("ruddergate-ticket", ""),
        service_path=service_path,
        stream=stream,
        is_chat=is_chat,
        traceparent=headers.get("traceparent", ""),
    )


def read_key(headers: Mapping[str, str]) -> str | None:
    """Returns the bearer key of the Authorization header, or None."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def _read_key(headers: Mapping[str, str]) -> str:
    key = read_key(headers)
    if key is None:
        raise _BadRequestError("Authorization: expected Bearer KEY")
    return key


def _read_number(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isdigit() or len(text) > 12:
        raise _BadRequestError(f"{name}: expected a whole number")
    return float(text)


def _read_repeatable(headers: Mapping[str, str]) -> bool | None:
    text = headers.get("ruddergate-repeatable")
    if text is None:
        return None
    if text not in ("yes", "no"):
        raise _BadRequestError("ruddergate-repeatable: expected yes or no")
    return text == "yes"


def _read_idempotency_key(headers: Mapping[str, str]) -> str:
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_LENGTH:
        raise _BadRequestError(
            f"idempotency-key: expected at most {MAX_KEY_LENGTH} characters"
        )
    return key


def _read_key_age(headers: Mapping[str, str]) -> float:
    age_ms = _read_number(headers, "ruddergate-key-age-ms")
    return DEFAULT_KEY_AGE_MS if age_ms is None else age_ms


def _count_tokens(headers: Mapping[str, str], prompt: str) -> int:
    size = len(prompt.encode())
    declared = _read_number(headers, "ruddergate-prompt-tokens")
    if declared is None:
        return max(1, size // BYTES_PER_TOKEN)
    return max(1, size // MAX_BYTES_PER_TOKEN, min(int(declared), MAX_TOKENS))


def _read_prefix(headers: Mapping[str, str], prompt: str) -> tuple[str, int]:
    text = headers.get("ruddergate-prefix")
    if text is not None:
        name, _, tokens = text.partition(";tokens=")
        if not name or not tokens.isdigit() or len(text) > MAX_KEY_LENGTH:
            raise _BadRequestError("ruddergate-prefix: expected NAME;tokens=N")
        return name, int(tokens)
    if len(prompt) <= PREFIX_CHARACTERS:
        return "", 0
    prefix = prompt[:PREFIX_CHARACTERS].encode()
    digest = hashlib.blake2b(prefix, digest_size=8).hexdigest()
    return digest, PREFIX_CHARACTERS // BYTES_PER_TOKEN
