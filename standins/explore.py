"""A small explicit-state model checker that tries every interleaving."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
from typing import Generic
from typing import TypeVar

State = TypeVar("State", bound=Hashable)

MAX_STATES = 2_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Step(Generic[State]):
    """One step of a model: its name and the state after it."""

    name: str
    state: State


@dataclasses.dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        states: Number of distinct states reached.
        counterexample: Steps to the first state found that violates the
            invariant; empty if none does.
    """

    states: int
    counterexample: tuple[str, ...]


def explore(
    first: State,
    find_steps: Callable[[State], Iterable[Step[State]]],
    is_valid: Callable[[State], bool],
) -> Exploration:
    """Visits all states breadth first, so that counterexamples are shortest."""
    predecessors: dict[State, tuple[State, str] | None] = {first: None}
    frontier = collections.deque([first])
    while frontier:
        state = frontier.popleft()
        if not is_valid(state):
            return Exploration(
                len(predecessors), _trace_steps(state, predecessors)
            )
        for step in find_steps(state):
            if step.state not in predecessors:
                predecessors[step.state] = (state, step.name)
                frontier.append(step.state)
        if len(predecessors) > MAX_STATES:
            raise OverflowError("the model has too many states")
    return Exploration(len(predecessors), ())


def _trace_steps(
    state: State, predecessors: dict[State, tuple[State, str] | None]
) -> tuple[str, ...]:
    names = []
    predecessor = predecessors[state]
    while predecessor is not None:
        state, name = predecessor
        names.append(name)
        predecessor = predecessors[state]
    return tuple(reversed(names))
