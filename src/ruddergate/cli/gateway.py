"""Command line of `ruddergate-gateway`."""

import asyncio
import math
import signal
import sys
from typing import Annotated
from typing import Literal
from typing import TypeAlias

from ruddergate import environment
from ruddergate.cli import _private
from ruddergate.entry import config as configs
from ruddergate.entry import gateway as gateways
from ruddergate.entry import peer_gossip
from ruddergate.entry import poll_config
from ruddergate.http import client
from ruddergate.http import server
from ruddergate.platform import callers
from ruddergate.platform import orders
from ruddergate.platform import store
from ruddergate.platform import upstream
from ruddergate.telemetry import logs
from ruddergate.telemetry import traces

APP = _private.make_app(
    "ruddergate-gateway",
    "Serves callers by the platform's store: admits, queues, routes, retries.",
)
# Of the time within which a removed key must be refused, this is kept back:
# the store's watches may be a second late, and answers take time.
_KEY_MARGIN_MS = 1_200.0
# From this part of that time on, a call with a key earns nothing here, so that
# callers had better go to another VM.
_READY_PART = 0.5
# Answers to orders come in a few milliseconds, and connections are as soon up;
# renewals come every 800 ms.
_ORDER_LIMITS = client.Timeouts(150.0, 500.0, 500.0)
# Of the second sends for each first one; first sends are counted here as they
# begin, and by the fleet's operators in windows that need not match.
_RETRY_PART = 0.75
# Calls of the store are paid for, so they are as far apart as what they tell
# must be known; the rest is for the call itself and a request on its way.
_STORE_PART = 0.65
# And of the age at which this VM is not ready any more: a call that takes long
# is not to take it out.
_FRESH_PART = 0.8
# The store is up in a few milliseconds where it can be reached. Packets to one
# that can't are sent again after a second, when a new try has long begun.
_STORE_CONNECT_MS = 500.0
# An answer that keeps coming: a megabyte over a link of 1 Mbit/s takes 8 s.
_STORE_WHOLE_MS = 15_000.0
# The balancer takes a VM out after two questions, a second apart.
_STOP_LAG_MS = 2_600.0
# What is left of the time for a stop when it is given up.
_STOP_MARGIN_MS = 400.0
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
    store_timeout_ms: Annotated[float, _private.number(10, 60_000)] = 1_500.0,
    body_bytes_max: Annotated[int, _private.number(1, 64_000_000)] = 8_000_000,
    connections_max: Annotated[int, _private.number(1, 100_000)] = 3_000,
    log_level: _private.LogLevel = "INFO",
    log_format: _private.LogFormat = "json",
    traces_to: _private.TraceExporter = "off",
) -> None:
    """Serves callers by the platform's store.

    Args:
        vm_id: Name of this VM.
        hall: Data hall of this VM.
        listen: Where callers are served (HOST:PORT).
        ready_listen: Where the balancer asks for readiness (HOST:PORT).
        metrics_listen: Where metrics are served (HOST:PORT).
        peer_listen: Where this VM takes datagrams of peers (HOST:PORT).
        seeds: Some VMs, as HOST:PORT with commas between; peers take datagrams
            there at the same port as this VM.
        store_address: Where the store serves (HOST:PORT).
        revoke_ms: Time within which a removed key must be refused (ms).
        strict_revoke: Whether a removed key is refused within that time also
            by a VM that does not hear of its removal: such a VM refuses all
            keys then. Without it, it goes on by the last settings.
        grace_s: Time for a planned stop (s).
        retry_ratio: Second sends that the fleet may make for each first one.
        retry_slack: Second sends that the fleet may make besides in a while.
        apply_ms: Time within which new settings must be in force (ms).
        leave_ms: Time within which a leaving target gets no more work (ms).
        link_mbps: This VM's link (Mbit/s); fast ones pass digests on.
        store_timeout_ms: Longest silence in an answer of the store (ms).
        body_bytes_max: Longest body (bytes).
        connections_max: Connections of callers open at once.
        log_level: Least severe level that is logged.
        log_format: Form of the logs.
        traces_to: Where spans go.
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
    ready_age_max_ms = math.inf if is_lenient else revoke_ms * _READY_PART
    gateway_config = gateways.GatewayConfig(
        ready_listen=environment.parse_address(ready_listen),
        metrics_listen=environment.parse_address(metrics_listen),
        settings_age_max_ms=math.inf if is_lenient else key_age_max_ms,
        ready_age_max_ms=ready_age_max_ms,
        not_found_age_max_ms=key_age_max_ms,
        stop_lag_ms=_STOP_LAG_MS,
        stop_limit_ms=grace_s * 1_000.0 - _STOP_MARGIN_MS,
        polling=make_pace(min(apply_ms, leave_ms), ready_age_max_ms),
        retry_ratio=retry_ratio * _RETRY_PART,
        retry_slack=retry_slack,
        peers=peer_gossip.PeerConfig(
            environment.parse_address(peer_listen),
            _parse_seeds(seeds, environment.parse_address(peer_listen).port),
            round(link_mbps),
        ),
    )
    platform = gateways.Platform(
        caller_protocol=callers.make_caller_protocol(),
        make_send=lambda on_hints: upstream.make_send(env, on_hints),
        make_orders=lambda on_hints: orders.make_orders(
            env, _ORDER_LIMITS, on_hints
        ),
        source=store.make_source(
            env,
            environment.parse_address(store_address),
            client.Timeouts(
                _STORE_CONNECT_MS, store_timeout_ms, _STORE_WHOLE_MS
            ),
        ),
    )
    tracer = traces.make_tracer(traces_to, "ruddergate-gateway", vm_id)
    gateway = gateways.Gateway(env, config, gateway_config, platform, tracer)

    async def run_gateway(stop: asyncio.Event) -> None:
        _note_reloads()
        await gateway.run(stop)

    _private.run_program(run_gateway)


def make_pace(
    bound_ms: float, ready_age_max_ms: float
) -> poll_config.PollConfig:
    """Returns how often the store is asked.

    Args:
        bound_ms: Time within which what it publishes must be in force.
        ready_age_max_ms: Oldest settings with which this VM is ready.
    """
    every_ms = min(bound_ms * _STORE_PART, ready_age_max_ms * _FRESH_PART)
    two_rounds_ms = 2.0 * every_ms
    return poll_config.PollConfig(
        interval_ms=every_ms,
        full_read_age_ms=max(poll_config.MIN_FULL_READ_AGE_MS, two_rounds_ms),
        outage_ms=max(poll_config.MIN_FULL_READ_AGE_MS, two_rounds_ms),
    )


def _parse_seeds(text: str, port: int) -> tuple[environment.Address, ...]:
    """Returns where the VMs behind the seeds take datagrams."""
    found = filter(None, (each.strip() for each in text.split(",")))
    hosts = [environment.parse_address(each).host for each in found]
    return tuple(environment.Address(host, port) for host in hosts)


def _note_reloads() -> None:
    """Logs that the settings were given anew; all of them hold from a start."""
    log = logs.make_logger("entry")
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: log.info("Settings given anew, those of the start stay."),
    )


def run() -> None:
    """Runs the command line."""
    _private.run_app(APP)


if __name__ == "__main__":
    run()
