"""Settings of one agent process."""

import dataclasses

from ruddergate import environment


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """Settings of an agent.

    Attributes:
        vm_id: Name of this VM in the published list.
        hall: Data hall of this VM.
        feed_listen: Where the VM's entry is fed.
        peer_listen: Where other agents are served.
        configuration: The platform's configuration service.
        vm_list: The platform's VM list.
        peer_key: Key shared by the system's own processes.
        status_listen: Where operators' pages are served, or None.
        gossip_ms: Time between rounds of gossip.
        fan_out: Peers of the own hall told in a round.
        watch_ms: Time that one watch of the service waits.
        list_poll_ms: Time between two looks at the list.
        late_ms: Silence of the hall's watchers after which others look.
        load_poll_ms: Time between two looks at a target's load.
        sweep_ms: Time between two looks at the memory a target holds.
        platform_timeout_ms: Longest wait for the platform.
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
