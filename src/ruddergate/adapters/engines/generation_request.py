"""A request to an engine to generate an answer."""

import dataclasses

from ruddergate import request as requests


@dataclasses.dataclass(frozen=True, slots=True)
class KvPart:
    """Part of a prompt's KV cache that another engine holds.

    Attributes:
        address: Address of that engine, as `host:port`.
        reservation: ID of the reservation that holds it there.
    """

    address: str
    reservation: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One attempt at generating an answer.

    Attributes:
        stream_id: Unique ID of the attempt.
        owner: VM and incarnation that may cancel it.
        request_id: ID of the request that it serves.
        prompt: Prompt text.
        prompt_tokens: Length of the prompt.
        first_token: Position from which this engine prefills; the tokens before
            it are in `kv_parts`.
        output_tokens_max: Maximum length of the whole answer.
        delivered: Tokens of the answer that the caller already has; the engine
            continues after them.
        priority: Requests with a higher priority are scheduled first.
        prefix: Shared prefix, if any.
        expiry_age_ms: Age from which the stream is no longer needed.
        key: Idempotency key by which the engine refuses a second run, or empty.
        reservation: ID of its memory reservation at the engine, or empty.
        kv_parts: KV cache held by the other engines of a gang.
        traceparent: W3C trace context, or empty.
    """

    stream_id: str
    owner: str
    request_id: str
    prompt: str
    prompt_tokens: int
    first_token: int
    output_tokens_max: int
    delivered: tuple[str, ...]
    priority: int
    prefix: requests.Prefix | None
    expiry_age_ms: float
    key: str
    reservation: str
    kv_parts: tuple[KvPart, ...]
    traceparent: str
