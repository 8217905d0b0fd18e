"""Measures how the cost of the control plane grows with the fleet.

All measurements run on one machine. Messages, bytes and convergence are
measured with the product's agents in one virtual-time loop, CPU time and memory
with agents as real processes, and sizes of state with the product's own codec.
`docs/CAPACITY.md` quotes the printed figures.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import pathlib
import time

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.decisions import subset
from ruddergate.fleet import condition
from ruddergate.fleet import dispatched
from ruddergate.fleet import listing as listings
from ruddergate.fleet import target as targets
from ruddergate.fleet import vm as vms
from ruddergate.messages import fleet_view
from ruddergate.settings import check
from ruddergate.telemetry import logs
from ruddergate.wire import codec
from standins import cluster as clusters
from standins import processes
from standins import virtual_process

SIZES = (8, 40, 80, 120, 160)
# From this size on, a hall has more members than a digest has rows; lines are
# fitted to these sizes only.
_FULL_DIGEST_SIZE = 40
_REAL_SIZES = (8, 24, 48, 96)
_TARGET_SIZES = (4, 8, 16, 32)
# At 940 nodes in 12 halls, a hall has 78, as it has here at 234 nodes.
_HALLS = 3
_SETTLE_S = 8.0
_MEASURE_S = 20.0
_TIMEOUT_S = 30.0
_POLL_S = 0.05
_TARGET_NODES = 940
_TARGET_REPLICAS = 12_000
_TARGET_WORKSPACES = 600
_SUBSET = subset.SUBSET_TARGETS


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted to measured points.

    Attributes:
        base: Value at size 0.
        slope: Growth per unit of size.
        error: Largest distance of a point from the line, relative to the point.
    """

    base: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.base + self.slope * size


# The work that a busy entry has dispatched to its targets.
_BUSY_ENTRY_LOAD = tuple(
    dispatched.Dispatched(f"engine-{n}", (9_000, 4_000, 0, 0, 0), 70_000, 12)
    for n in range(32)
)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Returns the least-squares line through the points."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    sum_xx = sum((x - mean_x) ** 2 for x in sizes)
    sum_xy = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    slope = sum_xy / sum_xx
    base = mean_y - slope * mean_x
    error = max(
        abs(base + slope * x - y) / max(1e-9, abs(y))
        for x, y in zip(sizes, values, strict=True)
    )
    return Fit(base, slope, error)


def make_layout(size: int) -> clusters.Layout:
    """Returns a layout of agents without entries and targets."""
    return clusters.Layout(
        vms=size,
        halls=_HALLS,
        engines=0,
        services=0,
        runs_entries=False,
        list_lag_ms=0.0,
    )


def make_tree(weight: float, workspaces: int = 20) -> dict:
    """Returns a settings tree; `weight` is that of the first workspace."""
    tree = clusters.make_default_tree(clusters.Layout().engine)
    for number in range(workspaces):
        clusters.add_workload(tree, f"w{number}", "a", "engines")
    tree["branches"]["w0"]["settings"]["weight"] = weight
    return tree


async def _measure_virtual(size: int) -> dict[str, float]:
    cluster = clusters.Cluster(make_layout(size))
    cluster.configuration.publish(clusters.encode_tree(make_tree(1.0)))
    cluster.start()
    await asyncio.sleep(_SETTLE_S)
    agents = [node.agent for node in cluster.vms.values()]
    for agent in agents:
        agent.state.own_dispatched = _BUSY_ENTRY_LOAD
    before = sum(agent.peer_bytes() for agent in agents)
    calls = sum(cluster.configuration.request_counts.values())
    list_calls = cluster.vm_list.request_count
    started_s = time.process_time()
    await asyncio.sleep(_MEASURE_S)
    cpu_s = time.process_time() - started_s
    # Sender and receiver both count a byte, so the sum is the incoming and
    # outgoing traffic of all nodes.
    peer_bytes = sum(agent.peer_bytes() for agent in agents) - before
    calls = sum(cluster.configuration.request_counts.values()) - calls
    list_calls = cluster.vm_list.request_count - list_calls
    wrongly_suspected = sum(
        len(cluster.vms) // _HALLS - len(agent.state.live_in_hall())
        for agent in agents
    )
    change_s = await _wait_for_change(cluster)
    death_s = await _wait_for_death(cluster)
    return {
        "peer_bytes_per_s_a_node": peer_bytes / size / _MEASURE_S,
        "service_calls_per_s": calls / _MEASURE_S,
        "list_calls_per_s": list_calls / _MEASURE_S,
        "virtual_cpu_ms_per_s_a_node": cpu_s * 1000.0 / size / _MEASURE_S,
        "wrongly_suspected_a_node": max(0, wrongly_suspected) / size,
        "change_everywhere_s": change_s,
        "death_known_s": death_s,
    }


