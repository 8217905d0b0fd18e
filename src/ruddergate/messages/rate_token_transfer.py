"""Transfer of tokens of targets' rate limits between gateways."""

import dataclasses
import math

# Limits named in a request, and tokens transferred by a reply.
MAX_LIMITS = 16
# A key of the store has at most 200 bytes.
_MAX_NAME_LENGTH = 200
_MAX_ID_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLimit:
    """A limit as the requester knows it.

    Attributes:
        target_id: The target.
        rate_per_s: Requests per second that it accepts from all VMs together.
    """

    target_id: str
    rate_per_s: float

    def __post_init__(self) -> None:
        _check_name(self.target_id)
        if not (math.isfinite(self.rate_per_s) and self.rate_per_s >= 0.0):
            raise ValueError("rate out of range")


@dataclasses.dataclass(frozen=True, slots=True)
class RateTokenRequest:
    """Asks a peer for tokens that it has and does not need.

    Attributes:
        sender: Address at which the requester receives datagrams (HOST:PORT).
        correlation_id: Identifies the request; the reply repeats it.
        limits: Limits of which a token is of use, in order of preference.
        tokens: Number of tokens requested, of all these limits together.
    """

    sender: str
    correlation_id: str
    limits: tuple[KnownLimit, ...]
    tokens: int

    def __post_init__(self) -> None:
        _check_correlation_id(self.correlation_id)
        if not 1 <= len(self.limits) <= MAX_LIMITS:
            raise ValueError("number of limits out of range")
        if not 1 <= self.tokens <= MAX_LIMITS:
            raise ValueError("number of tokens out of range")


@dataclasses.dataclass(frozen=True, slots=True)
class RateTokenReply:
    """The reply: the targets of which the lender gave up one token each.

    The transfer is final. If the reply gets lost, nobody spends these tokens.

    Attributes:
        correlation_id: The one of the request.
        target_ids: The targets.
        next_ms: Time until the lender may have another token.
    """

    correlation_id: str
    target_ids: tuple[str, ...]
    next_ms: float

    def __post_init__(self) -> None:
        _check_correlation_id(self.correlation_id)
        if len(self.target_ids) > MAX_LIMITS:
            raise ValueError("number of tokens out of range")
        for each in self.target_ids:
            _check_name(each)
        if not self.next_ms >= 0.0:
            raise ValueError("time out of range")


def _check_name(name: str) -> None:
    if len(name) > _MAX_NAME_LENGTH:
        raise ValueError("name too long")


def _check_correlation_id(correlation_id: str) -> None:
    if len(correlation_id) > _MAX_ID_LENGTH:
        raise ValueError("correlation id too long")
