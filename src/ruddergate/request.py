"""The immutable request that all stages of its handling share."""

import dataclasses

from ruddergate import payload as payloads
from ruddergate.settings import effective


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """A leading part of the prompt that other requests may share.

    Attributes:
        name: Name of the shared text within its workspace.
        tokens: Its length in tokens.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request after parsing and authentication.

    Attributes:
        request_id: Unique name; assigned by the entry that received the
            request.
        workload: Effective settings at the time of arrival.
        prompt: Prompt text, or the body of a plain service's call.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens_max: Most tokens to generate.
        output_tokens_expected: Tokens that its cost is predicted from.
        prefix: Shared leading part, if any.
        repeatable: Whether running the request twice is safe.
        idempotency_key: The key that the caller sends with every resend, if
            any.
        key_age_ms: How long ago the caller first used the key.
        ticket: The ticket under which the request is sent, if any.
        arrived_ms: Monotonic arrival time on this VM.
        deadline_ms: Monotonic time by which it must have ended.
        service_path: Path at a plain service; empty for a model.
        traceparent: W3C trace context of the caller, or empty.
        payload: The request as received, where it is forwarded unchanged.
    """

    request_id: str
    workload: effective.Workload
    prompt: str
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_expected: int
    prefix: Prefix | None
    repeatable: bool
    idempotency_key: str
    key_age_ms: float
    ticket: str
    arrived_ms: float
    deadline_ms: float
    service_path: str
    traceparent: str
    payload: payloads.Payload | None = None

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the time left until the deadline; never negative."""
        return max(0.0, self.deadline_ms - now_ms)
