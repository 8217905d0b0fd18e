"""Gateways with one mechanism disabled, which the soak must detect.

`python -m standins.soak_ablations NAME FLAGS` runs ruddergate-gateway without
the mechanism; `python -m standins.soak --fleet --without NAME` runs the soak
with such gateways.
"""

from collections.abc import Callable
import dataclasses
import sys

from ruddergate.cli import gateway
from ruddergate.decisions import change_log
from ruddergate.decisions import draining
from ruddergate.decisions import freshness
from ruddergate.entry import peer_gossip
from ruddergate.entry import rate_limiter
from ruddergate.entry import store_epochs
from ruddergate.entry import store_sync
from ruddergate.entry import view as views
from ruddergate.platform import store


def _ignore_epochs() -> None:
    """Makes store positions compare by revision, whatever their epoch."""
    find_since = change_log.ChangeLog.find_since

    def find_by_revision(
        log: change_log.ChangeLog, position: int, until: int
    ) -> change_log.Step | None:
        if position > until:
            return change_log.Step(until, until, False)
        return find_since(log, position, until)

    store._read_epoch = lambda fields: 0
    change_log.ChangeLog.find_since = find_by_revision
    store_epochs.check_epoch = lambda found, since, known_epoch: found
    store_sync._is_behind = lambda found, position: False


def _keep_removed_keys() -> None:
    """Makes removed keys stay valid."""
    original = views.View.apply_catalog

    def apply_catalog(view: views.View, offered: object) -> bool:
        before = view.catalog.workspaces
        is_applied = original(view, offered)
        if is_applied:
            view.catalog.workspaces = {**before, **view.catalog.workspaces}
        return is_applied

    views.View.apply_catalog = apply_catalog


def _ignore_reply_ages() -> None:
    """Makes a peer's reply count as current as of the request time."""
    freshness.find_current_as_of_ms = lambda asked_ms, age_ms: asked_ms


def _stop_drain_gossip() -> None:
    """Stops gossip of targets that announce draining in responses."""
    draining.DrainState.summarize = lambda self, now_ms: ()


def _stop_limit_gossip() -> None:
    """Stops gossip of rate limits."""
    rate_limiter.RateLimiter.summarize = lambda self: ()


def _carry_nothing() -> None:
    """Makes no gateway carry connections of peers."""
    peer_gossip.PeerGossip.list_carriers = lambda self: []


@dataclasses.dataclass(frozen=True, slots=True)
class Ablation:
    """A mechanism that can be disabled.

    Attributes:
        name: Name on the command line.
        apply: Disables it in this process.
    """

    name: str
    apply: Callable[[], None]


ABLATIONS = (
    Ablation("epochs", _ignore_epochs),
    Ablation("key-removals", _keep_removed_keys),
    Ablation("proof-ages", _ignore_reply_ages),
    Ablation("leavings", _stop_drain_gossip),
    Ablation("limits", _stop_limit_gossip),
    Ablation("detours", _carry_nothing),
)


def main() -> None:
    """Runs a gateway; the first argument names the disabled mechanism."""
    apply(sys.argv.pop(1))
    gateway.run()


def apply(name: str) -> None:
    """Disables a mechanism in this process."""
    for each in ABLATIONS:
        if each.name == name:
            each.apply()


if __name__ == "__main__":
    main()
