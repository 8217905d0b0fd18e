"""A caller's parsed HTTP request, before the settings tree is consulted."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A well-formed call.

    Attributes:
        key: The bearer key.
        workload: Name of the workload, as the caller gave it.
        prompt: Prompt text, or the request body of a plain service's call.
        prompt_tokens: Length of the prompt, declared or estimated.
        output_tokens_max: Maximum length of the output, or None.
        prefix_name: Name of the shared prefix, or empty.
        prefix_tokens: Length of the shared prefix.
        time_limit_ms: Time limit that the caller requests, or None.
        repeatable: Whether the caller declares that the call may run more than
            once, or None if it does not say.
        idempotency_key: Idempotency key shared by all resends, or empty.
        key_age_ms: Time since the caller first used the idempotency key.
        ticket: Ticket under which the call is sent, or empty.
        service_path: Path at a plain service; empty for a model.
        stream: Whether to stream the response.
        is_chat: Whether the chat endpoint was used.
        traceparent: W3C trace context, or empty.
    """

    key: str
    workload: str
    prompt: str
    prompt_tokens: int
    output_tokens_max: int | None
    prefix_name: str
    prefix_tokens: int
    time_limit_ms: float | None
    repeatable: bool | None
    idempotency_key: str
    key_age_ms: float
    ticket: str
    service_path: str
    stream: bool
    is_chat: bool
    traceparent: str
