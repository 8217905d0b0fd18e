"""A published route: which calls it covers and how they are to be run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's calls that goes to one pool.

    Attributes:
        pool: Name of the pool.
        weight: Its part, relative to the other shares of the route.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Calls of one host below one path, which are passed on unchanged.

    Attributes:
        name: Name in logs.
        host: Host that callers ask for, in lower case.
        path_prefix: Beginning of the path, with a slash at both ends.
        shares: The pools that its calls go to; never empty.
        rank: Its priority; a higher one goes first.
        time_limit_ms: Longest time that a call may be held.
        aim_ms: Time to the whole answer, or to a stream's first event, within
            which an answer is in time.
        is_stream: Whether answers are series of events.
        gap_aim_ms: Longest pause between events of a stream in time.
        repeatable: Whether a second run does no harm.
        is_resumable: Whether another target can go on with a broken stream.
        targets_max: Most targets that one call may be sent to.
        is_open: Whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    rank: int
    time_limit_ms: float
    aim_ms: float
    is_stream: bool
    gap_aim_ms: float
    repeatable: bool
    is_resumable: bool
    targets_max: int
    is_open: bool
