"""Gossip of digests between many VMs in virtual time, without anything else.

`python -m standins.peer_fleet` measures how its cost grows with the fleet;
docs/CAPACITY.md quotes what it prints.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
import zlib

import cyclopts

from ruddergate import environment
from ruddergate.entry import peer_gossip
from ruddergate.fleet import dispatched
from standins import virtual_network
from standins import virtual_process

_PORT = 83
SIZES = (9, 30, 80, 160, 300, 940)
_HALLS = 3
_TARGETS = 60
_SETTLE_S = 4.0
_MEASURE_S = 4.0
# Changes of a VM's load per second: 0.8 requests with three changes each.
_CHANGES_PER_S = 2.4


@dataclasses.dataclass(slots=True)
class Member:
    """One VM.

    Attributes:
        process: Its process.
        gossip: The gossip task under test.
        now_ms: Its clock.
        own_streams: Its streams, all on one target.
        peer_streams: Streams of its peers by target, as gossiped.
        sent: Number of datagrams that it has sent.
        sent_bytes: Their bytes.
        starts: How often it was started.
        draining: Incarnations that it gossips as draining.
        received_at_s: When peers first gossiped an incarnation to it as
            draining, on the loop's clock.
    """

    process: virtual_process.VirtualProcess
    gossip: peer_gossip.PeerGossip
    now_ms: Callable[[], float]
    own_streams: int = 0
    peer_streams: dict[str, int] = dataclasses.field(default_factory=dict)
    sent: int = 0
    sent_bytes: int = 0
    starts: int = 1
    draining: tuple[str, ...] = ()
    received_at_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def count_peer_streams(self) -> int:
        """Returns the streams of all peers, as far as this VM knows."""
        for row in self.gossip.collect_sums():
            self.peer_streams[row.target_id] = row.streams
        return sum(self.peer_streams.values())


class PeerFleet:
    """VMs that know only the seeds at first.

    Attributes:
        network: The network between the VMs.
        members: The VMs by name.
    """

    def __init__(self, size: int, seeds: Sequence[str] = ()) -> None:
        self.network = virtual_network.VirtualNetwork(
            1, virtual_network.Latency()
        )
        self.members: dict[str, Member] = {}
        self._seeds = tuple(
            environment.Address(name, _PORT) for name in seeds or ("vm-0",)
        )
        for number in range(size):
            self.start(f"vm-{number}", f"hall-{number % _HALLS}")

    def start(self, name: str, hall: str) -> None:
        """Starts or restarts a VM."""
        known = self.members.get(name)
        starts = known.starts + 1 if known else 1
        process = virtual_process.VirtualProcess(name, hall)
        env = self.network.make_environment(process, starts)

        def summarize() -> tuple[dispatched.Dispatched, ...]:
            return _make_rows(name, self.members[name].own_streams)

        def merge_draining(incarnations: Sequence[str], peer: str) -> None:
            now_s = asyncio.get_running_loop().time()
            for incarnation in incarnations:
                self.members[name].received_at_s.setdefault(incarnation, now_s)

        gossip = peer_gossip.PeerGossip(
            self._count_datagrams(env, name),
            peer_gossip.PeerConfig(
                environment.Address(name, _PORT), self._seeds
            ),
            hall,
            f"{name}.{starts}",
            summarize,
            summarize_draining=lambda: self.members[name].draining,
            merge_draining=merge_draining,
        )
        self.members[name] = Member(process, gossip, env.now_ms, starts=starts)
        process.start(gossip.run)

    def kill(self, name: str) -> None:
        """Kills a VM."""
        self.members[name].process.kill()

    def set_own_streams(self, name: str, streams: int) -> None:
        """Changes a VM's streams, which it gossips."""
        member = self.members[name]
        member.own_streams = streams
        member.gossip.note_change()

    def announce_draining(self, name: str, incarnation: str) -> None:
        """Has a VM learn that a target is draining, which it gossips."""
        member = self.members[name]
        member.draining = (incarnation,)
        member.gossip.note_change()

    def find_inconsistent(self) -> list[str]:
        """Returns the live VMs that do not know the streams of all others."""
        live = {
            name: member
            for name, member in self.members.items()
            if not member.process.is_dead
        }
        total = sum(each.own_streams for each in live.values())
        return [
            name
            for name, each in live.items()
            if each.count_peer_streams() != total - each.own_streams
        ]

    def find_relays(self) -> set[str]:
        """Returns the VMs that others use as their relay."""
        found = {
            each.gossip.loads.find_relay(each.now_ms())
            for each in self.members.values()
        }
        return {name.partition(":")[0] for name in found}

    def _count_datagrams(
        self, env: environment.Environment, name: str
    ) -> environment.Environment:
        async def bind(
            on_datagram: environment.DatagramHandler,
            address: environment.Address,
        ) -> environment.DatagramPort:
            port = await env.bind(on_datagram, address)

            def send(data: bytes, to: environment.Address) -> None:
                self.members[name].sent += 1
                self.members[name].sent_bytes += len(data)
                port.send(data, to)

            return environment.DatagramPort(send, port.close)

        return dataclasses.replace(env, bind=bind)


