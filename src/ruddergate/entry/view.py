"""What an entry goes by: settings, fleet and shares, with their age."""

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
    """The last that this entry's agent has told; kept when the agent ends.

    Attributes:
        in_force: Settings in force.
        index: Look-ups in them.
        catalog: Published routes, workspaces by key and pools, where settings
            come in that form.
        listing: Published list.
        store_position: Up to where the platform's store is known.
        catalog_came: Set once there is a catalog.
    """

    def __init__(self) -> None:
        self.in_force = adoption.NOTHING
        self.index = indexes.Index(self.in_force.tree)
        self.catalog = catalogs.EMPTY
        self.listing = listings.EMPTY
        self.store_position = store_position.StorePosition(
            store_position.EPOCH_UNKNOWN, 0
        )
        self.catalog_came = asyncio.Event()
        self._confirmed_ms = _NEVER
        self._settled_since_ms = float("inf")
        self._shares: Mapping[str, share_messages.Share] = {}
        self._base_fraction = 0.0
        self._shares_ms = _NEVER
        self._settings_confirmed_ms = _NEVER

    def take_tree(self, parts: tree_parts.TreeParts) -> bool:
        """Adopts a newer revision; returns whether it is now in force."""
        found = adoption.consider(self.in_force, parts.manifest, parts.shards)
        if isinstance(found, adoption.Missing):
            return False
        changed = found.manifest.revision > self.in_force.manifest.revision
        self.in_force = found
        if changed:
            self.index = indexes.Index(found.tree)
        return changed

    def take_fleet(self, view: fleet_view.FleetView, now_ms: float) -> None:
        """Takes in a list, never an older one."""
        self.listing = listings.merge(self.listing, view.listing)
        if view.listing.version < self.listing.version:
            return
        self._confirmed_ms = max(self._confirmed_ms, now_ms - view.age_ms)
        self._settled_since_ms = now_ms - view.settled_ms

    def take_catalog(self, offered: catalogs.Catalog) -> bool:
        """Adopts a newer catalog; returns whether it is now in force."""
        if offered.revision <= self.catalog.revision:
            return False
        self.catalog = offered
        self.index = offered
        self.catalog_came.set()
        return True

    def take_targets(
        self, found: Sequence[targets.Target], asked_ms: float
    ) -> None:
        """Takes in the targets as they stood at or after `asked_ms`.

        Which of them leave is found out by whoever hands them over.
        """
        version = self.listing.version + 1
        self.listing = listings.Listing(version, self.listing.vms, tuple(found))
        self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    def is_over(self, incarnation: incarnations.Incarnation) -> bool:
        """Returns whether a younger life of the same target is listed."""
        return any(
            each.target_id == incarnation.target_id
            and each.started_ms > incarnation.started_ms
            for each in self.listing.targets
        )

    def confirm_settings(self, asked_ms: float) -> None:
        """Notes that nothing newer was in force at `asked_ms`."""
        self._settings_confirmed_ms = max(self._settings_confirmed_ms, asked_ms)

    def settings_age_ms(self, now_ms: float) -> float:
        """Returns how long ago the settings were certainly the newest."""
        return now_ms - self._settings_confirmed_ms

    def take_shares(self, shares: share_messages.Shares, now_ms: float) -> None:
        """Takes in this VM's parts of the limits."""
        self._shares = {each.workspace: each for each in shares.shares}
        self._base_fraction = shares.base_fraction
        self._shares_ms = now_ms

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the platform last confirmed the list."""
        return now_ms - self._confirmed_ms

    def settled_ms(self, now_ms: float, process_began_ms: float) -> float:
        """Returns for how long this process has known the same VMs."""
        since_ms = max(self._settled_since_ms, process_began_ms)
        return now_ms - since_ms

    def fraction(self, workspace: str, now_ms: float) -> float:
        """Returns the part of a workspace's limits that is ours now."""
        share = self._shares.get(workspace)
        if share is None:
            return self._base_fraction
        if now_ms - self._shares_ms > share.valid_ms:
            # What was borrowed has lapsed; the lender may use it again.
            return min(share.fraction, self._base_fraction)
        return share.fraction

    def live_vms(self) -> int:
        """Returns the number of VMs that are not leaving; at least 1."""
        live = sum(
            vm.condition is condition.Condition.LIVE for vm in self.listing.vms
        )
        return max(1, live)

    def listed_vms(self) -> Sequence[str]:
        """Returns the listed VMs."""
        return [vm.vm_id for vm in self.listing.vms]
