"""A revision of the settings tree, whole or as a delta."""

import dataclasses

from ruddergate.settings import manifest


@dataclasses.dataclass(frozen=True, slots=True)
class TreeParts:
    """A manifest together with the shards that the receiver lacks.

    Attributes:
        manifest: The revision and the digests of all its shards.
        shards: Shards by digest; the receiver already has the others.
    """

    manifest: manifest.Manifest
    shards: dict[str, bytes]
