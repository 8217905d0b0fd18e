"""Command line of `ruddergate-gateway`."""

import asyncio
import math
import signal
import sys
from typing import Annotated
from typing import Literal
from typing import TypeAlias

from ruddergate import environment
from ruddergate import stop_signal
from ruddergate.cli import _private
from ruddergate.entry import config as configs
from ruddergate.entry import gateway as gateways
from ruddergate.entry import peer_gossip
from ruddergate.entry import poll_config
from ruddergate.http import body_memory
from ruddergate.http import client
from ruddergate.http import connections
from ruddergate.http import server
from ruddergate.platform import callers
from ruddergate.platform import orders
from ruddergate.platform import store
from ruddergate.platform import upstream
from ruddergate.telemetry import logs
from ruddergate.telemetry import traces

APP = _private.make_app(
    "ruddergate-gateway",
    "Gateway fed by the platform's store: admits, queues, routes, retries.",
)
# Margin subtracted from the time within which a removed key must be refused:
# the store's watches may be a second late, and responses take time.
_KEY_MARGIN_MS = 1_200.0
# Once the settings are older than this fraction of that time, this VM reports
# that it is not ready, so that callers go to other VMs before requests with a
# key must be refused here.
_READY_FRACTION = 0.5
# Targets answer orders and accept connections within a few milliseconds;
# reservations are renewed every 800 ms.
_ORDER_TIMEOUTS = client.Timeouts(200.0, 500.0, 500.0)
# Fraction of the permitted retry ratio that is used. First attempts are counted
# here when they start, and by the fleet's operators in windows that may differ.
_RETRY_FRACTION = 0.75
# Calls to the store are billed, so the poll interval is as long as the bound on
# applying a change allows: this fraction of it. The rest is for the call itself
# and for a request in flight.
_POLL_FRACTION = 0.65
# The poll interval is also at most this fraction of the age at which this VM is
# no longer ready, so that one slow call does not make it unready.
_READY_POLL_FRACTION = 0.8
# A reachable store accepts a connection within a few milliseconds. Packets to
# an unreachable one are retransmitted after a second, when a new attempt has
# long started.
_STORE_CONNECT_MS = 500.0
# Longest time for a whole response while data keeps arriving: a megabyte takes
# 8 s over a link of 1 Mbit/s.
_STORE_TOTAL_MS = 15_000.0
# The load balancer removes a VM after two readiness checks, a second apart.
_STOP_LAG_MS = 2_600.0
# A planned stop ends this long before its time limit, even if requests are
# still open.
_STOP_MARGIN_MS = 400.0
_BYTES_PER_MB = 1_000_000
StrictRevoke: TypeAlias = Literal["true", "false"]


