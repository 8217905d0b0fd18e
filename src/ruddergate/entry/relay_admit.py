"""From an inquiry to a request: route, key, freshness, limits of time."""

import dataclasses
import random

from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate import request as requests
from ruddergate.entry import tools as tool_types
from ruddergate.http import message
from ruddergate.relay import caller_protocol as caller_protocols
from ruddergate.settings import catalog as catalogs
from ruddergate.settings import effective
from ruddergate.settings import route as routes

_NO_SETTINGS_RETRY_MS = 500.0
# Another VM may know more; a fresh store answer comes within a second or two.
_STALE_RETRY_MS = 300.0
# Ranks of routes lie within one step of rank of workspaces.
_RANK_STEP = 16
# Calls of relayed routes are sent on at once; this bounds only what waits
# while no target can be used.
_QUEUE_COST_MS_MAX = 600_000.0
_OUTPUT_TOKENS_TYPICAL = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Trust:
    """How old settings may be, in milliseconds.

    Attributes:
        key_age_max_ms: For a key to be used.
        certain_age_max_ms: For an unknown route or key to be unknown for
            certain; by older ones it may be new.
    """

    key_age_max_ms: float
    certain_age_max_ms: float


def admit(
    incoming: message.IncomingRequest,
    caller_request: caller_protocols.CallerRequest,
    arrived_ms: float,
    tools: tool_types.Tools,
    trust: Trust,
) -> requests.Request | outcomes.NotServed:
    """Returns the request with its effective settings, or why not.

    Args:
        incoming: The call as received.
        inquiry: The call as understood.
        arrived_ms: When it came; its time runs from then.
        tools: What the stages share.
        trust: How old settings may be.
    """
    catalog = tools.view.catalog
    if catalog.revision == 0:
        return outcomes.refuse(
            outcomes.Reason.NO_SETTINGS,
            "this VM has no settings yet",
            _NO_SETTINGS_RETRY_MS,
        )
    route = catalog.find_route(caller_request.host, incoming.path)
    if route is None:
        return _refuse_unknown(
            outcomes.Reason.UNKNOWN_WORKLOAD,
            "no route covers this call",
            tools,
            trust,
        )
    workspace = catalogs.Workspace("", 0)
    if catalog.workspaces and not route.is_open:
        if _settings_age_ms(tools) > trust.key_age_max_ms:
            return _refuse_stale("whether the key is still good")
        found = catalog.workspaces.get(caller_request.key)
        if found is None:
            return _refuse_unknown(
                outcomes.Reason.UNKNOWN_KEY, "unknown key", tools, trust
            )
        workspace = found
    pool = _choose_pool(catalog, route, tools.outside.random)
    if pool is None:
        return outcomes.refuse(
            outcomes.Reason.NO_TARGET,
            f"route {route.name} names a pool that is not published",
            _NO_SETTINGS_RETRY_MS,
        )
    return _make_request(
        incoming,
        caller_request,
        arrived_ms,
        route,
        workspace,
        pool,
        catalog.revision,
    )


def _settings_age_ms(tools: tool_types.Tools) -> float:
    return tools.view.settings_age_ms(tools.outside.now_ms())


def _refuse_unknown(
    reason: outcomes.Reason,
    detail: str,
    tools: tool_types.Tools,
    trust: Trust,
) -> outcomes.NotServed:
    """Says for good that something is unknown, or that it may be new."""
    if _settings_age_ms(tools) > trust.certain_age_max_ms:
        return _refuse_stale(f"more than this: {detail}")
    return outcomes.refuse(reason, detail)


def _refuse_stale(what: str) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.SETTINGS_TOO_OLD,
        f"this VM has not heard of the settings for long and can't tell {what}",
        _STALE_RETRY_MS,
    )


def _choose_pool(
    catalog: catalogs.Catalog, route: routes.Route, chance: random.Random
) -> effective.Pool | None:
    weights = [share.weight for share in route.shares]
    chosen = chance.choices(route.shares, weights)[0]
    return catalog.find_pool(chosen.pool)


def _make_request(
    incoming: message.IncomingRequest,
    caller_request: caller_protocols.CallerRequest,
    arrived_ms: float,
    route: routes.Route,
    workspace: catalogs.Workspace,
    pool: effective.Pool,
    revision: int,
) -> requests.Request:
    time_limit_ms = route.time_limit_ms
    if caller_request.time_limit_ms is not None:
        time_limit_ms = min(time_limit_ms, caller_request.time_limit_ms)
    rank = workspace.rank * _RANK_STEP + route.rank
    workload = effective.Workload(
        name=route.name,
        workspace=workspace.name,
        revision=revision,
        priority=effective.PriorityClass(
            str(rank), rank, 0.0, _QUEUE_COST_MS_MAX
        ),
        pool=pool,
        time_limit_ms=route.time_limit_ms,
        repeatable=route.repeatable,
        prompt_tokens_max=caller_request.prompt_tokens,
        output_tokens_max=caller_request.output_tokens_max,
        output_tokens_typical=_OUTPUT_TOKENS_TYPICAL,
        weight=1.0,
        limits=(),
    )
    payload = payloads.Payload(
        route=route,
        method=incoming.method,
        host=caller_request.host,
        target=incoming.target,
        fields=caller_request.fields,
        body=incoming.body,
        last_event_id=caller_request.last_event_id,
    )
    return requests.Request(
        request_id=caller_request.request_id,
        workload=workload,
        prompt="",
        prompt_tokens=caller_request.prompt_tokens,
        output_tokens_max=caller_request.output_tokens_max,
        output_tokens_expected=caller_request.output_tokens_max,
        prefix=None,
        repeatable=route.repeatable,
        idempotency_key="",
        key_age_ms=0.0,
        ticket="",
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + time_limit_ms,
        service_path="",
        traceparent="",
        payload=payload,
    )
