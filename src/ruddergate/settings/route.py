"""A published route: which requests it matches and how to handle them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that goes to one pool.

    Attributes:
        pool: Name of the pool.
        weight: Weight relative to the other shares of the route.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests to one host below one path, which are relayed unchanged.

    Attributes:
        name: Name for logs.
        host: Host name, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        shares: The pools that its requests go to; never empty.
        rank: Its priority; higher ranks are served first.
        time_limit_ms: Maximum time that a request may take.
        latency_slo_ms: Latency objective for the complete response or, for a
            stream, for the first event.
        is_stream: Whether responses are event streams.
        gap_slo_ms: Objective for the longest gap between events of a stream.
        repeatable: Whether requests are idempotent, so that running one twice
            does no harm.
        is_resumable: Whether another target can resume an interrupted stream.
        targets_max: Maximum number of targets that one request may be sent to.
        is_open: Whether callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    rank: int
    time_limit_ms: float
    latency_slo_ms: float
    is_stream: bool
    gap_slo_ms: float
    repeatable: bool
    is_resumable: bool
    targets_max: int
    is_open: bool