async def _wait_for_change(cluster: clusters.Cluster) -> float:
    revision = cluster.configuration.publish(
        clusters.encode_tree(make_tree(2.0))
    )
    waited = 0.0
    while waited < _TIMEOUT_S:
        behind = [
            node
            for node in cluster.vms.values()
            if node.agent.state.in_force.manifest.revision < revision
        ]
        if not behind:
            return waited
        await asyncio.sleep(_POLL_S)
        waited += _POLL_S
    return waited


async def _wait_for_death(cluster: clusters.Cluster) -> float:
    dead = cluster.vms["vm-2"]
    cluster.network.reset_node(dead.process)
    dead.process.kill()
    waited = 0.0
    while waited < _TIMEOUT_S:
        uninformed = [
            node
            for node in cluster.vms.values()
            if node.hall == dead.hall
            and node is not dead
            and dead.name in node.agent.state.live_in_hall()
        ]
        if not uninformed:
            return waited
        await asyncio.sleep(_POLL_S)
        waited += _POLL_S
    return waited


def _measure_real(size: int) -> dict[str, float]:
    """Runs agents as processes and returns the means per node."""
    folder = pathlib.Path(processes.tempfile.mkdtemp())
    path = folder / "tree.json"
    path.write_bytes(orjson.dumps(make_tree(1.0)))
    run = processes.Processes(path)
    names = {f"vm-{n}": f"hall-{n % _HALLS}" for n in range(size)}
    try:
        run.start_platform({}, names)
        for name in names:
            run.start_agent(name, log_level="ERROR")
        time.sleep(_SETTLE_S + size * 0.1)
        before = {name: run.measure_cpu_s(f"agent {name}") for name in names}
        time.sleep(_MEASURE_S)
        cpu_s = [
            run.measure_cpu_s(f"agent {name}") - before[name] for name in names
        ]
        memory = [run.measure_memory_mb(f"agent {name}") for name in names]
    finally:
        run.close()
        path.unlink()
        folder.rmdir()
    return {
        "cpu_percent_a_node": sum(cpu_s) / size / _MEASURE_S * 100.0,
        "memory_mb_a_node": sum(memory) / size,
    }


def _measure_load_polls(size: int) -> dict[str, float]:
    """Runs one agent with targets and returns the CPU use of its polls."""
    folder = pathlib.Path(processes.tempfile.mkdtemp())
    path = folder / "tree.json"
    path.write_bytes(orjson.dumps(make_tree(1.0)))
    run = processes.Processes(path)
    try:
        pools = {f"service-{n}": "services" for n in range(size)}
        run.start_platform(pools, {"vm-1": "hall-1"})
        run.start_agent("vm-1", log_level="ERROR")
        time.sleep(_SETTLE_S)
        before = run.measure_cpu_s("agent vm-1")
        time.sleep(_MEASURE_S)
        cpu_s = run.measure_cpu_s("agent vm-1") - before
    finally:
        run.close()
        path.unlink()
        folder.rmdir()
    return {"cpu_percent_of_polls": cpu_s / _MEASURE_S * 100.0}


