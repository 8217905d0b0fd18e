"""A model of positions in a store that is restored from an older copy.

A reader reads the store; a follower sends the reader its position and applies
the changes since then. Changes, a restore that loses the last change, calls and
datagrams happen in any order, late or never. The follower's claims are checked
against the store.
"""

from collections.abc import Iterator
import dataclasses

from ruddergate.fleet import store_position
from standins import explore

_MAX_TICKS = 2
_MAX_CHANGES = 2
_MAX_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change in the store.

    Attributes:
        number: Id; a change that is written again gets a new one.
        at: Tick at which it was published.
    """

    number: int
    at: int


@dataclasses.dataclass(frozen=True, slots=True)
class KnownState:
    """A VM's copy of the store, and as of when it is known to be complete.

    Attributes:
        epoch: Store epoch of its position.
        changes: Changes that it knows.
        revision: Store revision of its position.
        current_as_of: Tick as of which it claims to know all changes.
    """

    epoch: int = 1
    changes: frozenset[Change] = frozenset()
    revision: int = 0
    current_as_of: int = 0

    def position(self) -> store_position.StorePosition:
        """Returns the store position up to which the VM knows the changes."""
        return store_position.StorePosition(self.epoch, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply in flight to the follower.

    Attributes:
        requested_at: Tick of the request.
        requested_position: Position in the request.
        reader_changes: All changes that the reader knew, in order.
        known: The reader's state.
    """

    requested_at: int
    requested_position: store_position.StorePosition
    reader_changes: tuple[Change, ...]
    known: KnownState


@dataclasses.dataclass(frozen=True, slots=True)
class EpochState:
    """State of the model; times are whole ticks.

    Attributes:
        now: Current tick.
        epoch: The store's epoch.
        store: Changes in the store, in order of revisions.
        written: Number of changes ever published.
        calls: Ticks at which the reader's calls in flight began.
        reader: The reader's state.
        reader_log: Changes that the reader knows, in order of revisions.
        requests: Requests in flight, as tick and position.
        requests_sent: Number of requests ever sent.
        replies: Replies in flight.
        follower: The follower's state.
    """

    now: int = 0
    epoch: int = 1
    store: tuple[Change, ...] = ()
    written: int = 0
    calls: tuple[int, ...] = ()
    reader: KnownState = KnownState()
    reader_log: tuple[Change, ...] = ()
    requests: tuple[tuple[int, store_position.StorePosition], ...] = ()
    requests_sent: int = 0
    replies: tuple[Reply, ...] = ()
    follower: KnownState = KnownState()


def make_first_state() -> EpochState:
    """Returns the state in which both VMs know the first change."""
    first = Change(0, 0)
    known = KnownState(1, frozenset((first,)), 1, 0)
    return EpochState(
        store=(first,),
        written=1,
        reader=known,
        reader_log=(first,),
        follower=known,
    )


def is_claim_valid(state: EpochState) -> bool:
    """Returns whether the follower knows all changes that it claims to."""
    current_as_of = state.follower.current_as_of
    return all(
        change in state.follower.changes
        for change in state.store
        if change.at < current_as_of
    )


def find_steps(
    state: EpochState, compares_within_epoch: bool = True
) -> Iterator[explore.Step[EpochState]]:
    """Yields all possible next steps.

    Args:
        state: The state.
        compares_within_epoch: Whether revisions are compared only within one
            epoch.
    """
    if state.now < _MAX_TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    yield from _change_store(state)
    yield from _read_store(state)
    yield from _exchange(state)
    for index, reply in enumerate(state.replies):
        rest = state.replies[:index] + state.replies[index + 1 :]
        arrived = dataclasses.replace(state, replies=rest)
        known = _apply_reply(state.follower, reply, compares_within_epoch)
        if known is not None:
            yield explore.Step(
                "apply reply", dataclasses.replace(arrived, follower=known)
            )


def _change_store(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    if state.written < _MAX_CHANGES:
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


def _read_store(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    """Yields the start of the reader's store call, and its late response."""
    if not state.calls:
        yield explore.Step(
            "call store", dataclasses.replace(state, calls=(state.now,))
        )
    for began in state.calls:
        known = KnownState(
            state.epoch, frozenset(state.store), len(state.store), began
        )
        yield explore.Step(
            "store responds",
            dataclasses.replace(
                state, reader=known, reader_log=state.store, calls=()
            ),
        )


def _exchange(state: EpochState) -> Iterator[explore.Step[EpochState]]:
    if state.requests_sent < _MAX_REQUESTS:
        request = (state.now, state.follower.position())
        yield explore.Step(
            "send request",
            dataclasses.replace(
                state,
                requests=(*state.requests, request),
                requests_sent=state.requests_sent + 1,
            ),
        )
    for index, (requested_at, position) in enumerate(state.requests):
        rest = state.requests[:index] + state.requests[index + 1 :]
        reply = Reply(requested_at, position, state.reader_log, state.reader)
        yield explore.Step(
            "send reply",
            dataclasses.replace(
                state, requests=rest, replies=(*state.replies, reply)
            ),
        )


def _apply_reply(
    own: KnownState, reply: Reply, compares_within_epoch: bool
) -> KnownState | None:
    """Returns a follower's state after a reply; None if it must be ignored."""
    reported = reply.known.position()
    if own.position() != reply.requested_position:
        # The reply belongs to an earlier request.
        return None
    if (
        compares_within_epoch
        and reported.epoch == reply.requested_position.epoch
        and reported < reply.requested_position
    ):
        return None
    if (
        compares_within_epoch
        and reported.epoch < reply.requested_position.epoch
    ):
        return None
    since = reply.requested_position.revision
    if (
        compares_within_epoch
        and reported.epoch > reply.requested_position.epoch
    ):
        since = 0
    position = max(own.position(), reported)
    if not compares_within_epoch:
        position = dataclasses.replace(
            position, revision=max(own.revision, reported.revision)
        )
    return KnownState(
        position.epoch,
        own.changes | frozenset(reply.reader_changes[since:]),
        position.revision,
        max(
            own.current_as_of,
            min(reply.requested_at, reply.known.current_as_of),
        ),
    )
