"""Admits relayed requests: route, API key, settings freshness, time limit."""

import dataclasses
import random

from ruddergate import outcomes
from ruddergate import payload as payloads
from ruddergate import request as requests
from ruddergate.decisions import gangs
from ruddergate.entry import context as contexts
from ruddergate.http import message
from ruddergate.relay import caller_protocol as caller_protocols
from ruddergate.settings import catalog as catalogs
from ruddergate.settings import effective
from ruddergate.settings import route as routes

_NO_SETTINGS_RETRY_MS = 500.0
# Another VM may have newer settings; this one gets a response from the store
# within a second or two.
_STALE_RETRY_MS = 300.0
# One rank of a workspace spans this many ranks of routes, so that routes only
# order requests whose workspaces have the same rank.
_RANK_STEP = 16
# Relayed requests are sent at once; this only bounds the queue while no target
# is available.
_MAX_QUEUE_COST_MS = 600_000.0
_OUTPUT_TOKENS_TYPICAL = 512
_ENGINE_POOL = "engine"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsAgeLimits:
    """Largest age of the settings for a decision, in milliseconds.

    Attributes:
        key_age_max_ms: To accept a key.
        not_found_age_max_ms: To refuse an unknown route or key permanently;
            older settings may lack one that was added since.
    """

    key_age_max_ms: float
    not_found_age_max_ms: float


def needs_key(
    incoming: message.IncomingRequest,
    caller_request: caller_protocols.CallerRequest,
    catalog: catalogs.Catalog,
) -> bool:
    """Returns whether a request is admitted only with a valid key."""
    route = catalog.find_route(caller_request.host, incoming.path)
    return route is not None and catalog.requires_keys and not route.is_open


def admit(
    incoming: message.IncomingRequest,
    caller_request: caller_protocols.CallerRequest,
    arrived_ms: float,
    context: contexts.EntryContext,
    age_limits: SettingsAgeLimits,
) -> requests.Request | outcomes.NotServed:
    """Returns the request with its effective settings, or a refusal.

    Args:
        incoming: The HTTP request as received.
        caller_request: The HTTP request as parsed.
        arrived_ms: When it arrived; its time limit starts then.
        context: Shared objects of the entry.
        age_limits: How old settings may be.
    """
    catalog = context.view.catalog
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
            "no route matches this request",
            context,
            age_limits,
        )
    workspace = catalogs.Workspace("", 0)
    if catalog.requires_keys and not route.is_open:
        key_age_ms = context.view.key_age_ms(context.env.now_ms())
        if key_age_ms > age_limits.key_age_max_ms:
            return _refuse_stale("whether the key is still valid")
        found = catalog.workspaces.get(caller_request.key)
        if found is None:
            return _refuse_unknown(
                outcomes.Reason.UNKNOWN_KEY, "unknown key", context, age_limits
            )
        workspace = found
    pool = _choose_pool(catalog, route, context.env.random)
    if pool is None:
        return outcomes.refuse(
            outcomes.Reason.NO_TARGET,
            f"route {route.name} names a pool that is not published",
            _NO_SETTINGS_RETRY_MS,
        )
    refusal = _check_size(caller_request, pool)
    if refusal is not None:
        return refusal
    return _make_request(
        incoming,
        caller_request,
        arrived_ms,
        route,
        workspace,
        pool,
        catalog.revision,
    )


def _check_size(
    caller_request: caller_protocols.CallerRequest, pool: effective.Pool
) -> outcomes.NotServed | None:
    """Returns a refusal if no engines of the pool can hold the request."""
    if pool.pool_kind != _ENGINE_POOL:
        return None
    held_tokens = (
        caller_request.prompt_tokens + caller_request.output_tokens_max
    )
    needed = gangs.count_engines(held_tokens, pool.memory_tokens)
    if needed <= pool.gang_engines_max:
        return None
    return outcomes.refuse(
        outcomes.Reason.PROMPT_TOO_LONG,
        f"prompt and output need the memory of {needed} engines of pool"
        f" {pool.name}, and one request may use {pool.gang_engines_max}",
    )


def _settings_age_ms(context: contexts.EntryContext) -> float:
    return context.view.settings_age_ms(context.env.now_ms())


def _refuse_unknown(
    reason: outcomes.Reason,
    detail: str,
    context: contexts.EntryContext,
    age_limits: SettingsAgeLimits,
) -> outcomes.NotServed:
    """Refuses permanently, or with a retry-after if the settings are old."""
    if _settings_age_ms(context) > age_limits.not_found_age_max_ms:
        return _refuse_stale(f"whether this still holds: {detail}")
    return outcomes.refuse(reason, detail)


def _refuse_stale(what: str) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.SETTINGS_TOO_OLD,
        f"the settings of this VM are too old to tell {what}",
        _STALE_RETRY_MS,
    )


def _choose_pool(
    catalog: catalogs.Catalog, route: routes.Route, rng: random.Random
) -> effective.Pool | None:
    weights = [share.weight for share in route.shares]
    chosen = rng.choices(route.shares, weights)[0]
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
            str(rank), rank, 0.0, _MAX_QUEUE_COST_MS
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
        shared_parts=caller_request.shared_parts,
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
