"""Models of at-most-once execution by key and of settings adoption.

These are the two protocols whose outcome depends most on the interleaving of
events. The models call the product's own decision functions, so that a change
there changes the model.
"""

from collections.abc import Iterator
import dataclasses
import functools

from ruddergate import environment
from ruddergate.decisions import adoption
from ruddergate.decisions import ledger
from ruddergate.fleet import condition
from ruddergate.fleet import listing as listings
from ruddergate.fleet import vm as vms
from ruddergate.settings import manifest as manifests
from standins import explore

_KEY = "w key"
_NOWHERE = environment.Address("none", 1)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """State of the at-most-once model: two VMs, one key, a changing VM list.

    Times are whole ticks. A VM is a tuple (view, confirmed_at, unchanged_since,
    started_at, has_key): the list version that it uses, when the platform last
    confirmed this version, since when the VMs in the list are the same, when
    the process started, and whether its ledger has the key.

    Attributes:
        now: Current tick.
        published: Newest version of the list.
        published_at: When it was published.
        vms: The VMs.
        sends: How often the caller has sent the request.
        first_sent: When the caller first sent it; -1 if it did not yet.
        in_flight: VMs to which an entry has forwarded the request.
        runs: How often the request was executed.
    """

    now: int
    published: int
    published_at: int
    vms: tuple[tuple[int, int, int, int, bool], ...]
    sends: int
    first_sent: int
    in_flight: tuple[int, ...]
    runs: int


_MAX_TICKS = 4
_MAX_SENDS = 2
_NAMES = ("vm-1", "vm-2")


@functools.cache
def _make_listing(version: int) -> listings.Listing:
    """Returns a list: version 1 has both VMs, version 2 lacks the home."""
    both = [
        vms.Vm(
            name, "h", _NOWHERE, _NOWHERE, _NOWHERE, condition.Condition.LIVE
        )
        for name in _NAMES
    ]
    if version == 1:
        return listings.Listing(1, tuple(both), ())
    home = ledger.find_home(_KEY, listings.Listing(1, tuple(both), ()))
    remaining = tuple(vm for vm in both if vm.vm_id != home)
    return listings.Listing(2, remaining, ())


@functools.cache
def _find_home(version: int) -> str:
    """Returns the home VM of the key in a version of the list."""
    return ledger.find_home(_KEY, _make_listing(version)) or ""


def make_first_key_state() -> KeyState:
    """Returns the state after both VMs have known each other for 10 ticks."""
    vm = (1, 0, -10, -10, False)
    return KeyState(0, 1, 0, (vm, vm), 0, -1, (), 0)


def find_key_steps(
    state: KeyState, bounds: ledger.Bounds, lag_ticks: int
) -> Iterator[explore.Step[KeyState]]:
    """Yields all possible next steps.

    Args:
        state: The state.
        bounds: Bounds of the guarantee, in ticks instead of milliseconds.
        lag_ticks: Ticks after which the platform serves a new list to all VMs.
    """
    if state.now < _MAX_TICKS:
        yield explore.Step(
            "tick", dataclasses.replace(state, now=state.now + 1)
        )
    if state.published == 1:
        changed = dataclasses.replace(
            state, published=2, published_at=state.now
        )
        yield explore.Step("publish", changed)
    for index in range(len(state.vms)):
        yield from _refresh_list(state, index, lag_ticks)
        yield from _restart_vm(state, index)
        yield from _send_request(state, index)
    for position, index in enumerate(state.in_flight):
        rest = state.in_flight[:position] + state.in_flight[position + 1 :]
        arrived = dataclasses.replace(state, in_flight=rest)
        yield from _decide_run(arrived, index, bounds)


def _refresh_list(
    state: KeyState, index: int, lag_ticks: int
) -> Iterator[explore.Step[KeyState]]:
    view, confirmed_at, unchanged_since, started_at, has_key = state.vms[index]
    is_all = state.now - state.published_at >= lag_ticks
    served = [state.published] if is_all else [1, state.published]
    for version in sorted(set(served)):
        if version < view:
            continue
        since = unchanged_since if version == view else state.now
        vm = (version, state.now, since, started_at, has_key)
        yield explore.Step(f"refresh {index}", _with_vm(state, index, vm))


def _restart_vm(
    state: KeyState, index: int
) -> Iterator[explore.Step[KeyState]]:
    if state.vms[index][3] < 0 and state.now > 0:
        served = state.published
        vm = (served, state.now, state.now, state.now, False)
        yield explore.Step(f"restart {index}", _with_vm(state, index, vm))


def _send_request(
    state: KeyState, index: int
) -> Iterator[explore.Step[KeyState]]:
    if state.sends >= _MAX_SENDS:
        return
    view = state.vms[index][0]
    home = _find_home(view)
    first = state.now if state.first_sent < 0 else state.first_sent
    sent = dataclasses.replace(
        state,
        sends=state.sends + 1,
        first_sent=first,
        in_flight=tuple(sorted((*state.in_flight, _NAMES.index(home)))),
    )
    yield explore.Step(f"send by {index}", sent)


