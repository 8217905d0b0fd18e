"""Lookup of workspaces by key and of workloads and pools by name."""

import hashlib
import hmac

from ruddergate.settings import effective
from ruddergate.settings import kind as kinds
from ruddergate.settings import tree

# Number of leading digits of a key's digest that select a candidate. The whole
# digest is then compared in constant time.
_SELECTOR_DIGITS = 16


class Index:
    """Lookups in one tree; caches effective settings.

    Attributes:
        tree: The tree.
    """

    def __init__(self, settings_tree: tree.Tree) -> None:
        self.tree = settings_tree
        self._workloads: dict[str, effective.Workload | None] = {}
        self._pools: dict[str, effective.Pool] = {}
        self._by_selector: dict[str, tuple[str, str]] = {}
        for branch in settings_tree.of_kind(kinds.Kind.WORKSPACE):
            digest = str(branch.overrides.get("key_sha256", ""))
            if digest:
                selector = digest[:_SELECTOR_DIGITS]
                self._by_selector[selector] = (digest, branch.name)

    def find_workspace(self, key: str) -> str | None:
        """Returns the workspace that the key belongs to, or None."""
        presented = hashlib.sha256(key.encode()).hexdigest()
        known = self._by_selector.get(presented[:_SELECTOR_DIGITS])
        if known is None or not hmac.compare_digest(known[0], presented):
            return None
        return known[1]

    def find_workload(
        self, workspace: str, name: str
    ) -> effective.Workload | None:
        """Returns a workload of the workspace, by full or short name."""
        for candidate in (f"{workspace}/{name}", name):
            workload = self._resolve(candidate)
            if workload is not None and workload.workspace == workspace:
                return workload
        return None

    def find_pool(self, name: str) -> effective.Pool | None:
        """Returns the effective settings of a pool, or None."""
        if name not in self._pools and (
            self.tree.find(name, kinds.Kind.POOL) is not None
        ):
            self._pools[name] = effective.resolve_pool(self.tree, name)
        return self._pools.get(name)

    def _resolve(self, name: str) -> effective.Workload | None:
        # Names come from callers, so only those in the tree are cached.
        if name not in self.tree.branches:
            return None
        if name not in self._workloads:
            found = effective.resolve_workload(self.tree, name)
            self._workloads[name] = found
        return self._workloads[name]
