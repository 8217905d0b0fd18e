"""Parses target entries in the store."""

from collections.abc import Mapping
import math

from ruddergate import environment
from ruddergate import untrusted
from ruddergate.adapters import _private
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets

# Key prefix of target entries; the rest of the key is the target's id.
PREFIX = "servers/"
_START_TIME = "born"
_SEQUENCE = "sequence"
_CONDITIONS: Mapping[object, condition.Condition] = {
    "ready": condition.Condition.LIVE,
    "draining": condition.Condition.DRAINING,
}
# The end of the year 9999, in Unix milliseconds.
_MAX_START_MS = 253_402_300_799_999
# Larger integers are not the same in all readers of JSON.
_MAX_INTEGER = 2**53 - 1
# A target accepts no more connections than it has ports.
_MAX_SLOTS = 65_535
# Names of targets, services and halls are logged and sent to peers. The
# longest key of the store has this many bytes.
_MAX_NAME_CHARACTERS = 200
# What a target states remains known after its entry was replaced. A larger
# number would take precedence over all later ones.
_MAXIMA: Mapping[str, int] = {
    "slots": _MAX_SLOTS,
    _SEQUENCE: _MAX_INTEGER,
    _START_TIME: _MAX_START_MS,
}
# The fields that are used, and those that distinguish entries of targets from
# entries written by other clients, with the types that they may have.
_FIELDS: Mapping[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "zone": (str,),
    "slots": (int,),
    "state": (str,),
    _SEQUENCE: (int,),
    "cold-remaining-ms": (int, float),
    _START_TIME: (int,),
}
# Missing from entries of targets that were started before these fields existed.
_OPTIONAL_FIELDS = frozenset({_SEQUENCE, "cold-remaining-ms", _START_TIME})


def read_started_ms(document: object) -> int:
    """Returns the start time in any document that a target publishes."""
    started_ms = _private.get(
        document, _START_TIME, int, incarnations.START_UNKNOWN
    )
    is_valid = incarnations.START_UNKNOWN <= started_ms <= _MAX_START_MS
    return started_ms if is_valid else incarnations.START_UNKNOWN


def read_target(target_id: str, document: object) -> targets.Target | str:
    """Returns the target, or a sentence that says what is wrong.

    Other clients write under the same prefix. An entry in which a field is
    missing or has an unexpected type or value was not written by a target, and
    does not describe a usable one.
    """
    if not _is_name(target_id):
        shown = untrusted.describe_value(target_id)
        return f"target {shown}: the name is too long or not printable ASCII"
    if not isinstance(document, dict):
        return f"target {target_id}: the entry is not an object"
    for name, types in _FIELDS.items():
        problem = _find_problem(document, name, types)
        if problem:
            return f"target {target_id}: {problem}"
    state = _CONDITIONS.get(document["state"])
    if state is None:
        shown = untrusted.describe_value(document["state"])
        return f"target {target_id}: unknown state {shown}"
    try:
        address = environment.parse_address(document["address"])
    except ValueError as error:
        return f"target {target_id}: {error}"
    return targets.Target(
        target_id=target_id,
        pool=document["service"],
        hall=document["zone"],
        address=address,
        condition=state,
        streams_max=document["slots"],
        started_ms=document.get(_START_TIME, incarnations.START_UNKNOWN),
        sequence=document.get(_SEQUENCE, 0),
    )


def _find_problem(
    document: dict[str, object], name: str, types: tuple[type, ...]
) -> str:
    """Returns what is wrong with a field, or an empty string."""
    if name not in document:
        return "" if name in _OPTIONAL_FIELDS else f"missing field {name}"
    value = document[name]
    if type(value) not in types:
        return f"{name} is {untrusted.describe_value(value)}"
    if value == "" or not (_is_short(value) and _is_in_range(name, value)):
        return f"{name} is {untrusted.describe_value(value)}"
    return ""


def _is_name(text: str) -> bool:
    return text.isascii() and text.isprintable() and _is_short(text)


def _is_short(value: str | int | float) -> bool:
    return not isinstance(value, str) or len(value) <= _MAX_NAME_CHARACTERS


def _is_in_range(name: str, value: str | int | float) -> bool:
    """Returns whether a number is neither negative nor too large."""
    return isinstance(value, str) or 0 <= value <= _MAXIMA.get(name, math.inf)
