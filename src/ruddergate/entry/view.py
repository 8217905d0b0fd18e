"""The view that an entry uses: settings, fleet and shares, with their age."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence

from ruddergate.decisions import adoption
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import listing as listings
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.messages import fleet_view
from ruddergate.messages import shares as share_messages
from ruddergate.messages import tree_parts
from ruddergate.settings import catalog as catalogs
from ruddergate.settings import index as indexes

_NEVER = float("-inf")


class View:
    """The latest known state; kept while its source is unavailable.

    Attributes:
        in_force: Settings in force.
        index: Look-ups in the settings.
        catalog: Published routes, workspaces by key and pools, if settings are
            published in that form.
        listing: Published list of VMs and targets.
        store_position: Position in the platform's store that was read last.
        catalog_loaded: Set once there is a catalog.
        keys_released: Set unless keys are accepted only after peers were asked
            for later settings.
    """

    def __init__(self) -> None:
        self.in_force = adoption.NOTHING
        self.index = indexes.Index(self.in_force.tree)
        self.catalog = catalogs.EMPTY
        self.listing = listings.EMPTY
        self.store_position = store_position.StorePosition(
            store_position.EPOCH_UNKNOWN, 0
        )
        self.catalog_loaded = asyncio.Event()
        self.keys_released = asyncio.Event()
        self.keys_released.set()
        self._confirmed_ms = _NEVER
        self._unchanged_since_ms = float("inf")
        self._shares: Mapping[str, share_messages.Share] = {}
        self._base_fraction = 0.0
        self._shares_ms = _NEVER
        self._settings_confirmed_ms = _NEVER

    def apply_tree(self, parts: tree_parts.TreeParts) -> bool:
        """Applies a newer revision; returns whether it is now in force."""
        found = adoption.evaluate_offer(
            self.in_force, parts.manifest, parts.shards
        )
        if isinstance(found, adoption.MissingShards):
            return False
        changed = found.manifest.revision > self.in_force.manifest.revision
        self.in_force = found
        if changed:
            self.index = indexes.Index(found.tree)
        return changed

    def apply_fleet(self, view: fleet_view.FleetView, now_ms: float) -> None:
        """Merges a list; an older one does not replace the current one."""
        self.listing = listings.merge(self.listing, view.listing)
        if view.listing.version < self.listing.version:
            return
        self._confirmed_ms = max(self._confirmed_ms, now_ms - view.age_ms)
        self._unchanged_since_ms = now_ms - view.settled_ms

    def apply_catalog(self, offered: catalogs.Catalog) -> bool:
        """Applies a newer catalog; returns whether it is now in force."""
        if offered.revision <= self.catalog.revision:
            return False
        self.catalog = offered
        self.index = offered
        self.catalog_loaded.set()
        return True

    def apply_targets(
        self, found: Sequence[targets.Target], as_of_ms: float
    ) -> None:
        """Sets the targets, as listed at or after `as_of_ms`.

        The caller has marked the draining ones.
        """
        version = self.listing.version + 1
        self.listing = listings.Listing(version, self.listing.vms, tuple(found))
        self._confirmed_ms = max(self._confirmed_ms, as_of_ms)

    def is_superseded(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether a later incarnation of the target is listed."""
        return any(
            each.target_id == incarnation.target_id
            and each.started_ms > incarnation.started_ms
            for each in self.listing.targets
        )

    def confirm_settings(self, as_of_ms: float) -> None:
        """Records that the settings were current at `as_of_ms`."""
        self._settings_confirmed_ms = max(self._settings_confirmed_ms, as_of_ms)

    def settings_age_ms(self, now_ms: float) -> float:
        """Returns the time since the settings were known to be current."""
        return now_ms - self._settings_confirmed_ms

    def key_age_ms(self, now_ms: float) -> float:
        """Returns the age of the settings for accepting a key."""
        if not self.keys_released.is_set():
            return float("inf")
        return self.settings_age_ms(now_ms)

    def apply_shares(
        self, shares: share_messages.Shares, now_ms: float
    ) -> None:
        """Sets this VM's shares of the limits."""
        self._shares = {each.workspace: each for each in shares.shares}
        self._base_fraction = shares.base_fraction
        self._shares_ms = now_ms

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the list was known to be current."""
        return now_ms - self._confirmed_ms

    def settled_ms(self, now_ms: float, process_started_ms: float) -> float:
        """Returns for how long this process has seen the same VMs."""
        since_ms = max(self._unchanged_since_ms, process_started_ms)
        return now_ms - since_ms

    def fraction(self, workspace: str, now_ms: float) -> float:
        """Returns this VM's share of a workspace's limits."""
        share = self._shares.get(workspace)
        if share is None:
            return self._base_fraction
        if now_ms - self._shares_ms > share.valid_ms:
            # Borrowed quota has expired; the lender may use it again.
            return min(share.fraction, self._base_fraction)
        return share.fraction

    def count_live_vms(self) -> int:
        """Returns the number of VMs that are not draining; at least 1."""
        live = sum(
            vm.condition is condition.Condition.LIVE for vm in self.listing.vms
        )
        return max(1, live)

    def list_vm_ids(self) -> Sequence[str]:
        """Returns the ids of the listed VMs."""
        return [vm.vm_id for vm in self.listing.vms]
