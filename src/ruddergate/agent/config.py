"""Settings of one agent process."""

import dataclasses

from ruddergate import environment


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """Settings of an agent.

    Attributes:
        vm_id: ID of this VM in the published list.
        hall: Data hall of this VM.
        feed_listen: Address at which the VM's entry connects to its feed.
        peer_listen: Address at which other agents are served.
        configuration: Address of the platform's configuration service.
        vm_list: Address of the platform's VM list.
        peer_key: Key shared by the system's own processes.
        status_listen: Address of the status and metrics pages, or None.
        gossip_ms: Time between gossip rounds.
        fan_out: Peers of this VM's hall to gossip with in a round.
        watch_ms: Time for which one watch of the configuration service waits.
        list_poll_ms: Time between polls of the VM list.
        watcher_timeout_ms: Time without an update from the hall's watchers
            after which other agents fetch from the platform, too.
        load_poll_ms: Time between polls of a target's load.
        sweep_ms: Time between sweeps of the items that a target holds.
        platform_timeout_ms: Longest wait for a response of the platform.
    """

    vm_id: str
    hall: str
    feed_listen: environment.Address
    peer_listen: environment.Address
    configuration: environment.Address
    vm_list: environment.Address
    peer_key: bytes
    status_listen: environment.Address | None = None
    gossip_ms: float = 1_000.0
    fan_out: int = 3
    watch_ms: float = 20_000.0
    list_poll_ms: float = 1_000.0
    watcher_timeout_ms: float = 3_000.0
    load_poll_ms: float = 1_000.0
    sweep_ms: float = 5_000.0
    platform_timeout_ms: float = 2_000.0
