"""A model of proofs of freshness that one VM hands to another.

A reader asks the store; a follower asks the reader and goes by its answer.
Calls and datagrams take any time, come in any order, late or never, each VM
may stand still between any two steps, and the follower may start again. The
follower's claims are checked against what was published. The model calls the
product's own decision.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias

from standins import explore

_MAX_TICKS = 3
_MAX_CHANGES = 1
_MAX_REQUESTS = 2
# The reader's clock shows this when the follower's shows 0: they share none.
_READER_CLOCK_OFFSET = 100

FindCurrentAsOf: TypeAlias = Callable[[float, float], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownState:
    """What a VM knows, and since when that was certainly the newest."""

    revision: int
    current_as_of: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A datagram under way to the follower.

    Attributes:
        question: Number of the question that it answers.
        revision: What the reader knew.
        age: Age of the reader's proof as it answered.
    """

    request: int
    revision: int
    age: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessState:
    """One state; times are whole ticks.

    Attributes:
        now: Current tick, on the follower's clock.
        published: When each revision from 1 on was published.
        reader: What the reader knows, on its own clock.
        calls: Calls of the store under way: when each began on the reader's
            clock, and the revision in its answer.
        asked: When the follower asked each question, by number.
        is_open: Whether the last question waits for its answer.
        heard: Questions that have reached the reader and are not answered yet.
        under_way: Answers under way.
        follower: What the follower knows.
        starts: How often the follower started again.
        follower_slept: Ticks that the follower's clock did not count.
        reader_slept: Ticks that the reader's clock did not count.
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
        """Returns what the follower's clock shows."""
        return self.now - self.follower_suspended

    def read_reader_clock(self) -> int:
        """Returns what the reader's clock shows."""
        return self.now + _READER_CLOCK_OFFSET - self.reader_suspended


def is_claim_valid(state: FreshnessState) -> bool:
    """Returns whether nothing newer was published than the follower claims."""
    claimed_as_of = state.follower.current_as_of + state.follower_suspended
    newest = sum(at < claimed_as_of for at in state.published)
    return newest <= state.follower.revision


def find_steps(
    state: FreshnessState,
    find_current_as_of: FindCurrentAsOf,
    matches_requests: bool = True,
    counts_suspension: bool = True,
) -> Iterator[explore.Step[FreshnessState]]:
    """Yields all that can happen next.

    Args:
        state: The state.
        find_proven: The decision: what an answer proves, from when it was
            asked for and the age that it tells.
        matches_questions: Whether an answer must fit the open question.
        counts_sleep: Whether the VMs' clocks count the time for which they
            are suspended; if they do, that is a tick like any other.
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
        # It reads the store as it starts.
        initial = KnownState(len(state.published), state.read_follower_clock())
        yield explore.Step(
            "restart",
            dataclasses.replace(
                state, follower=initial, is_awaiting_reply=False, restarts=1
            ),
        )


def _suspend(state: FreshnessState) -> Iterator[explore.Step[FreshnessState]]:
    """A VM is suspended for a tick, and its clock stands still."""
    yield explore.Step(
        "follower sleeps",
        dataclasses.replace(
            state,
            now=state.now + 1,
            follower_suspended=state.follower_suspended + 1,
        ),
    )
    yield explore.Step(
        "reader sleeps",
        dataclasses.replace(
            state,
            now=state.now + 1,
            reader_suspended=state.reader_suspended + 1,
        ),
    )


def _read_store(
    state: FreshnessState,
) -> Iterator[explore.Step[FreshnessState]]:
    """The reader's call begins, and its answer comes at any time later."""
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
            "store answers",
            dataclasses.replace(
                state, reader=KnownState(newest, current_as_of), calls=()
            ),
        )


def _send_request(
    state: FreshnessState,
) -> Iterator[explore.Step[FreshnessState]]:
    if len(state.requested_at) < _MAX_REQUESTS:
        yield explore.Step(
            "ask",
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
            "answer",
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
        "take",
        dataclasses.replace(state, follower=known, is_awaiting_reply=False),
    )
