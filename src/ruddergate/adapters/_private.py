"""Reads fields of untrusted JSON documents from external systems."""

from typing import TypeVar

T = TypeVar("T")


def get(document: object, key: str, type_: type[T], default: T) -> T:
    """Returns a field if it has exactly the given type, else the default.

    An integer also counts as a float.
    """
    # This runs for every event of a stream, and `type(...) is dict` is cheaper
    # than `isinstance` with `Mapping`.
    if type(document) is not dict:
        return default
    value = document.get(key, default)
    if type_ is float and type(value) is int:
        return float(value)
    return value if type(value) is type_ else default
