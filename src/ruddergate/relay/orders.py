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


class Answer(enum.Enum):
    """What became of an order.

    After GONE (nobody listens there) and UNREACHABLE (nothing came back) it was
    certainly not taken.
    """

    DONE = "done"
    REFUSED = "refused"
    GONE = "gone"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class Sign(enum.Enum):
    """What came back from a target that was asked for a sign of life.

    GONE says that its machine is in reach and nobody listens there; SILENT that
    nothing came back, as from behind a cut.
    """

    ALIVE = "alive"
    GONE = "gone"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a target told when it was asked for a sign of life.

    Attributes:
        sign: What came back.
        born_ms: When it started, as in `incarnation.Incarnation`, if it told.
        is_staying: Whether it answered, and so that it certainly did not leave.
    """

    sign: Sign
    started_ms: int = incarnations.START_UNKNOWN
    is_staying: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """Orders that a platform's targets take.

    Attributes:
        reserve: Sets memory aside, or renews it, for so many milliseconds.
        release: Gives memory back.
        ask_sign: Asks a target for a sign of life.
    """

    reserve: Callable[[Reservation, float], Awaitable[Answer]]
    release: Callable[[Reservation], Awaitable[Answer]]
    ask_sign: Callable[[targets.Target], Awaitable[Told]]
