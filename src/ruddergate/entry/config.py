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
        vm_id: Name of this VM in the published list.
        hall: Data hall of this VM.
        listen: Where callers are served.
        peer_listen: Where other entries are served; None without peers.
        agent: Where this VM's agent feeds its entry; None without an agent.
        peer_key: Key shared by the system's own processes; empty without any.
        policy: Name of the routing policy.
        service_policy: Name of the routing policy for plain services.
        tries_all: Whether targets that look bad are used when all do.
        stop_lag_ms: Time for the balancer to see that the entry stops.
        wake_gap_ms: A gap in time that counts as having been paused.
        wake_refresh_ms: Longest wait for a fresh view after a pause.
        patience: How long to wait for engines.
        limits: What one caller may take up.
        bounds: Times that the promise of keys rests on.
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
    engine_timeouts: stream.Patience = stream.Patience()
    limits: server.Limits = server.Limits()
    bounds: ledger.Bounds = ledger.Bounds()
