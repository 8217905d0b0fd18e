"""Measures what VMs without links to targets serve, by size of the fleet.

`python -m standins.link_fleet --vms 9 --halls 3 --cut 6` cuts VMs from all
targets in virtual time. With `--cut 0` nothing is cut, for comparison.
"""

import asyncio
import dataclasses
import statistics
import sys

import cyclopts
import loguru

from standins import gateway_caller
from standins import gateway_cluster
from standins import virtual_network
from standins import virtual_process

_CUT_S = 5.0
# Engines for each VM, as on the large deployments.
_ENGINES_PER_VM = 0.75
_SAMPLE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """What callers received, and what VMs carried at each sample."""

    cut_s: float
    results: list[gateway_caller.CallResult]
    carried: list[list[int]]


async def _measure(
    layout: gateway_cluster.Layout,
    cut: int,
    mode: virtual_network.CutMode,
    interval_s: float,
) -> _Run:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    # Digests have to reach all VMs of a large fleet.
    await asyncio.sleep(3.0)
    caller = gateway_caller.Caller(cluster)
    vms = list(cluster.vms)
    # A hall after the other, as a cut takes most of a hall at once.
    by_hall = sorted(vms, key=lambda name: cluster.vms[name].hall)
    for name in by_hall[:cut]:
        for target in cluster.targets:
            cluster.network.cut(virtual_network.Cut(name, target, mode))
    cut_s = asyncio.get_running_loop().time()
    carried: list[list[int]] = []
    sampler = asyncio.ensure_future(_sample(cluster, by_hall[cut:], carried))
    pending = []
    for step in range(round(_CUT_S / interval_s)):
        for number, vm in enumerate(vms):
            call = gateway_caller.Call(f"r{step}-{vm}", "short", vm, 2_000, 200)
            delay_s = interval_s * number / len(vms)
            pending.append(
                asyncio.ensure_future(_send_later(caller, call, delay_s))
            )
        await asyncio.sleep(interval_s)
    results = await asyncio.gather(*pending)
    sampler.cancel()
    return _Run(cut_s, results, carried)


async def _send_later(
    caller: gateway_caller.Caller, call: gateway_caller.Call, delay_s: float
) -> gateway_caller.CallResult:
    await asyncio.sleep(delay_s)
    return await caller.send(call)


async def _sample(
    cluster: gateway_cluster.GatewayCluster,
    names: list[str],
    carried: list[list[int]],
) -> None:
    while True:
        await asyncio.sleep(_SAMPLE_S)
        carried.append(
            [cluster.vms[name].gateway.count_carried() for name in names]
        )


def _print_share(
    name: str, run: _Run, names: set[str], from_s: float, to_s: float
) -> None:
    chosen = [
        each
        for each in run.results
        if each.call.vm in names and from_s <= each.sent_s - run.cut_s < to_s
    ]
    served = [
        each for each in chosen if each.status == 200 and each.is_complete
    ]
    first_ms = [each.first_ms for each in served if each.first_ms is not None]
    median_ms = statistics.median(first_ms) if first_ms else float("nan")
    print(
        f"{name}, {from_s:g} to {to_s:g} s: served {len(served)} of"
        f" {len(chosen)}, first token {median_ms:.1f} ms (median)"
    )


def main(
    *,
    vms: int = 9,
    halls: int = 3,
    cut: int = 6,
    mode: virtual_network.CutMode = virtual_network.CutMode.SILENT,
    interval_s: float = 0.4,
    seed: int = 1,
) -> None:
    """Measures one fleet.

    Args:
        vms: Number of VMs.
        halls: Number of halls.
        cut: Number of VMs that lose their links to all targets.
        mode: What that does to connections.
        interval_s: Time between two calls at a VM.
        seed: Seed.
    """
    loguru.logger.remove()
    layout = gateway_cluster.Layout(
        vms=vms,
        halls=halls,
        engines=max(3, round(_ENGINES_PER_VM * vms)),
        services=halls,
        seed=seed,
    )
    run = virtual_process.run(lambda: _measure(layout, cut, mode, interval_s))
    all_names = [f"vm-{number}" for number in range(vms)]
    by_hall = sorted(all_names, key=lambda name: int(name[3:]) % halls)
    at_cut = set(by_hall[:cut])
    for from_s, to_s in ((0.0, 1.0), (1.0, _CUT_S)):
        _print_share("VMs without links", run, at_cut, from_s, to_s)
        others = set(all_names) - at_cut
        _print_share("other VMs", run, others, from_s, to_s)
    late = run.carried[len(run.carried) // 5 :]
    by_vm = [sum(column) / len(late) for column in zip(*late, strict=True)]
    if by_vm:
        print(
            f"carried by a peer: mean {statistics.mean(by_vm):.2f}, most"
            f" {max(by_vm):.2f}; at one moment at most"
            f" {max(map(max, late))}"
        )


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
