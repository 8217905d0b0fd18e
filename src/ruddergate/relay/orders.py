"""Setting memory of targets aside: what is asked and what comes back."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory on one target under a name.

    Attributes:
        target: The target.
        name: Name of the memory there; unlike any other VM's.
        tokens: How much of it, in tokens.
    """

    target: targets.Target
    name: str
    tokens: int


class OrderResult(enum.Enum):
    """What became of an order.

    After GONE (nobody listens there) and UNREACHABLE (nothing came back) it was
    certainly not taken.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_LISTENING = "gone"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class ProbeStatus(enum.Enum):
    """What came back from a target that was asked for a sign of life.

    GONE says that its machine is in reach and nobody listens there; SILENT that
    nothing came back, as from behind a cut.
    """

    ALIVE = "alive"
    NOT_LISTENING = "gone"
    NO_RESPONSE = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """What a target told when it was asked for a sign of life.

    Attributes:
        sign: What came back.
        born_ms: When it started, as in `incarnation.Incarnation`, if it told.
        is_staying: Whether it answered, and so that it certainly did not leave.
    """

    status: ProbeStatus
    started_ms: int = incarnations.START_UNKNOWN
    refutes_draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """Orders that a platform's targets take.

    Attributes:
        reserve: Sets memory aside, or renews it, for so many milliseconds.
        release: Gives memory back.
        ask_sign: Asks a target for a sign of life.
    """

    reserve: Callable[[Reservation, float], Awaitable[OrderResult]]
    release: Callable[[Reservation], Awaitable[OrderResult]]
    probe: Callable[[targets.Target], Awaitable[ProbeResult]]
