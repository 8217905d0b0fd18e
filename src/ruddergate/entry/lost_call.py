"""A call that its target lost midway."""

import dataclasses

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """What is known of it as it breaks off.

    Attributes:
        request_id: The call.
        content: Name of what it asked for.
        target: The target that was to answer.
        there_ms: How long before it had been sent there.
        reading_ms: How long one engine would read its prompt.
        streams: Answers that the target was writing, this one included.
    """

    request_id: str
    fingerprint: str
    target: targets.Target
    since_sent_ms: float
    prefill_ms: float
    streams: float
