"""Orders to targets, such as memory reservations, and their results."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A named memory reservation on one target.

    Attributes:
        target: The target.
        name: Name of the reservation; no other VM uses the same name.
        tokens: Size in tokens.
    """

    target: targets.Target
    name: str
    tokens: int


class OrderResult(enum.Enum):
    """Result of an order.

    After NOT_LISTENING (the connection failed) and UNREACHABLE (connecting
    timed out) the target has certainly not received the order.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_LISTENING = "gone"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class ProbeStatus(enum.Enum):
    """What came back from a target that was probed.

    NOT_LISTENING means that its machine is reachable and nothing listens at the
    address; NO_RESPONSE that nothing came back, as in a network partition.
    """

    ALIVE = "alive"
    NOT_LISTENING = "gone"
    NO_RESPONSE = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a health probe.

    Attributes:
        status: What came back.
        started_ms: When the target started, as in `incarnation.Incarnation`, if
            it reported that.
        refutes_draining: Whether it responded, and in a way that rules out that
            it is draining.
        has_connected: Whether a connection was made, as far as known.
    """

    status: ProbeStatus
    started_ms: int = incarnations.START_UNKNOWN
    refutes_draining: bool = False
    has_connected: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """Orders that a platform's targets accept.

    Attributes:
        reserve: Reserves memory, or renews a reservation, for a number of
            milliseconds.
        release: Releases a reservation.
        probe: Sends a health probe to a target.
    """

    reserve: Callable[[Reservation, float], Awaitable[OrderResult]]
    release: Callable[[Reservation], Awaitable[OrderResult]]
    probe: Callable[[targets.Target], Awaitable[ProbeResult]]
