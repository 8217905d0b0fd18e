"""Reads entries of targets as the store holds them."""

from collections.abc import Mapping

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.fleet import condition
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets

# Entries stand under this prefix and the target's incarnation.
PREFIX = "servers/"
_BORN = "born"
_SEQUENCE = "sequence"
_CONDITIONS: Mapping[object, condition.Condition] = {
    "ready": condition.Condition.LIVE,
    "draining": condition.Condition.DRAINING,
}
# The fields that are gone by, and those that tell a target's own entries from
# what others write; with the types that they may have.
_FIELDS: Mapping[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "zone": (str,),
    "slots": (int,),
    "state": (str,),
    _SEQUENCE: (int,),
    "cold-remaining-ms": (int, float),
    _BORN: (int,),
}
# Targets that were started before these were told go without.
_OPTIONAL = frozenset({_SEQUENCE, "cold-remaining-ms", _BORN})


def read_started_ms(document: object) -> int:
    """Returns when a target started, as it says in whatever it publishes."""
    started_ms = _private.get(document, _BORN, int, incarnations.START_UNKNOWN)
    return max(incarnations.START_UNKNOWN, started_ms)


def read_target(target_id: str, document: object) -> targets.Target | str:
    """Returns the target, or a sentence that says what is wrong.

    Others write where targets do. What lacks a field, or has one of another
    type or meaning, is no target's own entry, and names none to be used.
    """
    if not isinstance(document, dict):
        return f"target {target_id}: the entry is no object"
    for name, types in _FIELDS.items():
        fault = _find_fault(document, name, types)
        if fault:
            return f"target {target_id}: {fault}"
    state = _CONDITIONS.get(document["state"])
    if state is None:
        return f"target {target_id}: unknown state {document['state']!r:.40}"
    try:
        where = environment.parse_address(document["address"])
    except ValueError as error:
        return f"target {target_id}: {error}"
    return targets.Target(
        target_id=target_id,
        pool=document["service"],
        hall=document["zone"],
        address=where,
        condition=state,
        streams_max=document["slots"],
        started_ms=document.get(_BORN, incarnations.START_UNKNOWN),
        sequence=document.get(_SEQUENCE, 0),
    )


def _find_fault(
    document: dict[str, object], name: str, types: tuple[type, ...]
) -> str:
    """Returns what is wrong with a field, or an empty text."""
    if name not in document:
        return "" if name in _OPTIONAL else f"no field {name}"
    value = document[name]
    if type(value) not in types:
        return f"{name} is {value!r:.40}"
    if value == "" or (not isinstance(value, str) and value < 0):
        return f"{name} is {value!r:.40}"
    return ""
