"""Reads entries of targets as the store holds them."""

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.fleet import condition
from ruddergate.fleet import life as lives
from ruddergate.fleet import target as targets

# Entries stand under this prefix and the target's incarnation.
PREFIX = "servers/"
_LIVE = "ready"


def read_born_ms(document: object) -> int:
    """Returns when a target started, as it says in whatever it publishes."""
    born_ms = _private.get(document, "born", int, lives.BORN_UNKNOWN)
    return max(lives.BORN_UNKNOWN, born_ms)


def read_target(target_id: str, document: object) -> targets.Target | str:
    """Returns the target, or a sentence that says what is wrong."""
    address = _private.get(document, "address", str, "")
    service = _private.get(document, "service", str, "")
    try:
        where = environment.parse_address(address)
    except ValueError as error:
        return f"target {target_id}: {error}"
    if not service:
        return f"target {target_id} names no service"
    state = _private.get(document, "state", str, "")
    is_live = state == _LIVE
    return targets.Target(
        target_id=target_id,
        pool=service,
        hall=_private.get(document, "zone", str, ""),
        address=where,
        condition=condition.Condition.LIVE
        if is_live
        else condition.Condition.LEAVING,
        streams_max=_private.get(document, "slots", int, 0),
        born_ms=read_born_ms(document),
    )
