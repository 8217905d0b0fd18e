"""The agent's status and metrics pages for operators."""

from ruddergate.agent import agent_state
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.telemetry import metrics as metric_types


def make_status_handler(
    state: agent_state.AgentState, metrics: metric_types.AgentMetrics
) -> server.Handler:
    """Returns a handler of `/metrics` and `/status`."""

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        match incoming.path:
            case "/metrics":
                return metric_types.render(metrics.registry)
            case "/status":
                return _make_status(state)
        return message.make_json_response(404, {"detail": "page not found"})

    return handle


def _make_status(state: agent_state.AgentState) -> message.Response:
    in_force = state.in_force
    listing_age_ms = state.listing_age_ms()
    document = {
        "incarnation": state.incarnation,
        "revision": in_force.manifest.revision,
        "refused_revision": in_force.refused_revision,
        "problems": [str(each) for each in in_force.problems],
        "listing_version": state.listing.version,
        "listing_age_ms": round(min(listing_age_ms, 1e12)),
        "service_age_ms": round(min(state.service_age_ms(), 1e12)),
        "live_in_hall": state.live_in_hall(),
        "answered": sorted(state.answered_peers),
    }
    return message.make_json_response(200, document)