@APP.default
def serve(
    *,
    vm_id: str,
    hall: str,
    listen: _private.AddressText,
    ready_listen: _private.AddressText,
    metrics_listen: _private.AddressText,
    peer_listen: _private.AddressText,
    seeds: str = "",
    store_address: _private.AddressText,
    revoke_ms: Annotated[float, _private.number(1, 600_000)] = 5_000.0,
    strict_revoke: StrictRevoke = "true",
    grace_s: Annotated[float, _private.number(0.1, 600)] = 8.0,
    retry_ratio: Annotated[float, _private.number(0, 1)] = 0.2,
    retry_slack: Annotated[float, _private.number(0, 100_000)] = 50.0,
    apply_ms: Annotated[float, _private.number(10, 600_000)] = 2_000.0,
    leave_ms: Annotated[float, _private.number(10, 600_000)] = 2_000.0,
    link_mbps: Annotated[float, _private.number(0, 1_000_000)] = 0.0,
    memory_mb: Annotated[float, _private.number(1, 1_000_000)] = 256.0,
    request_bodies_mb: Annotated[float, _private.number(0, 1_000_000)] = 0.0,
    connections_mb: Annotated[float, _private.number(0, 1_000_000)] = 0.0,
    store_timeout_ms: Annotated[float, _private.number(10, 60_000)] = 1_500.0,
    body_bytes_max: Annotated[int, _private.number(1, 64_000_000)] = 8_000_000,
    connections_max: Annotated[int, _private.number(1, 100_000)] = 3_000,
    log_level: _private.LogLevel = "INFO",
    log_format: _private.LogFormat = "json",
    traces_to: _private.TraceExporter = "off",
) -> None:
    """Serves callers according to the platform's store.

    Args:
        vm_id: ID of this VM.
        hall: Data hall of this VM.
        listen: Address for callers (HOST:PORT).
        ready_listen: Address of the load balancer's readiness check
            (HOST:PORT).
        metrics_listen: Address of the metrics page (HOST:PORT).
        peer_listen: Address for datagrams and carried connections of peers
            (HOST:PORT).
        seeds: Addresses of some VMs, as HOST:PORT separated by commas; only the
            hosts are used, with this VM's port for datagrams of peers.
        store_address: Address of the store (HOST:PORT).
        revoke_ms: Time within which a removed key must be refused (ms).
        strict_revoke: Whether a removed key is refused within that time even by
            a VM that can't learn of its removal. Such a VM then refuses all
            keys; otherwise it continues with its last settings.
        grace_s: Time limit of a planned stop (s).
        retry_ratio: Retries that the fleet may make per first attempt.
        retry_slack: Retries that the fleet may make in addition per window.
        apply_ms: Time within which new settings must be in force (ms).
        leave_ms: Time within which a draining target gets no new work (ms).
        link_mbps: Bandwidth of this VM's link (Mbit/s); VMs with fast links
            relay digests.
        memory_mb: Memory of this VM (MB); a part of it bounds the bodies of
            responses that are being read.
        request_bodies_mb: Bound on the bodies of all requests (MB); 0 for a
            fifth of `memory_mb`.
        connections_mb: Bound on what callers' connections hold beside these
            bodies (MB); 0 for 15 % of `memory_mb`.
        store_timeout_ms: Longest pause in a response of the store (ms).
        body_bytes_max: Maximum size of a request body (bytes).
        connections_max: Maximum number of open connections of callers.
        log_level: Lowest level that is logged.
        log_format: Format of the logs.
        traces_to: Exporter of trace spans.
    """
    logs.configure(log_level, log_format == "json", sys.stdout)
    env = environment.make_system_environment()
    config = configs.EntryConfig(
        vm_id=vm_id,
        hall=hall,
        listen=environment.parse_address(listen),
        policy="by_region",
        service_policy="least_recent",
        panic_routing=True,
        limits=server.Limits(
            body_bytes_max=body_bytes_max, connections_max=connections_max
        ),
    )
    is_lenient = strict_revoke == "false"
    key_age_max_ms = revoke_ms - _KEY_MARGIN_MS
    ready_age_max_ms = math.inf if is_lenient else revoke_ms * _READY_FRACTION
    bodies_mb = request_bodies_mb or (
        memory_mb * body_memory.REQUEST_MEMORY_FRACTION
    )
    held_mb = connections_mb or memory_mb * connections.MEMORY_FRACTION
    gateway_config = gateways.GatewayConfig(
        ready_listen=environment.parse_address(ready_listen),
        metrics_listen=environment.parse_address(metrics_listen),
        settings_age_max_ms=math.inf if is_lenient else key_age_max_ms,
        ready_age_max_ms=ready_age_max_ms,
        not_found_age_max_ms=key_age_max_ms,
        stop_lag_ms=_STOP_LAG_MS,
        stop_limit_ms=grace_s * 1_000.0 - _STOP_MARGIN_MS,
        polling=make_poll_config(min(apply_ms, leave_ms), ready_age_max_ms),
        retry_ratio=retry_ratio * _RETRY_FRACTION,
        retry_slack=retry_slack,
        peers=peer_gossip.PeerConfig(
            environment.parse_address(peer_listen),
            _parse_seeds(seeds, environment.parse_address(peer_listen).port),
            round(link_mbps),
        ),
        request_bodies_bytes=bodies_mb * _BYTES_PER_MB,
        connections_bytes=held_mb * _BYTES_PER_MB,
    )
    response_memory = body_memory.BodyMemory(
        round(memory_mb * _BYTES_PER_MB * body_memory.MEMORY_FRACTION)
    )
    platform = gateways.Platform(
        caller_protocol=callers.make_caller_protocol(),
        make_send=lambda target_env, on_hints: upstream.make_send(
            target_env, on_hints, response_memory
        ),
        make_orders=lambda target_env, on_hints: orders.make_orders(
            target_env, _ORDER_TIMEOUTS, on_hints
        ),
        source=store.make_source(
            env,
            environment.parse_address(store_address),
            client.Timeouts(
                _STORE_CONNECT_MS, store_timeout_ms, _STORE_TOTAL_MS
            ),
        ),
    )
    tracer = traces.make_tracer(traces_to, "ruddergate-gateway", vm_id)
    gateway = gateways.Gateway(env, config, gateway_config, platform, tracer)

    async def run_gateway(stop: stop_signal.StopSignal) -> None:
        _handle_reloads()
        await gateway.run(stop)

    _private.run_program(run_gateway)


def make_poll_config(
    bound_ms: float, ready_age_max_ms: float
) -> poll_config.PollConfig:
    """Returns how often the store is polled.

    Args:
        bound_ms: Time within which a published change must be in force.
        ready_age_max_ms: Maximum age of settings with which this VM is ready.
    """
    interval_ms = min(
        bound_ms * _POLL_FRACTION, ready_age_max_ms * _READY_POLL_FRACTION
    )
    two_rounds_ms = 2.0 * interval_ms
    return poll_config.PollConfig(
        interval_ms=interval_ms,
        full_read_age_ms=max(poll_config.MIN_FULL_READ_AGE_MS, two_rounds_ms),
        outage_ms=max(poll_config.MIN_FULL_READ_AGE_MS, two_rounds_ms),
    )


def _parse_seeds(text: str, port: int) -> tuple[environment.Address, ...]:
    """Returns the addresses at which the seeds receive datagrams."""
    found = filter(None, (each.strip() for each in text.split(",")))
    hosts = [environment.parse_address(each).host for each in found]
    return tuple(environment.Address(host, port) for host in hosts)


def _handle_reloads() -> None:
    """Handles SIGHUP by logging that it has no effect.

    Parameters are only read at the start.
    """
    log = logs.make_logger("entry")
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: log.info(
            "SIGHUP ignored: parameters are only read at the start."
        ),
    )


def run() -> None:
    """Runs the command line."""
    _private.run_app(APP)


if __name__ == "__main__":
    run()
