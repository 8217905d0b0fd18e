"""A request whose connection to its target broke off."""

import dataclasses

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """A lost request, as known when its connection broke off.

    Attributes:
        request_id: Id of the request.
        fingerprint: Fingerprint of the request, which all its retries share.
        target: The target that was to respond.
        since_sent_ms: Time since the request was sent to it.
        prefill_ms: Time that one engine would take to prefill the prompt.
        streams: Estimated number of responses that the target was generating,
            including this one.
        has_begun: Whether this or an earlier target had begun to respond to
            the request.
        has_lasted: Whether a response to it went on for so long that the
            request does not crash targets.
        shared_parts: Names of the parts of the prompt that other requests may
            share.
        targets: Number of targets that prefilled its prompt together.
    """

    request_id: str
    fingerprint: str
    target: targets.Target
    since_sent_ms: float
    prefill_ms: float
    streams: float
    has_begun: bool = False
    has_lasted: bool = False
    shared_parts: tuple[str, ...] = ()
    targets: int = 1
