"""Orders to targets: memory that is set aside for a time."""

from ruddergate import environment
from ruddergate.fleet import target as targets
from ruddergate.http import client
from ruddergate.platform import targets as target_entries
from ruddergate.relay import orders

_PATH = "/api/order"
_REPORT_PATH = "/api/report"
_OK = 200
# Statuses that say that a target will not do what was asked.
_REFUSALS = frozenset({400, 409, 412, 421})


def make_orders(
    outside: environment.Environment, limits: client.TimeLimits
) -> orders.Orders:
    """Returns the orders; each is given up after these times."""

    async def reserve(
        wanted: orders.Reservation, hold_ms: float
    ) -> orders.Answer:
        document = {
            "op": "reserve",
            "id": wanted.name,
            "token-count": wanted.tokens,
            "hold-ms": round(hold_ms),
        }
        return await _order(outside, wanted, document, limits)

    async def release(held: orders.Reservation) -> orders.Answer:
        document = {"op": "release", "id": held.name}
        return await _order(outside, held, document, limits)

    async def ask_sign(target: targets.Target) -> orders.Told:
        request = client.make_json_request("GET", _REPORT_PATH)
        answer = await client.fetch_within(
            outside, target.address, request, limits
        )
        if not isinstance(answer, client.Fault):
            born_ms = target_entries.read_born_ms(answer.json())
            return orders.Told(orders.Sign.ALIVE, born_ms)
        if answer.timed_out:
            return orders.Told(orders.Sign.SILENT)
        # A target with too many connections resets more of them.
        is_there = answer.sent
        return orders.Told(orders.Sign.ALIVE if is_there else orders.Sign.GONE)

    return orders.Orders(reserve, release, ask_sign)


async def _order(
    outside: environment.Environment,
    reservation: orders.Reservation,
    document: dict[str, object],
    limits: client.TimeLimits,
) -> orders.Answer:
    request = client.make_json_request("POST", _PATH, document)
    answer = await client.fetch_within(
        outside, reservation.target.address, request, limits
    )
    if isinstance(answer, client.Fault):
        if answer.sent:
            return orders.Answer.UNKNOWN
        if answer.timed_out:
            return orders.Answer.UNREACHABLE
        return orders.Answer.GONE
    if answer.status == _OK:
        return orders.Answer.DONE
    if answer.status in _REFUSALS:
        return orders.Answer.REFUSED
    return orders.Answer.UNKNOWN
