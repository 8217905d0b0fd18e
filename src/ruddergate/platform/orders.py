"""Sends orders to targets: memory reservations and health probes."""

from ruddergate import environment
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.http import message
from ruddergate.platform import hints
from ruddergate.platform import targets as target_entries
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders

_PATH = "/api/order"
_REPORT_PATH = "/api/report"
# A report lists up to 64 reservations and the models of its target.
MAX_RESPONSE_BYTES = 1 << 20
_OK = 200
# Statuses with which a target rejects an order.
_REFUSALS = frozenset({400, 409, 412, 421})


def make_orders(
    env: environment.Environment,
    timeouts: client.Timeouts,
    on_hints: hint_types.OnHints,
) -> orders.Orders:
    """Returns the orders that targets accept.

    Args:
        env: Clock and streams.
        timeouts: Timeouts of an order.
        on_hints: Handles the hints in the responses of targets.
    """

    async def fetch(
        target: targets.Target, request: message.OutgoingRequest
    ) -> client.CompleteResponse | client.Fault:
        sent_ms = env.now_ms()
        response = await client.fetch_within(
            env, target.address, request, timeouts, MAX_RESPONSE_BYTES
        )
        if isinstance(response, client.CompleteResponse):
            response_hints = hints.read_hints(
                target,
                response.status,
                response.fields,
                response.json(),
                sent_ms=sent_ms,
            )
            on_hints(response_hints)
        return response

    async def reserve(
        reservation: orders.Reservation, hold_ms: float
    ) -> orders.OrderResult:
        document = {
            "op": "reserve",
            "id": reservation.name,
            "token-count": reservation.tokens,
            "hold-ms": round(hold_ms),
        }
        return _read_result(
            await fetch(reservation.target, _make_order(document))
        )

    async def release(reservation: orders.Reservation) -> orders.OrderResult:
        document = {"op": "release", "id": reservation.name}
        return _read_result(
            await fetch(reservation.target, _make_order(document))
        )

    async def probe(target: targets.Target) -> orders.ProbeResult:
        request = client.make_json_request("GET", _REPORT_PATH)
        response = await fetch(target, request)
        if not isinstance(response, client.Fault):
            return _read_probe(target, response)
        if response.timed_out:
            return orders.ProbeResult(
                orders.ProbeStatus.NO_RESPONSE, has_connected=response.sent
            )
        # A target with too many connections resets new ones after accepting
        # them, so a request that was sent shows that it is listening.
        is_listening = response.sent
        return orders.ProbeResult(
            orders.ProbeStatus.ALIVE
            if is_listening
            else orders.ProbeStatus.NOT_LISTENING
        )

    return orders.Orders(reserve, release, probe)


def _read_probe(
    target: targets.Target, response: client.CompleteResponse
) -> orders.ProbeResult:
    document = response.json()
    response_hints = hints.read_hints(
        target, response.status, response.fields, document
    )
    return orders.ProbeResult(
        orders.ProbeStatus.ALIVE,
        target_entries.read_started_ms(document),
        hints.refutes_draining(response_hints, response.status),
    )


def _make_order(document: dict[str, object]) -> message.OutgoingRequest:
    return client.make_json_request("POST", _PATH, document)


def _read_result(
    response: client.CompleteResponse | client.Fault,
) -> orders.OrderResult:
    if isinstance(response, client.Fault):
        if response.sent:
            return orders.OrderResult.UNKNOWN
        if response.timed_out:
            return orders.OrderResult.UNREACHABLE
        return orders.OrderResult.NOT_LISTENING
    if response.status == _OK:
        return orders.OrderResult.DONE
    if response.status in _REFUSALS:
        return orders.OrderResult.REFUSED
    return orders.OrderResult.UNKNOWN
