"""Control requests to engines: cancel, reserve, prefill a segment, order.

POST /v1/cancel    {"ids": [...]}           frees the items with these IDs
POST /v1/reserve   {"reservation", ...}     200, or 409 without free memory
POST /v1/prefill   {"reservation", ...}     200 when the segment is prefilled
POST /v1/orders    {"revision", ...}        200, or 409 for an old fencing token
"""

from collections.abc import Sequence
import dataclasses

from ruddergate import environment
from ruddergate.adapters.engines import generation_request
from ruddergate.decisions import gangs
from ruddergate.decisions import orders
from ruddergate.fleet import target as targets
from ruddergate.http import client

_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The engine refused the request.

    Attributes:
        status: HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The engine executed the request."""


ControlResult = Done | Refused | client.Fault


async def cancel(
    env: environment.Environment,
    target: targets.Target,
    item_ids: Sequence[str],
    timeout_ms: float,
) -> ControlResult:
    """Frees streams and reservations; unknown IDs count as freed."""
    document = {"ids": list(item_ids)}
    return await _post(env, target, "/v1/cancel", document, timeout_ms)


async def reserve(
    env: environment.Environment,
    target: targets.Target,
    reservation: str,
    owner: str,
    held_tokens: int,
    expiry_age_ms: float,
    timeout_ms: float,
) -> ControlResult:
    """Reserves memory for one segment of a gang's prompt."""
    document = {
        "reservation": reservation,
        "owner": owner,
        "tokens": held_tokens,
        "lapse_ms": expiry_age_ms,
    }
    return await _post(env, target, "/v1/reserve", document, timeout_ms)


async def prefill(
    env: environment.Environment,
    target: targets.Target,
    reservation: str,
    segment: gangs.Segment,
    kv_parts: Sequence[generation_request.KvPart],
    timeout_ms: float,
) -> ControlResult:
    """Prefills one segment after importing the KV cache of those before it."""
    document = {
        "reservation": reservation,
        "first_token": segment.first_token,
        "tokens": segment.tokens,
        "kv_parts": [
            {"engine": each.address, "reservation": each.reservation}
            for each in kv_parts
        ],
    }
    return await _post(env, target, "/v1/prefill", document, timeout_ms)


async def order(
    env: environment.Environment,
    target: targets.Target,
    new_order: orders.Order,
    timeout_ms: float,
) -> ControlResult:
    """Sends an engine an order; the engine checks the fencing token."""
    document = dataclasses.asdict(new_order)
    return await _post(env, target, "/v1/orders", document, timeout_ms)


async def _post(
    env: environment.Environment,
    target: targets.Target,
    path: str,
    document: dict[str, object],
    timeout_ms: float,
) -> ControlResult:
    request = client.make_json_request("POST", path, document)
    response = await client.fetch(env, target.address, request, timeout_ms)
    if isinstance(response, client.Fault):
        return response
    return Done() if response.status == _OK else Refused(response.status)
