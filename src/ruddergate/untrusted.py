"""Handles values that others wrote, however deeply nested or large they are.

The JSON parser accepts deeper values than Python can print or compare, and
integers that are too large to be printed.
"""

from collections.abc import Sized
import pathlib
import traceback

_TEXT_CHARACTERS_MAX = 40
_INTEGER_BITS_MAX = 128


def describe_value(value: object) -> str:
    """Returns a short description of a value, for logs and errors."""
    if isinstance(value, str | bytes):
        return repr(value[:_TEXT_CHARACTERS_MAX])
    if isinstance(value, int) and value.bit_length() > _INTEGER_BITS_MAX:
        return f"an integer of {value.bit_length()} bits"
    if value is None or isinstance(value, bool | int | float):
        return repr(value)
    if isinstance(value, Sized):
        return f"a {type(value).__name__} of length {len(value)}"
    return f"a {type(value).__name__}"


def are_equal(first: object, second: object) -> bool:
    """Returns whether two values are equal.

    Values that are too deeply nested to be compared count as different.
    """
    try:
        return first == second
    except RecursionError:
        return False


def describe_error(error: Exception) -> str:
    """Returns the type of an exception and where it was raised, for logs.

    Its message is left out, as it may quote the value.
    """
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    place = frames[-1]
    file_name = pathlib.PurePath(place.filename).name
    return f"{type(error).__name__} in {file_name}, line {place.lineno}"
