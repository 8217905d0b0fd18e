"""Rendezvous hashing: whoever knows the same names ranks them the same."""

from collections.abc import Iterable
import hashlib


def score(key: str, name: str) -> int:
    """Returns the weight of `name` for `key`; the highest ranks first."""
    data = f"{key}\x00{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names by their score for this key, the highest first."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names with the highest scores for this key."""
    return rank(key, names)[:count]
