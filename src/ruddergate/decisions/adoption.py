"""Which revision of the settings tree a process has in force.

Revisions only go up. A revision that a process has refused stays refused: the
check is a pure function of the bytes, so repeating it can't change the result.
"""

from collections.abc import Mapping
import dataclasses

from ruddergate.settings import check
from ruddergate.settings import manifest as manifests
from ruddergate.settings import problem
from ruddergate.settings import tree


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The settings that a process uses.

    Attributes:
        manifest: Manifest of the revision in force.
        shards: Contents of its shards by digest.
        tree: The checked tree.
        refused_revision: Highest revision that failed its check, or 0.
        problems: Why it failed.
    """

    manifest: manifests.Manifest
    shards: Mapping[str, bytes]
    tree: tree.Tree
    refused_revision: int
    problems: tuple[problem.Problem, ...]


NOTHING = InForce(manifests.EMPTY, {}, tree.EMPTY, 0, ())


@dataclasses.dataclass(frozen=True, slots=True)
class MissingShards:
    """The shards that are needed before a newer revision can be checked.

    Attributes:
        digests: Digests of the shards to fetch.
    """

    digests: tuple[str, ...]


def is_wanted(current: InForce, revision: int) -> bool:
    """Returns whether a revision is worth fetching."""
    return revision > max(current.manifest.revision, current.refused_revision)


def evaluate_offer(
    current: InForce,
    offered: manifests.Manifest,
    shards: Mapping[str, bytes],
) -> InForce | MissingShards:
    """Returns what is in force after an offer, or the shards that it lacks.

    Args:
        current: What is in force now.
        offered: Manifest of the offered revision.
        shards: Contents of shards by digest, beside those already in force.
    """
    if not is_wanted(current, offered.revision):
        return current
    known = {**current.shards, **_drop_corrupt(shards)}
    wanted = {shard.digest for shard in offered.shards}
    missing = tuple(sorted(wanted - set(known)))
    if missing:
        return MissingShards(missing)
    by_name = {shard.name: known[shard.digest] for shard in offered.shards}
    checked = check.parse_tree(offered.revision, by_name)
    if not isinstance(checked, tree.Tree):
        return dataclasses.replace(
            current, refused_revision=offered.revision, problems=checked
        )
    kept = {digest: known[digest] for digest in wanted}
    return InForce(offered, kept, checked, current.refused_revision, ())


def _drop_corrupt(shards: Mapping[str, bytes]) -> Mapping[str, bytes]:
    """Returns the shards whose contents match their digest."""
    return {
        digest: data
        for digest, data in shards.items()
        if manifests.digest(data) == digest
    }
