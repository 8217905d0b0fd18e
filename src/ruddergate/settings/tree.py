"""The settings tree, after validation."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import types

from ruddergate.settings import kind as kinds
from ruddergate.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """A branch: what it overrides and where it inherits the rest.

    Attributes:
        name: Unique path, such as `signal/repairs`.
        kind: What it describes.
        parent: Name of the branch that it inherits from; empty for the root.
        overrides: The settings that it sets itself.
        hall_percent: Percentage of a workspace's limit for each hall; empty
            means equal shares.
    """

    name: str
    kind: kinds.Kind
    parent: str
    overrides: Mapping[str, schema.SettingValue]
    hall_percent: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """A complete tree that has passed validation.

    Attributes:
        revision: Number under which the platform published it.
        branches: Branches, by name.
    """

    revision: int
    branches: Mapping[str, Branch]

    def find(self, name: str, kind: kinds.Kind) -> Branch | None:
        """Returns the branch of this name and kind, or None."""
        branch = self.branches.get(name)
        if branch is None or branch.kind is not kind:
            return None
        return branch

    def lineage(self, name: str) -> Iterator[Branch]:
        """Yields the branch and its ancestors, nearest first."""
        while name:
            branch = self.branches[name]
            yield branch
            name = branch.parent

    def of_kind(self, kind: kinds.Kind) -> Iterator[Branch]:
        """Yields the branches of one kind, sorted by name."""
        for name in sorted(self.branches):
            if self.branches[name].kind is kind:
                yield self.branches[name]


EMPTY = Tree(0, types.MappingProxyType({}))
