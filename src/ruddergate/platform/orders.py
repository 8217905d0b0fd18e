"""Orders to targets: memory that is set aside for a time."""

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
_OK = 200
# Statuses that say that a target will not do what was asked.
_REFUSALS = frozenset({400, 409, 412, 421})


def make_orders(
    env: environment.Environment,
    timeouts: client.Timeouts,
    on_hints: hint_types.OnHints,
) -> orders.Orders:
    """Returns the orders.

    Args:
        outside: Clock and streams.
        limits: After these times an order is given up.
        hear: Takes what targets say of themselves in their answers.
    """

    async def ask(
        target: targets.Target, request: message.OutgoingRequest
    ) -> client.CompleteResponse | client.Fault:
        sent_ms = env.now_ms()
        answer = await client.fetch_within(
            env, target.address, request, timeouts
        )
        if isinstance(answer, client.CompleteResponse):
            said = hints.read_hints(
                target,
                answer.status,
                answer.fields,
                answer.json(),
                sent_ms=sent_ms,
            )
            on_hints(said)
        return answer

    async def reserve(
        wanted: orders.Reservation, hold_ms: float
    ) -> orders.OrderResult:
        document = {
            "op": "reserve",
            "id": wanted.name,
            "token-count": wanted.tokens,
            "hold-ms": round(hold_ms),
        }
        return _read_answer(await ask(wanted.target, _make_order(document)))

    async def release(held: orders.Reservation) -> orders.OrderResult:
        document = {"op": "release", "id": held.name}
        return _read_answer(await ask(held.target, _make_order(document)))

    async def probe(target: targets.Target) -> orders.ProbeResult:
        request = client.make_json_request("GET", _REPORT_PATH)
        answer = await ask(target, request)
        if not isinstance(answer, client.Fault):
            return _read_sign(target, answer)
        if answer.timed_out:
            return orders.ProbeResult(orders.ProbeStatus.NO_RESPONSE)
        # A target with too many connections resets more of them.
        is_there = answer.sent
        return orders.ProbeResult(
            orders.ProbeStatus.ALIVE
            if is_there
            else orders.ProbeStatus.NOT_LISTENING
        )

    return orders.Orders(reserve, release, probe)


def _read_sign(
    target: targets.Target, answer: client.CompleteResponse
) -> orders.ProbeResult:
    document = answer.json()
    said = hints.read_hints(target, answer.status, answer.fields, document)
    return orders.ProbeResult(
        orders.ProbeStatus.ALIVE,
        target_entries.read_started_ms(document),
        hints.refutes_draining(said, answer.status),
    )


def _make_order(document: dict[str, object]) -> message.OutgoingRequest:
    return client.make_json_request("POST", _PATH, document)


def _read_answer(
    answer: client.CompleteResponse | client.Fault,
) -> orders.OrderResult:
    if isinstance(answer, client.Fault):
        if answer.sent:
            return orders.OrderResult.UNKNOWN
        if answer.timed_out:
            return orders.OrderResult.UNREACHABLE
        return orders.OrderResult.NOT_LISTENING
    if answer.status == _OK:
        return orders.OrderResult.DONE
    if answer.status in _REFUSALS:
        return orders.OrderResult.REFUSED
    return orders.OrderResult.UNKNOWN
