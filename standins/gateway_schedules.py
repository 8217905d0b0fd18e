"""Random schedules of calls and faults for gateways, each from a seed.

`python -m standins.gateway_schedules --first 1 --count 100` runs many and
prints the seeds in which a guarantee was violated.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random
import sys

import cyclopts

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import iteration_engine
from standins import schedule_runner
from standins import virtual_network
from standins import virtual_process

_CALLS = 60
_DURATION_S = 10.0
_FAULTS = 6
_ROUTES = ("short", "short", "short", "long", "once", "unsafe", "safe")


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    rng = random.Random(seed)
    layout = gateway_cluster.Layout(vms=rng.choice((2, 4)), seed=seed)
    return virtual_process.run(lambda: _run(layout, rng))


def run_drawn_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule on a deployment that is drawn from the seed too."""
    rng = random.Random(f"drawn {seed}")
    layout = draw_layout(seed, rng)
    return virtual_process.run(lambda: _run(layout, rng))


def draw_layout(seed: int, rng: random.Random) -> gateway_cluster.Layout:
    """Draws sizes, engines, latency targets and the strictness of keys."""
    engine_spec = iteration_engine.EngineSpec(
        slots=rng.choice((2, 4, 6, 8, 16)),
        memory_tokens=rng.choice((200_000, 405_000, 450_000, 1_000_000)),
        step_ms=rng.uniform(0.5, 3.0),
        prefill_tokens_per_ms=rng.uniform(60.0, 500.0),
        attention_ms_per_m_pairs=rng.uniform(0.02, 0.3),
        stride=rng.choice((10, 34, 46, 60)),
    )
    return gateway_cluster.Layout(
        vms=rng.choice((1, 2, 3, 5, 9)),
        halls=rng.choice((1, 2, 3)),
        engines=rng.choice((1, 2, 3, 5, 9, 18)),
        services=rng.choice((1, 2, 3, 6)),
        seed=seed,
        is_strict=rng.random() < 0.5,
        engine_spec=engine_spec,
        latency_slo_scale=rng.uniform(0.5, 2.0),
    )


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random
) -> schedule_runner.Result:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    caller = gateway_caller.Caller(cluster)
    faults = [
        asyncio.ensure_future(_inject_fault_later(cluster, rng))
        for _ in range(_FAULTS)
    ]
    calls = [
        asyncio.ensure_future(
            _send_later(caller, make_call(rng, cluster, n), rng)
        )
        for n in range(_CALLS)
    ]
    results = await asyncio.gather(*calls)
    for fault in faults:
        fault.cancel()
    # Reservations for the last calls must expire by themselves.
    await asyncio.sleep(4.0)
    broken = gateway_guarantees.find_broken(cluster, results)
    return schedule_runner.Result(broken, {}, count_statuses(results))


def count_statuses(
    results: Iterable[gateway_caller.CallResult],
) -> dict[int, int]:
    """Returns how often callers received each status."""
    counts: dict[int, int] = {}
    for each in results:
        counts[each.status] = counts.get(each.status, 0) + 1
    return counts


def ran_undisturbed(
    cluster: gateway_cluster.GatewayCluster, vm: str, from_s: float, to_s: float
) -> bool:
    """Returns whether a VM ran undisturbed from one time to another."""
    if any(from_s < start_s < to_s for start_s in cluster.vm_starts[vm]):
        return False
    names = (vm, cluster.vms[vm].hall)
    return not any(
        each.name in names and each.from_s < to_s and from_s < each.to_s
        for each in cluster.disturbances
    )


def make_call(
    rng: random.Random,
    cluster: gateway_cluster.GatewayCluster,
    number: int,
) -> gateway_caller.Call:
    """Draws a call to any VM."""
    route = rng.choice(_ROUTES)
    prompt = {"short": 5_000, "once": 3_000, "long": 0}.get(route)
    if route == "long":
        prompt = rng.choice((45_000, 210_000, 600_000))
    is_stream = prompt is not None
    return gateway_caller.Call(
        request_id=f"r{number}",
        route=route,
        vm=rng.choice(sorted(cluster.vms)),
        prompt_tokens=prompt or 0,
        output_tokens=rng.randrange(50, 1_200) if is_stream else 0,
        time_limit_ms=10_000.0 if is_stream else 2_000.0,
        disconnects_after_ms=rng.choice((None, None, None, None, 400.0)),
    )


