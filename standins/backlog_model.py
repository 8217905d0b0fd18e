"""A model of a VM that reads a store whose responses may hold few changes.

The VM reads the store's position and then changes, or everything. Each call
takes any time, and a response holds some of the changes, or none. The time as
of which the VM counts as current is checked against what was published. The
model calls the product's own decision function.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
from typing import TypeAlias

from ruddergate.decisions import freshness
from ruddergate.fleet import store_position
from standins import explore

_MAX_TICKS = 3
_MAX_CHANGES = 3
_EPOCH = 1

FindProven: TypeAlias = Callable[
    [store_position.StorePosition, freshness.HighWatermark], float
]
# Returns the revision that the VM has reached; given that of a response, the
# one reached before, and the store's as it was read before.
FindReached: TypeAlias = Callable[[int, int, int], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call of the store in flight.

    Attributes:
        reads: What it reads: `position`, `changes` or `all`.
        began: When it began.
        revision: The revision in its response; None until the store handles it.
    """

    reads: str
    began: int
    revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BacklogState:
    """State of the model; times are whole ticks.

    Attributes:
        now: Current tick.
        published: When each revision from 1 on was published.
        revision: The revision that the VM has reached, as it believes.
        applied: The revision up to which it has applied all changes.
        current_as_of: When nothing newer was published, as the VM believes.
        call: The VM's call in flight.
        watermark: The store's revision as the VM last read it, and when that
            call began; None once it was reached.
    """

    now: int = 0
    published: tuple[int, ...] = ()
    revision: int = 0
    applied: int = 0
    current_as_of: int = 0
    call: Call | None = None
    watermark: tuple[int, int] | None = None


def is_claim_valid(state: BacklogState) -> bool:
    """Returns whether nothing newer was published before the claimed time."""
    newest = sum(at < state.current_as_of for at in state.published)
    return newest <= state.applied


def take_revision(revision: int, known: int, watermark: int) -> int:
    """Returns the revision of a response: the product's rule."""
    return revision


def find_steps(
    state: BacklogState,
    find_proven: FindProven,
    find_reached: FindReached = take_revision,
) -> Iterator[explore.Step[BacklogState]]:
    """Yields all possible next steps.

    Args:
        state: The state.
        find_proven: Returns as of when the VM is current, given its position
            and the store's as it was read before.
        find_reached: Returns the position that a response brings the VM to.
    """
    if state.now < _MAX_TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    if len(state.published) < _MAX_CHANGES:
        published = (*state.published, state.now)
        yield explore.Step(
            "publish", dataclasses.replace(state, published=published)
        )
    if state.call is None:
        yield from _call_store(state)
    elif state.call.revision is None:
        yield from _handle_call(state, state.call)
    else:
        yield from _apply_response(state, state.call, find_proven, find_reached)


def _call_store(state: BacklogState) -> Iterator[explore.Step[BacklogState]]:
    kinds = ["position"] if state.watermark is None else ["changes", "all"]
    for reads in kinds:
        call = Call(reads, state.now)
        yield explore.Step(
            f"call for {reads}", dataclasses.replace(state, call=call)
        )


def _handle_call(
    state: BacklogState, call: Call
) -> Iterator[explore.Step[BacklogState]]:
    newest = len(state.published)
    first = newest
    if call.reads == "changes":
        first = min(state.revision, newest)
    for revision in range(first, newest + 1):
        yield explore.Step(
            f"store sends {call.reads} up to {revision}",
            dataclasses.replace(
                state, call=dataclasses.replace(call, revision=revision)
            ),
        )


def _apply_response(
    state: BacklogState,
    call: Call,
    find_proven: FindProven,
    find_reached: FindReached,
) -> Iterator[explore.Step[BacklogState]]:
    received = dataclasses.replace(state, call=None)
    if call.reads == "position":
        watermark = (call.revision, call.began)
        found = dataclasses.replace(received, watermark=watermark)
    else:
        watermark = state.watermark
        revision = find_reached(call.revision, state.revision, watermark[0])
        if call.reads == "all":
            revision = call.revision
            watermark = (revision, call.began)
        if call.reads == "all" or state.revision <= state.applied:
            received = dataclasses.replace(received, applied=call.revision)
        found = _reach(received, revision, watermark, find_proven)
    yield explore.Step("response arrives", found)


def _reach(
    state: BacklogState,
    revision: int,
    watermark: tuple[int, int],
    find_proven: FindProven,
) -> BacklogState:
    """Returns the state after the VM has read up to a revision."""
    proven = find_proven(
        store_position.StorePosition(_EPOCH, revision),
        freshness.HighWatermark(
            store_position.StorePosition(_EPOCH, watermark[0]),
            float(watermark[1]),
        ),
    )
    reached = dataclasses.replace(state, revision=revision)
    if proven == -math.inf:
        return reached
    as_of = max(state.current_as_of, int(proven))
    return dataclasses.replace(reached, current_as_of=as_of, watermark=None)
