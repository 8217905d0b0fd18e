"""Applies this VM's shares of the fleet-wide limits of workspaces."""

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import meter as meters
from ruddergate.entry import view as views
from ruddergate.messages import entry_load
from ruddergate.settings import effective

_MIN_REPORTED_FRACTION = 1e-4
# A workspace that was refused recently would run about this many times more.
_REFUSED_DEMAND_FACTOR = 1.5


class Limits:
    """Meters of one entry; each request is counted at its start and end."""

    def __init__(self, env: environment.Environment, view: views.View) -> None:
        self._env = env
        self._view = view
        self._meters: dict[str, meters.Meter] = {}
        self._demand: dict[str, meters.Demand] = {}
        self._limits: dict[str, tuple[effective.Limit, ...]] = {}

    def start(self, request: requests.Request) -> outcomes.NotServed | None:
        """Counts a request as started, or returns the refusal of a limit."""
        workload = request.workload
        if not workload.limits:
            return None
        now_ms = self._env.now_ms()
        demand = self._demand.setdefault(workload.workspace, meters.Demand())
        demand.note_arrival(now_ms)
        self._limits[workload.workspace] = workload.limits
        fraction = self._view.fraction(workload.workspace, now_ms)
        for position, limit in enumerate(workload.limits):
            meter = self._find_meter(limit.scope, now_ms)
            refusal = meter.start(limit, fraction, now_ms)
            if refusal is not None:
                for counted in workload.limits[:position]:
                    self._meters[counted.scope].end()
                return refusal
        return None

    def end(self, request: requests.Request) -> None:
        """Counts a request as ended."""
        for limit in request.workload.limits:
            self._meters[limit.scope].end()

    def demand(self) -> tuple[entry_load.Demand, ...]:
        """Returns each workspace's demand as a fraction of its limits."""
        now_ms = self._env.now_ms()
        found = []
        for workspace, demand in sorted(self._demand.items()):
            fraction = self._predict_fraction(workspace, demand, now_ms)
            if fraction > _MIN_REPORTED_FRACTION:
                found.append(entry_load.Demand(workspace, fraction))
        return tuple(found)

    def _predict_fraction(
        self, workspace: str, demand: meters.Demand, now_ms: float
    ) -> float:
        highest = 0.0
        for limit in self._limits.get(workspace, ()):
            rate = demand.current_per_s(now_ms) / limit.requests_per_s_max
            meter = self._find_meter(limit.scope, now_ms)
            running = meter.running / limit.concurrency_max
            if now_ms - meter.last_refused_ms < meters.DEMAND_DECAY_MS:
                running *= _REFUSED_DEMAND_FACTOR
            highest = max(highest, rate, running)
        return highest

    def _find_meter(self, scope: str, now_ms: float) -> meters.Meter:
        meter = self._meters.get(scope)
        if meter is None:
            meter = self._meters[scope] = meters.Meter(now_ms)
        return meter