async def _send_later(
    caller: gateway_caller.Caller,
    call: gateway_caller.Call,
    rng: random.Random,
) -> gateway_caller.CallResult:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    return await caller.send(call)


async def _inject_fault_later(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, _DURATION_S))
    await inject_fault(cluster, rng)


async def inject_fault(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    """Injects a fault of a random kind and waits until it ends."""
    fault = rng.choice(FAULT_KINDS)
    await fault(cluster, rng)


@contextlib.contextmanager
def record_disturbance(
    cluster: gateway_cluster.GatewayCluster, name: str
) -> Iterator[None]:
    """Records that a VM, a hall or the store can't answer meanwhile."""
    loop = asyncio.get_running_loop()
    from_s = loop.time()
    try:
        yield
    finally:
        cluster.disturbances.append(
            gateway_cluster.Disturbance(name, from_s, loop.time())
        )


async def _kill_vm(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.vms[rng.choice(sorted(cluster.vms))]
    cluster.kill(node)
    await asyncio.sleep(rng.uniform(0.1, 3.0))
    cluster.start_vm(node)


async def _freeze_vm(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.vms[rng.choice(sorted(cluster.vms))]
    node.process.freeze()
    with record_disturbance(cluster, node.name):
        await asyncio.sleep(rng.uniform(0.5, 5.0))
    node.process.resume()


async def _stop_vm(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.vms[rng.choice(sorted(cluster.vms))]
    if node.process.is_dead:
        return
    restart_s = asyncio.get_running_loop().time() + gateway_cluster.GRACE_S
    await cluster.stop_vm(node)
    await asyncio.sleep(restart_s - asyncio.get_running_loop().time())
    if not node.process.is_dead:
        cluster.kill(node)
    cluster.start_vm(node)


async def _kill_target(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    cluster.kill(node)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    cluster.unlist_target(node)
    cluster.start_target(node)


async def _degrade_target(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    node = cluster.targets[rng.choice(sorted(cluster.targets))]
    faults = node.replica.faults
    name = rng.choice(
        ("refuse", "fail", "lose", "break_off", "unsigned", "foreign")
    )
    setattr(faults, name, rng.uniform(0.2, 1.0))
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    setattr(faults, name, 0.0)


async def _cut_hall(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    cut = virtual_network.Cut(f"hall-{rng.randrange(3)}", "")
    cluster.network.cuts.append(cut)
    with record_disturbance(cluster, cut.on):
        await asyncio.sleep(rng.uniform(0.5, 5.0))
    cluster.network.cuts.remove(cut)


async def _fail_store(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    await fail_store(cluster, rng, 0.5, 6.0)


async def fail_store(
    cluster: gateway_cluster.GatewayCluster,
    rng: random.Random,
    min_s: float,
    max_s: float,
) -> None:
    """Makes the store fail for a time drawn from a range."""
    with record_disturbance(cluster, gateway_cluster.STORE_NAME):
        cluster.store.failure = rng.choice(("busy", "reset", "silent"))
        await asyncio.sleep(rng.uniform(min_s, max_s))
        cluster.store.failure = ""


async def _compact_history(
    cluster: gateway_cluster.GatewayCluster, rng: random.Random
) -> None:
    cluster.publish()
    cluster.store.compact_history()


FAULT_KINDS: tuple[Callable, ...] = (
    _kill_vm,
    _freeze_vm,
    _stop_vm,
    _kill_target,
    _degrade_target,
    _degrade_target,
    _cut_hall,
    _fail_store,
    _compact_history,
)


def main(
    *, first: int = 1, count: int = 20, jobs: int = 1, drawn: bool = False
) -> int:
    """Runs many schedules.

    Args:
        first: First seed.
        count: Number of seeds.
        jobs: Number of seeds that run in parallel, each in a process.
        drawn: Whether deployments are drawn from the seeds, too.
    """
    run = run_drawn_schedule if drawn else run_schedule
    return schedule_runner.run_all(run, first, count, jobs)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
