"""Command line of `ruddergate-agent`."""

from typing import Annotated

from ruddergate import environment
from ruddergate.agent import config as configs
from ruddergate.agent import program
from ruddergate.cli import _private
from ruddergate.telemetry import logs

APP = _private.make_app(
    "ruddergate-agent",
    "Fetches settings and lists, gossips with peers, feeds its entry.",
)


@APP.default
def serve(
    *,
    vm_id: str,
    hall: str,
    feed_listen: _private.AddressText,
    peer_listen: _private.AddressText,
    configuration: _private.AddressText,
    vm_list: _private.AddressText,
    peer_key: _private.KeyText,
    status_listen: _private.AddressText = "",
    gossip_ms: Annotated[float, _private.number(100, 60_000)] = 1_000.0,
    fan_out: Annotated[int, _private.number(1, 16)] = 3,
    watch_ms: Annotated[float, _private.number(100, 300_000)] = 20_000.0,
    list_poll_ms: Annotated[float, _private.number(100, 60_000)] = 1_000.0,
    load_poll_ms: Annotated[float, _private.number(50, 60_000)] = 1_000.0,
    sweep_ms: Annotated[float, _private.number(100, 600_000)] = 5_000.0,
    log_level: _private.LogLevel = "INFO",
    log_format: _private.LogFormat = "text",
) -> None:
    """Fetches settings and lists, gossips with peers, feeds its entry.

    Args:
        vm_id: ID of this VM in the platform's list.
        hall: Data hall of this VM.
        feed_listen: Address of the feed for this VM's entry (HOST:PORT).
        peer_listen: Address for connections of other agents (HOST:PORT).
        configuration: Address of the configuration service (HOST:PORT).
        vm_list: Address of the platform's VM list (HOST:PORT).
        peer_key: Key shared by the system's processes (16 characters or more).
        status_listen: Address of /metrics and /status (HOST:PORT).
        gossip_ms: Time between gossip rounds (ms).
        fan_out: Peers of this VM's hall to gossip with in a round.
        watch_ms: Time for which one watch of the settings waits (ms).
        list_poll_ms: Time between polls of the VM list (ms).
        load_poll_ms: Time between polls of a target's load (ms).
        sweep_ms: Time between checks of a target for expired items (ms).
        log_level: Lowest level that is logged.
        log_format: Format of the logs.
    """
    logs.configure(log_level, log_format == "json")
    config = configs.AgentConfig(
        vm_id=vm_id,
        hall=hall,
        feed_listen=environment.parse_address(feed_listen),
        peer_listen=environment.parse_address(peer_listen),
        configuration=environment.parse_address(configuration),
        vm_list=environment.parse_address(vm_list),
        peer_key=peer_key.encode(),
        status_listen=(
            environment.parse_address(status_listen) if status_listen else None
        ),
        gossip_ms=gossip_ms,
        fan_out=fan_out,
        watch_ms=watch_ms,
        list_poll_ms=list_poll_ms,
        load_poll_ms=load_poll_ms,
        sweep_ms=sweep_ms,
    )
    env = environment.make_system_environment()
    agent = program.Agent(env, config)
    _private.run_program(agent.run)


def run() -> None:
    """Runs the command line."""
    _private.run_app(APP)