def _decide_run(
    state: KeyState, index: int, bounds: ledger.Bounds
) -> Iterator[explore.Step[KeyState]]:
    view, confirmed_at, unchanged_since, started_at, has_key = state.vms[index]
    if has_key:
        yield explore.Step(f"join at {index}", state)
        return
    verdict = ledger.judge_key(
        _KEY,
        state.now - state.first_sent,
        _NAMES[index],
        _make_listing(view),
        state.now - confirmed_at,
        state.now - max(unchanged_since, started_at),
        bounds,
    )
    if verdict is not ledger.KeyVerdict.MAY_RUN:
        yield explore.Step(f"refuse at {index}", state)
        return
    vm = (view, confirmed_at, unchanged_since, started_at, True)
    ran = dataclasses.replace(state, runs=state.runs + 1)
    yield explore.Step(f"run at {index}", _with_vm(ran, index, vm))


def _with_vm(
    state: KeyState, index: int, vm: tuple[int, int, int, int, bool]
) -> KeyState:
    changed = (*state.vms[:index], vm, *state.vms[index + 1 :])
    return dataclasses.replace(state, vms=changed)


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptionState:
    """State of the adoption model: agents, entries, a service that may revert.

    Attributes:
        served: Revision that the service serves now.
        newest: Newest published revision.
        agents: Revision in force at each agent; -1 while it starts.
        entries: Revision in force at each entry; -1 while it starts.
        messages: Messages in flight, as (receiving agent, revision).
        reverted: Whether an entry ever went back to an older revision.
    """

    served: int
    newest: int
    agents: tuple[int, ...]
    entries: tuple[int, ...]
    messages: tuple[tuple[int, int], ...]
    reverted: bool


_MAX_REVISIONS = 3
_MAX_MESSAGES = 2


def make_first_adoption_state() -> AdoptionState:
    """Returns the state with revision 1 in force everywhere."""
    return AdoptionState(1, 1, (1, 1), (1, 1), (), False)


def find_adoption_steps(
    state: AdoptionState, asks_first: bool
) -> Iterator[explore.Step[AdoptionState]]:
    """Yields all possible next steps.

    Args:
        state: The state.
        asks_first: Whether a starting agent asks its entry and peers before it
            trusts the service.
    """
    if state.newest < _MAX_REVISIONS:
        newest = state.newest + 1
        yield explore.Step(
            "publish", dataclasses.replace(state, newest=newest, served=newest)
        )
    for revision in range(1, state.newest + 1):
        moved = dataclasses.replace(state, served=revision)
        yield explore.Step(f"serve {revision}", moved)
    for index in range(len(state.agents)):
        yield from _find_agent_steps(state, index, asks_first)
    for position, (index, revision) in enumerate(state.messages):
        rest = state.messages[:position] + state.messages[position + 1 :]
        arrived = dataclasses.replace(state, messages=rest)
        yield explore.Step("deliver", _adopt(arrived, index, revision))


def _find_agent_steps(
    state: AdoptionState, index: int, asks_first: bool
) -> Iterator[explore.Step[AdoptionState]]:
    agent = state.agents[index]
    other = state.agents[1 - index]
    if agent < 0:
        known = [state.served]
        if asks_first:
            known += [state.entries[index], other]
        yield explore.Step(
            f"start agent {index}", _adopt(state, index, max(known))
        )
        return
    yield explore.Step(f"watch {index}", _adopt(state, index, state.served))
    stopped = _replace(state.agents, index, -1)
    yield explore.Step(
        f"agent {index} dies", dataclasses.replace(state, agents=stopped)
    )
    if len(state.messages) < _MAX_MESSAGES and other >= 0:
        sent = tuple(sorted((*state.messages, (1 - index, agent))))
        yield explore.Step("gossip", dataclasses.replace(state, messages=sent))
    fed = feed_entry(state.entries[index], agent)
    yield explore.Step(
        f"feed {index}",
        dataclasses.replace(
            state,
            entries=_replace(state.entries, index, fed),
            reverted=state.reverted or fed < state.entries[index],
        ),
    )


def _adopt(state: AdoptionState, index: int, revision: int) -> AdoptionState:
    agent = state.agents[index]
    current = _make_in_force(max(0, agent))
    if not adoption.is_wanted(current, revision):
        return state
    return dataclasses.replace(
        state, agents=_replace(state.agents, index, revision)
    )


def feed_entry(entry: int, agent: int) -> int:
    """Returns the entry's revision in force after an update by its agent."""
    is_newer = adoption.is_wanted(_make_in_force(max(0, entry)), agent)
    return agent if is_newer else entry


def _make_in_force(revision: int) -> adoption.InForce:
    return dataclasses.replace(
        adoption.NOTHING, manifest=manifests.Manifest(revision, ())
    )


def _replace(
    values: tuple[int, ...], index: int, value: int
) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])
