"""Refuses requests that can't finish before a planned stop ends.

Other VMs may serve them, and targets would work in vain on a response that is
cut. While no stop has begun, nothing is refused.
"""

from collections.abc import Sequence

from ruddergate import outcomes
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import prefill_plan
from ruddergate.entry import planned_stop
from ruddergate.entry import scheduler_messages

_ENGINE_POOL = "engine"


def refuse_queued(
    request: scheduler_messages.PlacementRequest,
    wait_ms: float,
    stop: planned_stop.PlannedStop,
    now_ms: float,
) -> outcomes.NotServed | None:
    """Returns a refusal if a request can't finish on any targets.

    Args:
        request: The request.
        wait_ms: Predicted wait for others in its queue and at targets.
        stop: The planned stop.
        now_ms: Monotonic time.
    """
    if not stop.is_stopping or request.cost is None:
        return None
    prefill_ms = request.cost.prefill_ms / max(1, request.pool.gang_engines_max)
    return _refuse_if_cut(request, prefill_ms, stop, now_ms + wait_ms)


def refuse_placed(
    request: scheduler_messages.PlacementRequest,
    chosen: Sequence[estimates.Estimate],
    stop: planned_stop.PlannedStop,
    now_ms: float,
) -> outcomes.NotServed | None:
    """Returns a refusal if a request can't finish on the chosen targets.

    Args:
        request: The request.
        chosen: The estimates of the targets, which include the request.
        stop: The planned stop.
        now_ms: Monotonic time.
    """
    if not stop.is_stopping or request.cost is None:
        return None
    prefill_ms = max(
        (each.remaining_prefill_ms(now_ms) for each in chosen), default=0.0
    )
    return _refuse_if_cut(request, prefill_ms, stop, now_ms)


def _refuse_if_cut(
    request: scheduler_messages.PlacementRequest,
    prefill_ms: float,
    stop: planned_stop.PlannedStop,
    start_ms: float,
) -> outcomes.NotServed | None:
    # Plain services respond within the margin of the stop, and publish no
    # times.
    run_ms = 0.0
    if request.pool.pool_kind == _ENGINE_POOL:
        decode_ms = request.cost.decode_ms
        run_ms = prefill_ms + prefill_plan.FIRST_TOKEN_DELAY_MS + decode_ms
    late_ms = start_ms + run_ms - stop.answer_waiting_ms
    if late_ms <= 0.0:
        return None
    return outcomes.refuse(
        outcomes.Reason.STOPPING,
        f"the response would take about {run_ms:.0f} ms and end "
        f"{late_ms:.0f} ms too late, as this VM stops",
        # Other VMs serve it.
        0.0,
    )
