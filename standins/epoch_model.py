"""A model of positions in a store that is restored from an older copy.

A reader asks the store; a follower tells the reader its position and goes by
what has changed since. Changes, a restore that loses the last change, calls and
datagrams come in any order, late or never. The follower's claims are checked
against what the store holds.
"""

from collections.abc import Iterator
import dataclasses

from ruddergate.fleet import store_position
from standins import explore

_TICKS = 2
_CHANGES = 2
_QUESTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change in the store.

    Attributes:
        number: Its name; what is written again has another.
        at: The tick at which it was published.
    """

    number: int
    at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What a VM knows, and since when that was certainly all.

    Attributes:
        epoch: The store's epoch of its position.
        changes: What the store held at its position, as far as it was told.
        revision: The store's revision of its position.
        proven: The tick at which that was certainly all.
    """

    epoch: int = 1
    changes: frozenset[Change] = frozenset()
    revision: int = 0
    proven: int = 0

    def position(self) -> store_position.StorePosition:
        """Returns up to where the VM knows the store."""
        return store_position.StorePosition(self.epoch, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChangesReply:
    """An answer under way to the follower.

    Attributes:
        asked_at: The tick of the question.
        asked: The position in the question.
        told: What the reader knew as it answered, in order.
        held: What the reader held then.
    """

    asked_at: int
    asked: store_position.StorePosition
    told: tuple[Change, ...]
    held: Held


@dataclasses.dataclass(frozen=True, slots=True)
class EpochState:
    """One state; times are whole ticks.

    Attributes:
        now: Current tick.
        epoch: The store's epoch.
        store: What the store holds, in order of revisions.
        written: How many changes were ever published.
        calls: Ticks at which the reader's calls under way began.
        reader: What the reader knows.
        reader_log: The same in order of revisions.
        questions: Questions under way: tick and position.
        asked: How many were asked.
        news: Answers under way.
        follower: What the follower knows.
    """

    now: int = 0
    epoch: int = 1
    store: tuple[Change, ...] = ()
    written: int = 0
    calls: tuple[int, ...] = ()
    reader: Held = Held()
    reader_log: tuple[Change, ...] = ()
    questions: tuple[tuple[int, store_position.StorePosition], ...] = ()
    asked: int = 0
    news: tuple[StoreChangesReply, ...] = ()
    follower: Held = Held()


def make_first() -> EpochState:
    """Returns the state in which all know the first change."""
    first = Change(0, 0)
    held = Held(1, frozenset((first,)), 1, 0)
    return EpochState(
        store=(first,),
        written=1,
        reader=held,
        reader_log=(first,),
        follower=held,
    )


def is_true(state: EpochState) -> bool:
    """Returns whether the follower knows all that it claims to know."""
    proven = state.follower.proven
    return all(
        change in state.follower.changes
        for change in state.store
        if change.at < proven
    )


def steps(
    state: EpochState, compares_epochs: bool = True
) -> Iterator[explore.Step[EpochState]]:
    """Yields all that can happen next.

    Args:
        state: The state.
        compares_epochs: Whether positions are compared within an epoch only.
    """
    if state.now < _TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    yield from _write(state)
    yield from _read(state)
    yield from _ask(state)
    for index, news in enumerate(state.news):
        rest = state.news[:index] + state.news[index + 1 :]
        arrived = dataclasses.replace(state, news=rest)
        held = _take(state.follower, news, compares_epochs)
        if held is not None:
            yield explore.Step(
                "take", dataclasses.replace(arrived, follower=held)
            )


def _write(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    if state.written < _CHANGES:
        change = Change(state.written, state.now)
        yield explore.Step(
            "publish",
            dataclasses.replace(
                state,
                store=(*state.store, change),
                written=state.written + 1,
            ),
        )
    if state.epoch == 1 and state.store:
        yield explore.Step(
            "restore",
            dataclasses.replace(state, epoch=2, store=state.store[:-1]),
        )


def _read(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    """The reader's call begins, and is answered at any time later."""
    if not state.calls:
        yield explore.Step(
            "call store", dataclasses.replace(state, calls=(state.now,))
        )
    for began in state.calls:
        held = Held(
            state.epoch, frozenset(state.store), len(state.store), began
        )
        yield explore.Step(
            "store answers",
            dataclasses.replace(
                state, reader=held, reader_log=state.store, calls=()
            ),
        )


def _ask(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    if state.asked < _QUESTIONS:
        question = (state.now, state.follower.position())
        yield explore.Step(
            "ask",
            dataclasses.replace(
                state,
                questions=(*state.questions, question),
                asked=state.asked + 1,
            ),
        )
    for index, (asked_at, position) in enumerate(state.questions):
        rest = state.questions[:index] + state.questions[index + 1 :]
        news = StoreChangesReply(
            asked_at, position, state.reader_log, state.reader
        )
        yield explore.Step(
            "answer",
            dataclasses.replace(
                state, questions=rest, news=(*state.news, news)
            ),
        )


def _take(
    own: Held, news: StoreChangesReply, compares_epochs: bool
) -> Held | None:
    """Returns what a follower knows after an answer, None if nothing new."""
    told = news.held.position()
    if own.position() != news.asked:
        # It answers an earlier question.
        return None
    if compares_epochs and told.epoch == news.asked.epoch and told < news.asked:
        return None
    if compares_epochs and told.epoch < news.asked.epoch:
        return None
    since = news.asked.revision
    if compares_epochs and told.epoch > news.asked.epoch:
        since = 0
    position = max(own.position(), told)
    if not compares_epochs:
        position = dataclasses.replace(
            position, revision=max(own.revision, told.revision)
        )
    return Held(
        position.epoch,
        own.changes | frozenset(news.told[since:]),
        position.revision,
        max(own.proven, min(news.asked_at, news.held.proven)),
    )
