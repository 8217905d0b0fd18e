"""A manifest identifies one revision by the digests of all its shards."""

from collections.abc import Mapping
import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """A shard as listed in a manifest.

    Attributes:
        name: Name of the shard.
        digest: SHA-256 of its bytes, in hex.
    """

    name: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """One revision of the tree.

    Attributes:
        revision: Number of the revision; only higher ones are ever adopted.
        shards: Its shards, sorted by name.
    """

    revision: int
    shards: tuple[Shard, ...]


EMPTY = Manifest(0, ())


def digest(data: bytes) -> str:
    """Returns the digest under which a shard's bytes are published."""
    return hashlib.sha256(data).hexdigest()


def make_manifest(revision: int, shards: Mapping[str, bytes]) -> Manifest:
    """Returns the manifest of a revision that consists of these shards."""
    named = [Shard(name, digest(shards[name])) for name in sorted(shards)]
    return Manifest(revision, tuple(named))
