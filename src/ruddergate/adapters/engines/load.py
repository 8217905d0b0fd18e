"""Load reports, cache events and held memory, as engines publish them.

    GET /v1/load?after=N   load, and the cache events after the N-th
      ...&held=1           also the items held in memory
    x-engine-load          generation;running;waiting;held;draining;age_ms

Every response to a generation request carries the header, so that load reports
are piggybacked on regular traffic.
"""

from collections.abc import Mapping
import dataclasses

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.decisions import orders
from ruddergate.decisions import sweeping
from ruddergate.fleet import cache_event
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.http import client

HEADER = "x-engine-load"
_FIELDS = 6
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PollResult:
    """Response of an engine or plain service to a poll.

    Attributes:
        report: Its load.
        events: Changes of its prefix cache since the last poll.
        held: Streams, reservations and exports in its memory, if requested.
        loaded: The model, version, adapters and role that it has loaded.
    """

    report: load_report.LoadReport
    events: tuple[cache_event.CacheEvent, ...]
    held: tuple[sweeping.HeldItem, ...]
    loaded: orders.LoadedState


async def poll_target(
    env: environment.Environment,
    target: targets.Target,
    after_event: int,
    include_held: bool,
    timeout_ms: float,
) -> PollResult | client.Fault:
    """Polls an engine or a plain service for its load.

    Args:
        env: Clock and streams.
        target: The engine or service.
        after_event: Number of the last cache event received, or -1.
        include_held: Whether to request the items held in memory.
        timeout_ms: Longest wait for the response.
    """
    query = f"after={after_event}" + ("&held=1" if include_held else "")
    request = client.make_json_request("GET", f"/v1/load?{query}")
    response = await client.fetch(env, target.address, request, timeout_ms)
    if isinstance(response, client.Fault):
        return response
    document = response.json()
    if response.status != _OK or not isinstance(document, Mapping):
        return client.Fault(True, False, f"unexpected status {response.status}")
    return _parse_poll_result(target.target_id, document)


def _parse_poll_result(target_id: str, document: object) -> PollResult:
    generation = _private.get(document, "generation", str, "")
    report = load_report.LoadReport(
        target_id=target_id,
        generation=generation,
        running=_private.get(document, "running", int, 0),
        waiting_tokens=_private.get(document, "waiting_tokens", int, 0),
        held_tokens=_private.get(document, "held_tokens", int, 0),
        draining=_private.get(document, "draining", bool, False),
        age_ms=_private.get(document, "age_ms", float, 0.0),
    )
    events = _private.get(document, "events", list, [])
    held = _private.get(document, "held", list, [])
    return PollResult(
        report,
        tuple(_parse_event(target_id, row) for row in events),
        tuple(_parse_held(row) for row in held),
        _parse_loaded(generation, document),
    )


def _parse_event(target_id: str, row: object) -> cache_event.CacheEvent:
    return cache_event.CacheEvent(
        target_id,
        _private.get(row, "number", int, -1),
        _private.get(row, "prefix", str, ""),
        _private.get(row, "tokens", int, 0),
    )


def _parse_held(row: object) -> sweeping.HeldItem:
    return sweeping.HeldItem(
        _private.get(row, "id", str, ""),
        _private.get(row, "owner", str, ""),
        _private.get(row, "age_ms", float, 0.0),
        _private.get(row, "lapse_ms", float, float("inf")),
    )


def _parse_loaded(generation: str, document: object) -> orders.LoadedState:
    adapters = _private.get(document, "adapters", list, [])
    return orders.LoadedState(
        generation=generation,
        revision=_private.get(document, "order_revision", int, 0),
        model=_private.get(document, "model", str, ""),
        version=_private.get(document, "version", str, ""),
        adapters=tuple(sorted(str(name) for name in adapters)),
        role=_private.get(document, "role", str, ""),
        is_loading=_private.get(document, "loading", bool, False),
    )


def parse_header(
    target_id: str, headers: Mapping[str, str]
) -> load_report.LoadReport | None:
    """Returns the load report in a response's headers, or None.

    A malformed header counts as none.
    """
    fields = headers.get(HEADER, "").split(";")
    if len(fields) != _FIELDS or not all(x.isdigit() for x in fields[1:]):
        return None
    running, waiting, held, draining, age_ms = (int(x) for x in fields[1:])
    return load_report.LoadReport(
        target_id,
        fields[0],
        running,
        waiting,
        held,
        bool(draining),
        float(age_ms),
    )
