"""Requests a peer's revision of the settings tree."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TreeRequest:
    """A request for the shards of a tree that the sender lacks.

    Attributes:
        revision: Revision in force at the sender.
        digests: Digests of the shards that the sender has.
    """

    revision: int
    digests: tuple[str, ...]
