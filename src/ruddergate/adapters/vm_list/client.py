"""Client of the VM list.

    GET /v1/vms   {"version": N, "vms": [...], "targets": [...]}

A VM has `id`, `hall`, `host`, `entry_port`, `entry_peer_port`,
`agent_peer_port` and `state`; a target has `id`, `pool`, `hall`, `host`,
`port` and `state`; `state` is `live` or `leaving`.
"""

import dataclasses

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.fleet import condition
from ruddergate.fleet import listing as listings
from ruddergate.fleet import target as targets
from ruddergate.fleet import vm as vms
from ruddergate.http import client

_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The list could not be fetched or is malformed.

    Attributes:
        detail: Reason, for logs.
    """

    detail: str


async def fetch_listing(
    env: environment.Environment,
    address: environment.Address,
    timeout_ms: float,
) -> listings.Listing | Unavailable:
    """Returns the list that the platform publishes now."""
    request = client.make_json_request("GET", "/v1/vms")
    response = await client.fetch(env, address, request, timeout_ms)
    if isinstance(response, client.Fault):
        return Unavailable(response.detail)
    if response.status != _OK:
        return Unavailable(f"unexpected status {response.status}")
    return parse_listing(response.json())


def parse_listing(document: object) -> listings.Listing | Unavailable:
    """Returns the list in a document, without its malformed rows."""
    version = _private.get(document, "version", int, -1)
    if version < 0:
        return Unavailable("the list is malformed")
    vm_rows = _private.get(document, "vms", list, [])
    target_rows = _private.get(document, "targets", list, [])
    found_vms = [_parse_vm(row) for row in vm_rows]
    found_targets = [_parse_target(row) for row in target_rows]
    return listings.Listing(
        version,
        tuple(vm for vm in found_vms if vm is not None),
        tuple(target for target in found_targets if target is not None),
    )


def _parse_vm(row: object) -> vms.Vm | None:
    vm_id = _private.get(row, "id", str, "")
    host = _private.get(row, "host", str, "")
    entry = _parse_address(host, row, "entry_port")
    entry_peer = _parse_address(host, row, "entry_peer_port")
    agent_peer = _parse_address(host, row, "agent_peer_port")
    if not vm_id or entry is None or entry_peer is None or agent_peer is None:
        return None
    hall = _private.get(row, "hall", str, "")
    state = _parse_condition(row)
    return vms.Vm(vm_id, hall, entry, entry_peer, agent_peer, state)


def _parse_target(row: object) -> targets.Target | None:
    target_id = _private.get(row, "id", str, "")
    pool = _private.get(row, "pool", str, "")
    address = _parse_address(_private.get(row, "host", str, ""), row, "port")
    if not target_id or not pool or address is None:
        return None
    hall = _private.get(row, "hall", str, "")
    state = _parse_condition(row)
    return targets.Target(target_id, pool, hall, address, state)


def _parse_address(
    host: str, row: object, key: str
) -> environment.Address | None:
    port = _private.get(row, key, int, 0)
    if not host or not 0 < port < 65536:
        return None
    return environment.Address(host, port)


def _parse_condition(row: object) -> condition.Condition:
    """Reads a row's condition; anything but `live` counts as draining.

    It is safe to send such a VM or target no new work.
    """
    if _private.get(row, "state", str, "") == condition.Condition.LIVE:
        return condition.Condition.LIVE
    return condition.Condition.DRAINING
