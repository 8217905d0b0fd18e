"""Decides what engines load, as a pure function of settings tree and targets.

Two agents that act at the same time send the same order, and the fencing token
lets the engine refuse an older one. For a pool whose engines do not check
fencing tokens, a single owner sends the orders. A new owner first waits until
an earlier owner's order has certainly arrived or timed out.
"""

from collections.abc import Iterable
import dataclasses

from ruddergate.decisions import rendezvous
from ruddergate.fleet import target as targets
from ruddergate.settings import effective

# How long a VM must have been the owner, and its settings in force, before it
# sends orders to engines that do not check fencing tokens.
SETTLE_MS = 5_000.0
ORDER_TIMEOUT_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        revision: Revision of the settings tree that it is derived from; the
            fencing token.
        generation: Incarnation of the engine that it is meant for.
        model: Model to load.
        version: Version of the model.
        adapters: Adapters to load, sorted by name.
        role: Role to take.
    """

    revision: int
    generation: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedState:
    """What an engine reports to have loaded.

    Attributes:
        generation: Incarnation of the engine.
        revision: Fencing token of the last order that it accepted.
        model: Its model.
        version: Version of the model.
        adapters: Its adapters, sorted by name.
        role: Its role.
        is_loading: Whether it is loading now.
    """

    generation: str
    revision: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    is_loading: bool


def make_order(pool: effective.Pool, revision: int, generation: str) -> Order:
    """Returns the order that the settings imply for an engine of the pool."""
    adapter_names = (name.strip() for name in pool.adapters.split(","))
    return Order(
        revision=revision,
        generation=generation,
        model=pool.model,
        version=pool.model_version,
        adapters=tuple(sorted(name for name in adapter_names if name)),
        role=pool.role,
    )


def is_needed(order: Order, loaded: LoadedState) -> bool:
    """Returns whether an order must be sent to an engine.

    An engine that has accepted a higher revision is never ordered back.
    """
    if loaded.revision > order.revision or loaded.is_loading:
        return False
    loaded_state = (loaded.model, loaded.version, loaded.adapters, loaded.role)
    return loaded_state != (
        order.model,
        order.version,
        order.adapters,
        order.role,
    )


def find_owners(
    target: targets.Target, vm_ids: Iterable[str], checks_fence: bool
) -> list[str]:
    """Returns the VMs that own a target: those that send its orders."""
    count = 2 if checks_fence else 1
    return rendezvous.choose(f"orders {target.target_id}", vm_ids, count)


def may_order(
    is_owner: bool,
    checks_fence: bool,
    owned_for_ms: float,
    settings_in_force_ms: float,
    view_age_ms: float,
) -> bool:
    """Returns whether this VM may send a target its order now.

    Args:
        is_owner: Whether it is among the target's owners.
        checks_fence: Whether the target itself refuses older orders.
        owned_for_ms: Time since it became an owner.
        settings_in_force_ms: How long its settings tree has been in force.
        view_age_ms: Age of its view of the fleet.
    """
    if not is_owner:
        return False
    if checks_fence:
        return True
    settled = min(owned_for_ms, settings_in_force_ms) >= SETTLE_MS
    return settled and view_age_ms < SETTLE_MS / 2.0


@dataclasses.dataclass(slots=True)
class WeightReadBudget:
    """Token bucket for this VM's reads of the weight store.

    Attributes:
        rate_per_s: Reads per second; this VM's share of the store's limit.
        tokens: Reads that may start now; never more than one.
        updated_ms: When `tokens` was last updated.
    """

    rate_per_s: float
    tokens: float
    updated_ms: float

    def try_take(self, now_ms: float) -> bool:
        """Takes the token of one read; returns whether there was one."""
        earned = (now_ms - self.updated_ms) / 1000.0 * self.rate_per_s
        self.tokens = min(1.0, self.tokens + earned)
        self.updated_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
