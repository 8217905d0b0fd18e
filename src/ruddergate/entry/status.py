"""Status, metrics and health pages for operators and the load balancer."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import math
import types

from ruddergate.entry import context as contexts
from ruddergate.entry import feed as feeds
from ruddergate.http import message
from ruddergate.telemetry import metrics

# Larger ages mean that nothing was ever received.
_MAX_KNOWN_AGE_MS = 1e12

Handle = Callable[[message.IncomingRequest], Awaitable[message.Response]]


def make_status_handler(
    handle_call: Handle,
    feed: feeds.Feed,
    context: contexts.EntryContext,
) -> Handle:
    """Returns a handler that serves the pages and passes on all other paths."""

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        match incoming.path:
            case "/healthz":
                return message.make_json_response(200, {"ok": True})
            case "/readyz":
                return _make_ready(feed, context)
            case "/metrics":
                set_gauges(context)
                return metrics.render(context.metrics.registry)
            case "/status":
                return _make_status(feed, context)
        return await handle_call(incoming)

    return handle


def _make_ready(
    feed: feeds.Feed, context: contexts.EntryContext
) -> message.Response:
    has_settings = context.view.in_force.manifest.revision > 0
    ready = has_settings and not feed.is_stopping
    return message.make_json_response(200 if ready else 503, {"ready": ready})


def set_gauges(context: contexts.EntryContext) -> None:
    """Updates the gauges before they are read."""
    now_ms = context.env.now_ms()
    age_ms = context.view.age_ms(now_ms)
    context.metrics.view_age_ms.set({}, min(age_ms, 1e12))
    view = context.view
    revision = max(view.in_force.manifest.revision, view.catalog.revision)
    context.metrics.revision.set({}, revision)
    context.metrics.store_epoch.set({}, view.store_position.epoch)
    context.metrics.store_revision.set({}, view.store_position.revision)
    settings_age_ms = view.settings_age_ms(now_ms)
    context.metrics.settings_age_ms.set({}, min(settings_age_ms, 1e12))
    context.metrics.retries_left.set({}, context.budget.tokens)
    for name, cost_ms in context.scheduler.waiting_by_class().items():
        context.metrics.waiting_cost_ms.set({"class": name}, cost_ms)


def _make_status(
    feed: feeds.Feed, context: contexts.EntryContext
) -> message.Response:
    return make_status(context, feed.is_connected, feed.is_stopping)


def make_status(
    context: contexts.EntryContext,
    agent_connected: bool,
    stopping: bool,
    details: Mapping[str, object] = types.MappingProxyType({}),
) -> message.Response:
    """Returns the state that this VM uses, and how old it is.

    Args:
        context: Shared objects of the entry.
        agent_connected: Whether the entry is connected to its agent.
        stopping: Whether a planned stop has begun.
        details: Further fields.
    """
    now_ms = context.env.now_ms()
    view = context.view
    age_ms = view.age_ms(now_ms)
    targets = [
        {
            "id": each.target.target_id,
            "pool": each.pool.name,
            "hall": each.target.hall,
            "usable": context.scheduler.is_usable(each),
            "waiting_tokens": round(each.waiting_tokens(now_ms)),
            "held_tokens": each.held_tokens(now_ms),
            "streams": each.streams(now_ms),
            **_describe_rate_limit(context, each.target.target_id, now_ms),
        }
        for each in context.scheduler.list_estimates()
    ]
    document = {
        "vm": context.config.vm_id,
        "hall": context.config.hall,
        "incarnation": context.incarnation,
        "policy": context.config.policy,
        "agent_connected": agent_connected,
        "stopping": stopping,
        "revision": max(view.in_force.manifest.revision, view.catalog.revision),
        "store_epoch": view.store_position.epoch,
        "store_revision": view.store_position.revision,
        "settings_age_ms": _round_age(view.settings_age_ms(now_ms)),
        "retries_left": round(context.budget.tokens, 2),
        "quarantined": context.quarantine.list_quarantined(),
        "refused_revision": view.in_force.refused_revision,
        "problems": [str(each) for each in view.in_force.problems],
        "listing_version": view.listing.version,
        "view_age_ms": _round_age(age_ms),
        "peers": list(view.list_vm_ids()),
        "waiting_cost_ms": context.scheduler.waiting_by_class(),
        **details,
        "targets": targets,
    }
    return message.make_json_response(200, document)


def _describe_rate_limit(
    context: contexts.EntryContext, target_id: str, now_ms: float
) -> dict[str, float | None]:
    """Returns a target's rate limit and this VM's share; None for no limit."""
    limit, share = context.scheduler.find_rate_limit(target_id, now_ms)
    if math.isinf(limit):
        return {"rate_limit_per_s": None, "rate_limit_share_per_s": None}
    return {
        "rate_limit_per_s": limit,
        "rate_limit_share_per_s": round(share, 3),
    }


def _round_age(age_ms: float) -> int | None:
    """Returns an age in whole milliseconds, or None if nothing was received."""
    return round(age_ms) if age_ms < _MAX_KNOWN_AGE_MS else None
