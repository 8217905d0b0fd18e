"""Settings of one entry process."""

import dataclasses

from ruddergate import environment
from ruddergate.adapters.engines import stream
from ruddergate.decisions import ledger
from ruddergate.decisions.routing import by_name
from ruddergate.http import server


@dataclasses.dataclass(frozen=True, slots=True)
class EntryConfig:
    """Settings of an entry.

    Attributes:
        vm_id: Id of this VM in the published list.
        hall: Data hall of this VM.
        listen: Where callers are served.
        peer_listen: Where other entries are served; None without peers.
        agent: Where this VM's agent serves the feed of its entry; None without
            an agent.
        peer_key: Key shared by the system's own processes; empty without any.
        policy: Name of the routing policy.
        service_policy: Name of the routing policy for plain services.
        panic_routing: Whether unhealthy targets are used when all are.
        stop_lag_ms: Time for the load balancer to notice that the entry stops.
        suspend_gap_ms: Time between two scheduler turns from which the process
            counts as having been suspended.
        suspend_refresh_max_ms: Longest wait for a fresh view after that.
        engine_timeouts: How long to wait for engines.
        limits: Limits of caller connections and requests.
        bounds: Times that the at-most-once guarantee of keys depends on.
    """

    vm_id: str
    hall: str
    listen: environment.Address
    peer_listen: environment.Address | None = None
    agent: environment.Address | None = None
    peer_key: bytes = b""
    policy: str = by_name.DEFAULT
    service_policy: str = "least_requests"
    panic_routing: bool = False
    stop_lag_ms: float = 5_000.0
    suspend_gap_ms: float = 2_000.0
    suspend_refresh_max_ms: float = 3_000.0
    engine_timeouts: stream.EngineTimeouts = stream.EngineTimeouts()
    limits: server.Limits = server.Limits()
    bounds: ledger.Bounds = ledger.Bounds()
