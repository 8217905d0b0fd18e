"""Command line of `ruddergate-entry`."""

from typing import Annotated
from typing import Literal

from ruddergate import environment
from ruddergate.adapters.engines import stream
from ruddergate.cli import _private
from ruddergate.decisions.routing import by_name
from ruddergate.entry import config as configs
from ruddergate.entry import program
from ruddergate.http import server
from ruddergate.telemetry import logs
from ruddergate.telemetry import traces

APP = _private.make_app(
    "ruddergate-entry", "Serves callers: admits, queues, routes and streams."
)
PolicyName = Literal[tuple(sorted(by_name.FACTORIES))]


@APP.default
def serve(
    *,
    vm_id: str,
    hall: str,
    listen: _private.AddressText,
    peer_listen: _private.AddressText,
    agent: _private.AddressText,
    peer_key: _private.KeyText,
    policy: PolicyName = by_name.DEFAULT,
    stop_lag_ms: Annotated[float, _private.number(0, 600_000)] = 5_000.0,
    engine_silence_ms: Annotated[
        float, _private.number(100, 600_000)
    ] = 4_000.0,
    engine_connect_ms: Annotated[float, _private.number(10, 60_000)] = 1_000.0,
    header_bytes_max: Annotated[int, _private.number(256, 1_000_000)] = 16_384,
    body_bytes_max: Annotated[int, _private.number(1, 64_000_000)] = 8_000_000,
    read_timeout_ms: Annotated[float, _private.number(10, 600_000)] = 15_000.0,
    connections_max: Annotated[int, _private.number(1, 100_000)] = 4_096,
    log_level: _private.LogLevel = "INFO",
    log_format: _private.LogFormat = "text",
    traces_to: _private.TraceExporter = "off",
) -> None:
    """Serves callers: admits, queues, routes and streams.

    Args:
        vm_id: ID of this VM in the platform's list.
        hall: Data hall of this VM.
        listen: Address for callers (HOST:PORT).
        peer_listen: Address for other entries (HOST:PORT).
        agent: Address of the feed of this VM's agent (HOST:PORT).
        peer_key: Key shared by the system's processes (16 characters or more).
        policy: Routing policy.
        stop_lag_ms: Time for the load balancer to notice a planned stop (ms).
        engine_silence_ms: Time without data after which an engine counts as
            lost (ms).
        engine_connect_ms: Longest wait for a connection to an engine (ms).
        header_bytes_max: Maximum size of the request line and headers (bytes).
        body_bytes_max: Maximum size of a request body (bytes).
        read_timeout_ms: Longest time for a whole request to arrive (ms).
        connections_max: Maximum number of open connections.
        log_level: Lowest level that is logged.
        log_format: Format of the logs.
        traces_to: Exporter of trace spans.
    """
    logs.configure(log_level, log_format == "json")
    config = configs.EntryConfig(
        vm_id=vm_id,
        hall=hall,
        listen=environment.parse_address(listen),
        peer_listen=environment.parse_address(peer_listen),
        agent=environment.parse_address(agent),
        peer_key=peer_key.encode(),
        policy=policy,
        stop_lag_ms=stop_lag_ms,
        engine_timeouts=stream.EngineTimeouts(
            engine_connect_ms, engine_silence_ms
        ),
        limits=server.Limits(
            header_bytes_max=header_bytes_max,
            body_bytes_max=body_bytes_max,
            read_timeout_ms=read_timeout_ms,
            connections_max=connections_max,
        ),
    )
    tracer = traces.make_tracer(traces_to, "ruddergate-entry", vm_id)
    env = environment.make_system_environment()
    entry = program.Entry(env, config, tracer)
    _private.run_program(entry.run)


def run() -> None:
    """Runs the command line."""
    _private.run_app(APP)
