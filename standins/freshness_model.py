"""A model of the freshness that one VM derives from another VM's reply.

A reader reads the store; a follower requests the reader's state and uses its
reply. Calls and datagrams can be delayed, reordered or lost, each VM can be
suspended between any two steps, and the follower can restart. The follower's
claims are checked against what was published. The model calls the product's
own decision function.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias

from standins import explore

_MAX_TICKS = 3
_MAX_CHANGES = 1
_MAX_REQUESTS = 2
# Reader's clock when the follower's is 0, because VMs share no clock.
_READER_CLOCK_OFFSET = 100

FindCurrentAsOf: TypeAlias = Callable[[float, float], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownState:
    """A VM's revision, and as of when it is known to be the newest."""

    revision: int
    current_as_of: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply in flight to the follower.

    Attributes:
        request: Number of the request that it answers.
        revision: The reader's revision.
        age: Time since the reader's state was known to be current.
    """

    request: int
    revision: int
    age: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessState:
    """State of the model; times are whole ticks.

    Attributes:
        now: Current tick.
        published: When each revision from 1 on was published.
        reader: The reader's state, in times of its own clock.
        calls: Store calls in flight: when each began on the reader's clock, and
            the revision in its response.
        requested_at: When the follower sent each request, on its own clock.
        is_awaiting_reply: Whether the last request is still awaiting a reply.
        received: Numbers of requests that the reader has not answered yet.
        in_flight: Replies in flight.
        follower: The follower's state, in times of its own clock.
        restarts: How often the follower restarted.
        follower_suspended: Ticks that the follower's clock did not count.
        reader_suspended: Ticks that the reader's clock did not count.
    """

    now: int = 0
    published: tuple[int, ...] = ()
    reader: KnownState = KnownState(0, _READER_CLOCK_OFFSET)
    calls: tuple[tuple[int, int], ...] = ()
    requested_at: tuple[int, ...] = ()
    is_awaiting_reply: bool = False
    received: tuple[int, ...] = ()
    in_flight: tuple[Reply, ...] = ()
    follower: KnownState = KnownState(0, 0)
    restarts: int = 0
    follower_suspended: int = 0
    reader_suspended: int = 0

    def read_follower_clock(self) -> int:
        """Returns the time on the follower's clock."""
        return self.now - self.follower_suspended

    def read_reader_clock(self) -> int:
        """Returns the time on the reader's clock."""
        return self.now + _READER_CLOCK_OFFSET - self.reader_suspended


def is_claim_valid(state: FreshnessState) -> bool:
    """Returns whether nothing newer was published before the claimed time."""
    claimed_as_of = state.follower.current_as_of + state.follower_suspended
    newest = sum(at < claimed_as_of for at in state.published)
    return newest <= state.follower.revision


def find_steps(
    state: FreshnessState,
    find_current_as_of: FindCurrentAsOf,
    matches_requests: bool = True,
    counts_suspension: bool = True,
) -> Iterator[explore.Step[FreshnessState]]:
    """Yields all possible next steps.

    Args:
        state: The state.
        find_current_as_of: Returns as of when a reply is known to be current,
            given the time of its request and the age that it states; None if
            it can't be used.
        matches_requests: Whether a reply must match the last request.
        counts_suspension: Whether the VMs' clocks count time in which they are
            suspended; if they do, a suspension is a tick like any other.
    """
    if state.now < _MAX_TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    if state.now < _MAX_TICKS and not counts_suspension:
        yield from _suspend(state)
    if len(state.published) < _MAX_CHANGES:
        published = (*state.published, state.now)
        yield explore.Step(
            "publish", dataclasses.replace(state, published=published)
        )
    yield from _read_store(state)
    yield from _send_request(state)
    yield from _send_reply(state)
    for index, reply in enumerate(state.in_flight):
        rest = state.in_flight[:index] + state.in_flight[index + 1 :]
        arrived = dataclasses.replace(state, in_flight=rest)
        matches = (
            state.is_awaiting_reply
            and reply.request == len(state.requested_at) - 1
        )
        if state.requested_at and (matches or not matches_requests):
            yield from _apply_reply(arrived, reply, find_current_as_of)
    if state.restarts == 0 and state.now > 0:
        # The follower reads the store when it starts.
        initial = KnownState(len(state.published), state.read_follower_clock())
        yield explore.Step(
            "restart",
            dataclasses.replace(
                state, follower=initial, is_awaiting_reply=False, restarts=1
            ),
        )


def _suspend(state: FreshnessState) -> Iterator[explore.Step[FreshnessState]]:
    """Yields suspensions of a VM by one tick that its clock does not count."""
    yield explore.Step(
        "follower suspended",
        dataclasses.replace(
            state,
            now=state.now + 1,
            follower_suspended=state.follower_suspended + 1,
        ),
    )
    yield explore.Step(
        "reader suspended",
        dataclasses.replace(
            state,
            now=state.now + 1,
            reader_suspended=state.reader_suspended + 1,
        ),
    )


def _read_store(
    state: FreshnessState,
) -> Iterator[explore.Step[FreshnessState]]:
    """Yields the start of the reader's store call, and its late response."""
    clock = state.read_reader_clock()
    if not state.calls:
        call = (clock, len(state.published))
        yield explore.Step(
            "call store", dataclasses.replace(state, calls=(call,))
        )
    for began, revision in state.calls:
        newest = max(revision, state.reader.revision)
        current_as_of = max(began, state.reader.current_as_of)
        yield explore.Step(
            "store responds",
            dataclasses.replace(
                state, reader=KnownState(newest, current_as_of), calls=()
            ),
        )


def _send_request(
    state: FreshnessState,
) -> Iterator[explore.Step[FreshnessState]]:
    if len(state.requested_at) < _MAX_REQUESTS:
        yield explore.Step(
            "send request",
            dataclasses.replace(
                state,
                requested_at=(*state.requested_at, state.read_follower_clock()),
                is_awaiting_reply=True,
                received=(*state.received, len(state.requested_at)),
            ),
        )
    if state.is_awaiting_reply:
        yield explore.Step(
            "give up", dataclasses.replace(state, is_awaiting_reply=False)
        )


def _send_reply(
    state: FreshnessState,
) -> Iterator[explore.Step[FreshnessState]]:
    clock = state.read_reader_clock()
    for index, request in enumerate(state.received):
        rest = state.received[:index] + state.received[index + 1 :]
        age = clock - state.reader.current_as_of
        reply = Reply(request, state.reader.revision, age)
        yield explore.Step(
            "send reply",
            dataclasses.replace(
                state, received=rest, in_flight=(*state.in_flight, reply)
            ),
        )


def _apply_reply(
    state: FreshnessState, reply: Reply, find_current_as_of: FindCurrentAsOf
) -> Iterator[explore.Step[FreshnessState]]:
    current_as_of = find_current_as_of(
        float(state.requested_at[-1]), float(reply.age)
    )
    if current_as_of is None:
        return
    known = KnownState(
        max(state.follower.revision, reply.revision),
        max(state.follower.current_as_of, int(current_as_of)),
    )
    yield explore.Step(
        "apply reply",
        dataclasses.replace(state, follower=known, is_awaiting_reply=False),
    )
