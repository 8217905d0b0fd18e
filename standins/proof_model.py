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

_TICKS = 3
_CHANGES = 1
_QUESTIONS = 2
# The reader's clock shows this when the follower's shows 0: they share none.
_CLOCK_AHEAD = 100

FindProven: TypeAlias = Callable[[float, float], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What a VM knows, and since when that was certainly the newest."""

    revision: int
    proven: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A datagram under way to the follower.

    Attributes:
        question: Number of the question that it answers.
        revision: What the reader knew.
        age: Age of the reader's proof as it answered.
    """

    question: int
    revision: int
    age: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProofState:
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
    reader: Held = Held(0, _CLOCK_AHEAD)
    calls: tuple[tuple[int, int], ...] = ()
    asked: tuple[int, ...] = ()
    is_open: bool = False
    heard: tuple[int, ...] = ()
    under_way: tuple[Answer, ...] = ()
    follower: Held = Held(0, 0)
    starts: int = 0
    follower_slept: int = 0
    reader_slept: int = 0

    def follower_clock(self) -> int:
        """Returns what the follower's clock shows."""
        return self.now - self.follower_slept

    def reader_clock(self) -> int:
        """Returns what the reader's clock shows."""
        return self.now + _CLOCK_AHEAD - self.reader_slept


def is_true(state: ProofState) -> bool:
    """Returns whether nothing newer was published than the follower claims."""
    claimed = state.follower.proven + state.follower_slept
    newest = sum(at < claimed for at in state.published)
    return newest <= state.follower.revision


def steps(
    state: ProofState,
    find_proven: FindProven,
    matches_questions: bool = True,
    counts_sleep: bool = True,
) -> Iterator[explore.Step[ProofState]]:
    """Yields all that can happen next.

    Args:
        state: The state.
        find_proven: The decision: what an answer proves, from when it was
            asked for and the age that it tells.
        matches_questions: Whether an answer must fit the open question.
        counts_sleep: Whether the VMs' clocks count the time for which they
            are suspended; if they do, that is a tick like any other.
    """
    if state.now < _TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    if state.now < _TICKS and not counts_sleep:
        yield from _sleep(state)
    if len(state.published) < _CHANGES:
        published = (*state.published, state.now)
        yield explore.Step(
            "publish", dataclasses.replace(state, published=published)
        )
    yield from _read_store(state)
    yield from _ask(state)
    yield from _answer(state)
    for index, answer in enumerate(state.under_way):
        rest = state.under_way[:index] + state.under_way[index + 1 :]
        arrived = dataclasses.replace(state, under_way=rest)
        fits = state.is_open and answer.question == len(state.asked) - 1
        if state.asked and (fits or not matches_questions):
            yield from _take(arrived, answer, find_proven)
    if state.starts == 0 and state.now > 0:
        # It reads the store as it starts.
        fresh = Held(len(state.published), state.follower_clock())
        yield explore.Step(
            "restart",
            dataclasses.replace(state, follower=fresh, is_open=False, starts=1),
        )


def _sleep(state: ProofState) -> Iterator[explore.Step[ProofState]]:
    """A VM is suspended for a tick, and its clock stands still."""
    yield explore.Step(
        "follower sleeps",
        dataclasses.replace(
            state,
            now=state.now + 1,
            follower_slept=state.follower_slept + 1,
        ),
    )
    yield explore.Step(
        "reader sleeps",
        dataclasses.replace(
            state, now=state.now + 1, reader_slept=state.reader_slept + 1
        ),
    )


def _read_store(state: ProofState) -> Iterator[explore.Step[ProofState]]:
    """The reader's call begins, and its answer comes at any time later."""
    clock = state.reader_clock()
    if not state.calls:
        call = (clock, len(state.published))
        yield explore.Step(
            "call store", dataclasses.replace(state, calls=(call,))
        )
    for began, revision in state.calls:
        newest = max(revision, state.reader.revision)
        proven = max(began, state.reader.proven)
        yield explore.Step(
            "store answers",
            dataclasses.replace(state, reader=Held(newest, proven), calls=()),
        )


def _ask(state: ProofState) -> Iterator[explore.Step[ProofState]]:
    if len(state.asked) < _QUESTIONS:
        yield explore.Step(
            "ask",
            dataclasses.replace(
                state,
                asked=(*state.asked, state.follower_clock()),
                is_open=True,
                heard=(*state.heard, len(state.asked)),
            ),
        )
    if state.is_open:
        yield explore.Step("give up", dataclasses.replace(state, is_open=False))


def _answer(state: ProofState) -> Iterator[explore.Step[ProofState]]:
    clock = state.reader_clock()
    for index, question in enumerate(state.heard):
        rest = state.heard[:index] + state.heard[index + 1 :]
        age = clock - state.reader.proven
        answer = Answer(question, state.reader.revision, age)
        yield explore.Step(
            "answer",
            dataclasses.replace(
                state, heard=rest, under_way=(*state.under_way, answer)
            ),
        )


def _take(
    state: ProofState, answer: Answer, find_proven: FindProven
) -> Iterator[explore.Step[ProofState]]:
    proven = find_proven(float(state.asked[-1]), float(answer.age))
    if proven is None:
        return
    held = Held(
        max(state.follower.revision, answer.revision),
        max(state.follower.proven, int(proven)),
    )
    yield explore.Step(
        "take", dataclasses.replace(state, follower=held, is_open=False)
    )
