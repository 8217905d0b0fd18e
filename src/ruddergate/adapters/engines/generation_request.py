"""What an engine is asked to generate."""

import dataclasses

from ruddergate import request as requests


@dataclasses.dataclass(frozen=True, slots=True)
class KvPart:
    """Part of a prompt's KV cache that another engine holds.

    Attributes:
        address: The holding engine, as `host:port`.
        reservation: Its name there.
    """

    address: str
    reservation: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One attempt to have an answer generated.

    Attributes:
        stream_id: Name of the attempt; unique.
        owner: VM and incarnation that may cancel it.
        request_id: The request that it serves.
        prompt: Prompt text.
        prompt_tokens: Length of the prompt.
        first_token: Position from which this engine prefills; those before
            it are in `kv_parts`.
        output_tokens_max: Length of the whole answer at most.
        delivered: Tokens of the answer that the caller already has; the
            engine goes on behind them.
        priority: Higher goes first.
        prefix: Shared prefix, if any.
        lapse_ms: Time after which nobody needs the stream.
        key: Key by which the engine refuses a second run, or empty.
        reservation: Memory reserved for it on the engine, or empty.
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
