"""One call of a plain service over HTTP."""

import dataclasses

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters import _private
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.http import message

_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A service's complete response, forwarded unchanged.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The body.
    """

    status: int
    content_type: str
    body: bytes


async def call(
    env: environment.Environment,
    target: targets.Target,
    request: requests.Request,
    timeout_ms: float,
) -> ServiceResponse | outcomes.NotServed:
    """Calls a service; an outcome with `not_run` guarantees it did not run."""
    headers = {
        "content-type": message.JSON_TYPE,
        "x-request-id": request.request_id,
    }
    if request.traceparent:
        headers["traceparent"] = request.traceparent
    if request.idempotency_key and request.workload.pool.checks_key:
        headers["idempotency-key"] = request.idempotency_key
    outgoing = message.OutgoingRequest(
        "POST", request.service_path, headers, request.prompt.encode()
    )
    response = await client.fetch(env, target.address, outgoing, timeout_ms)
    if isinstance(response, client.Fault):
        return _make_lost(response)
    if response.status >= _SERVER_ERROR:
        return _make_refused(response)
    content_type = response.headers.get("content-type", message.JSON_TYPE)
    return ServiceResponse(response.status, content_type, response.body)


def _make_lost(fault: client.Fault) -> outcomes.NotServed:
    ran = outcomes.Ran.UNKNOWN if fault.sent else outcomes.Ran.NOT_RUN
    return outcomes.NotServed(outcomes.Reason.TARGET_LOST, ran, fault.detail)


def _make_refused(response: client.CompleteResponse) -> outcomes.NotServed:
    started = _private.get(response.json(), "started", bool, True)
    ran = outcomes.Ran.UNKNOWN if started else outcomes.Ran.NOT_RUN
    return outcomes.NotServed(
        outcomes.Reason.TARGET_REFUSED,
        ran,
        f"the service responded with status {response.status}",
    )