def _make_rows(
    name: str, own_streams: int
) -> tuple[dispatched.Dispatched, ...]:
    """Returns a VM's dispatched work, all of it on one target."""
    if not own_streams:
        return ()
    target_id = f"engine-{zlib.crc32(name.encode()) % _TARGETS}"
    return (
        dispatched.Dispatched(
            target_id, (0,) * 5, 0, own_streams, (own_streams, 0, 0)
        ),
    )


async def vary_load(fleet: PeerFleet) -> None:
    """Changes the VMs' streams as under load, until cancelled."""
    rng = fleet.network.make_environment(
        virtual_process.VirtualProcess("", ""), 1
    ).random
    names = list(fleet.members)
    pause_s = 1.0 / (_CHANGES_PER_S * len(names))
    while True:
        name = rng.choice(names)
        fleet.set_own_streams(name, rng.randrange(4))
        await asyncio.sleep(pause_s)


async def _measure(size: int) -> str:
    fleet = PeerFleet(size, tuple(f"vm-{n}" for n in range(3)))
    await asyncio.sleep(_SETTLE_S)
    load_task = asyncio.ensure_future(vary_load(fleet))
    before = {
        name: (each.sent, each.sent_bytes)
        for name, each in fleet.members.items()
    }
    cpu_start_s = time.process_time()
    await asyncio.sleep(_MEASURE_S)
    used_ms = (time.process_time() - cpu_start_s) * 1000.0
    load_task.cancel()
    sent = [
        (each.sent - before[name][0], each.sent_bytes - before[name][1])
        for name, each in fleet.members.items()
    ]
    await asyncio.sleep(1.0)
    inconsistent = len(fleet.find_inconsistent())
    mean = sum(count for count, _ in sent) / size / _MEASURE_S
    mean_kb = sum(size_ for _, size_ in sent) / size / _MEASURE_S / 1000.0
    max_count = max(count for count, _ in sent) / _MEASURE_S
    max_kb = max(size_ for _, size_ in sent) / _MEASURE_S / 1000.0
    cpu = used_ms / size / _MEASURE_S
    return (
        f"{size:5} VMs: datagrams/s mean {mean:.1f} max {max_count:.0f}; "
        f"KB/s mean {mean_kb:.1f} max {max_kb:.0f}; "
        f"CPU ms/s a VM {cpu:.1f}; inconsistent after 1 s {inconsistent}"
    )


def main(sizes: Sequence[int] = SIZES) -> None:
    """Prints the traffic and CPU time of a VM at several fleet sizes."""
    for size in sizes:
        print(virtual_process.run(lambda size=size: _measure(size)), flush=True)


if __name__ == "__main__":
    cyclopts.run(main)
