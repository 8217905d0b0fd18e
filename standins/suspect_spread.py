"""Measures how fast a fleet learns of a poison request, and the traffic.

Only the tasks that gossip request fingerprints run, in virtual time, with one
datagram in a hundred lost. Run it with `python -m standins.suspect_spread`.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import statistics

import loguru

from ruddergate import environment
from ruddergate.entry import lost_call
from ruddergate.entry import quarantine_gossip
from ruddergate.fleet import condition
from ruddergate.fleet import target as targets
from ruddergate.messages import poison_reports as messages
from ruddergate.wire import codec
from standins import virtual_network
from standins import virtual_process

_SIZES = (9, 80, 195, 940)
_SEEDS = 5
_LOSS = 0.01
_RUN_S = 10.0
_PORT = 83


@dataclasses.dataclass(slots=True)
class _Vm:
    """One VM of the fleet.

    Attributes:
        gossip: Its gossip task, with its table of fingerprints.
        sent_bytes: Bytes that it has sent.
        knew_s: When it quarantined the request; None if it never did.
    """

    gossip: quarantine_gossip.QuarantineGossip
    sent_bytes: int = 0
    knew_s: float | None = None


class Fleet:
    """VMs that know each other; owned by one run."""

    def __init__(self, size: int, seed: int) -> None:
        self._network = virtual_network.VirtualNetwork(
            seed, virtual_network.Latency()
        )
        self.vms: dict[str, _Vm] = {}
        for number in range(size):
            self._add(f"vm-{number}")

    def _add(self, name: str) -> None:
        process = virtual_process.VirtualProcess(name, "h")
        env = self._network.make_environment(process, 1)
        address = environment.Address(name, _PORT)

        def list_peers() -> list[str]:
            return [each for each in self.vms if each != name]

        def send(
            reports: messages.PoisonReports, receivers: Iterable[str]
        ) -> None:
            size = len(codec.encode(reports))
            for receiver in receivers:
                self.vms[name].sent_bytes += size
                if env.random.random() >= _LOSS:
                    asyncio.get_running_loop().call_later(
                        0.001, self._deliver, receiver, reports
                    )

        gossip = quarantine_gossip.QuarantineGossip(
            env, address, list_peers, send
        )
        self.vms[name] = _Vm(gossip)
        process.start(gossip.run)

    def _deliver(self, receiver: str, reports: messages.PoisonReports) -> None:
        vm = self.vms[receiver]
        vm.gossip.merge_gossip(reports)
        if vm.knew_s is None and vm.gossip.table.list_quarantined():
            vm.knew_s = asyncio.get_running_loop().time()


async def _run(size: int, seed: int) -> tuple[float, float]:
    """Returns when the last VM knew, and the bytes a second of a VM."""
    fleet = Fleet(size, seed)
    await asyncio.sleep(0.1)
    start_s = asyncio.get_running_loop().time()
    observers = list(fleet.vms.values())[:3]
    for number, vm in enumerate(observers):
        vm.gossip.table.on_target_ended(_make_lost(number))
    await asyncio.sleep(_RUN_S)
    knew = [vm.knew_s for vm in fleet.vms.values()]
    if None in knew:
        raise AssertionError("a VM never quarantined the request")
    sent = statistics.fmean(vm.sent_bytes for vm in fleet.vms.values())
    return max(knew) - start_s, sent / _RUN_S


def _make_lost(number: int) -> lost_call.LostCall:
    target = targets.Target(
        f"i-{number:010d}",
        "engines",
        "h",
        environment.Address("engine", 1),
        condition.Condition.LIVE,
        8,
        1_700_000_000_000 + number,
    )
    return lost_call.LostCall("r", "0" * 32, target, 100.0, 20.0, 1.0)


def main() -> None:
    """Prints a row for each size."""
    loguru.logger.remove()
    print("VMs  last knew after (ms, worst of seeds)  bytes/s a VM")
    for size in _SIZES:
        runs = [
            virtual_process.run(lambda size=size, seed=seed: _run(size, seed))
            for seed in range(_SEEDS)
        ]
        last_ms = max(last_s for last_s, _ in runs) * 1000.0
        sent = statistics.fmean(each for _, each in runs)
        print(f"{size:4d} {last_ms:10.0f} {sent:30.0f}")


if __name__ == "__main__":
    main()