def _make_listing(nodes: int, replicas: int) -> listings.Listing:
    where = environment.Address("10.200.100.100", 8080)
    live = condition.Condition.LIVE
    return listings.Listing(
        1,
        tuple(
            vms.Vm(f"vm-{n}", f"hall-{n % 12}", where, where, where, live)
            for n in range(nodes)
        ),
        tuple(
            targets.Target(f"engine-{n}", "pool", f"hall-{n % 12}", where, live)
            for n in range(replicas)
        ),
    )


def _measure_state() -> dict[str, Fit]:
    """Returns bytes per VM, target and workspace, and tree parsing times."""
    nodes = (50, 100, 200, 400)
    node_bytes = [
        len(codec.encode(fleet_view.FleetView(_make_listing(n, 0), 0.0, 0.0)))
        for n in nodes
    ]
    replica_bytes = [
        len(codec.encode(fleet_view.FleetView(_make_listing(0, n), 0.0, 0.0)))
        for n in nodes
    ]
    trees = [orjson.dumps(make_tree(1.0, n)) for n in nodes]
    times = []
    for data in trees:
        started_s = time.process_time()
        for _ in range(5):
            check.parse_tree(1, {"main": data})
        times.append((time.process_time() - started_s) / 5 * 1000.0)
    return {
        "list_bytes_a_vm": fit_line(nodes, node_bytes),
        "list_bytes_a_target": fit_line(nodes, replica_bytes),
        "tree_bytes_a_workspace": fit_line(nodes, [len(x) for x in trees]),
        "tree_check_ms_a_workspace": fit_line(nodes, times),
    }


def _print_table(
    sizes: Sequence[int],
    rows: list[dict[str, float]],
    fit_from: int = 0,
    at: int = 0,
) -> dict:
    figures = {name: [row[name] for row in rows] for name in rows[0]}
    first = sum(size < fit_from for size in sizes)
    at = at or _TARGET_NODES
    for name, values in figures.items():
        fit = fit_line(sizes[first:], values[first:])
        cells = "".join(f"{value:>10.2f}" for value in values)
        print(
            f"{name:<30}{cells}   slope {fit.slope:.4g} a node, "
            f"error {min(fit.error, 9.99):.0%}, at {at}: "
            f"{fit.at(at):.4g}"
        )
    return figures


def main(
    *, out: pathlib.Path = pathlib.Path("out/slopes"), real: bool = True
) -> None:
    """Prints the measured figures and writes slopes.json.

    Args:
        out: Folder for slopes.json, which `ruddergatectl report` draws.
        real: Whether to measure agents as real processes, too.
    """
    logs.configure("CRITICAL", False)
    print("virtual agents", SIZES)
    rows = [
        virtual_process.run(lambda size=size: _measure_virtual(size))
        for size in SIZES
    ]
    figures = _print_table(SIZES, rows, _FULL_DIGEST_SIZE)
    if real:
        print("real agents", _REAL_SIZES)
        _print_table(_REAL_SIZES, [_measure_real(x) for x in _REAL_SIZES])
        print("targets of one agent", _TARGET_SIZES)
        rows = [_measure_load_polls(size) for size in _TARGET_SIZES]
        _print_table(_TARGET_SIZES, rows, at=_SUBSET)
    print("state")
    sizes = {
        "list_bytes_a_vm": _TARGET_NODES,
        "list_bytes_a_target": _TARGET_REPLICAS,
        "tree_bytes_a_workspace": _TARGET_WORKSPACES,
        "tree_check_ms_a_workspace": _TARGET_WORKSPACES,
    }
    for name, fit in _measure_state().items():
        at = sizes[name]
        print(
            f"{name:<30} slope {fit.slope:.4g}, error {fit.error:.0%}, "
            f"at {at}: {fit.at(at):.4g}"
        )
    out.mkdir(parents=True, exist_ok=True)
    document = {"sizes": SIZES, "figures": figures}
    (out / "slopes.json").write_bytes(orjson.dumps(document))


if __name__ == "__main__":
    cyclopts.run(main)
