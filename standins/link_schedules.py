"""Random schedules in which VMs lose their links to targets.

`python -m standins.link_schedules --first 1 --count 100` runs many and prints
the seeds in which a guarantee was violated. With `--ablate`, one mechanism is
switched off: the checks then have to fail. With `--pauses`, all engines are
suspended together beside the rest, as in a pause of a whole pool.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import functools
import random
import sys
from typing import Literal
from typing import TypeAlias
from unittest import mock

import cyclopts

from ruddergate import environment
from ruddergate.decisions import loss_reports
from ruddergate.entry import connection_race
from ruddergate.entry import detour_client
from ruddergate.entry import peer_gossip
from ruddergate.entry import target_connector
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import schedule_runner
from standins import virtual_network
from standins import virtual_process

Ablation: TypeAlias = Literal["none", "detour", "proof", "refutation", "return"]

_DURATION_S = 12.0
_CALL_INTERVAL_S = 0.12
# Callers of VMs without links are served like others after this time.
_GRACE_S = 1.0
# First tries served at VMs without links, at least, relative to the others:
# what is owed in each schedule, and what is aimed at over all of them.
_MIN_SHARE = 2.0 / 3.0
# Calls below which a share says nothing.
_MIN_CALLS = 8
_ROUTES = ("short", "short", "short", "once", "unsafe", "safe")
# Time after a caller's end by which work for it has ended.
_CANCELLED_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _LinkLoss:
    """VMs that had no link to any target, from one time to another."""

    vms: frozenset[str]
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True)
class _Schedule:
    """What a schedule has brought about so far."""

    cluster: gateway_cluster.GatewayCluster
    rng: random.Random
    losses: list[_LinkLoss] = dataclasses.field(default_factory=list)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, name: str, number: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + number


def run_schedule(
    seed: int, ablation: Ablation = "none", has_pauses: bool = False
) -> schedule_runner.Result:
    """Runs one schedule.

    Args:
        seed: Seed of the schedule.
        ablation: What is switched off.
        has_pauses: Whether all engines are suspended at times, too.
    """
    rng = random.Random(f"links {seed}")
    layout = gateway_cluster.Layout(
        vms=rng.choice((2, 3, 6, 9)),
        halls=rng.choice((1, 3)),
        engines=9,
        services=4,
        seed=seed,
        reuses_names=rng.random() < 0.5,
    )
    with contextlib.ExitStack() as stack:
        for patch in _ABLATIONS[ablation]():
            stack.enter_context(patch)
        return virtual_process.run(lambda: _run(layout, rng, has_pauses))


def _ablate_detour() -> Sequence[contextlib.AbstractContextManager]:
    """No peer carries a connection."""
    owner = peer_gossip.PeerGossip
    return (mock.patch.object(owner, "list_carriers", lambda self: []),)


def _ablate_proof() -> Sequence[contextlib.AbstractContextManager]:
    """A refused connection is taken as proof that its target has ended.

    Refutations are off, too: they would undo the wrong belief.
    """
    owner = target_connector.TargetConnector
    connect_directly = owner.connect_directly

    async def connect_and_believe(
        connector: target_connector.TargetConnector,
        address: environment.Address,
    ) -> connection_race.Connection:
        connection = await connect_directly(connector, address)
        if not isinstance(connection, detour_client.Failure):
            return connection
        return dataclasses.replace(connection, has_ended=connection.is_refused)

    return (
        mock.patch.object(owner, "connect_directly", connect_and_believe),
        *_ablate_refutation(),
    )


def _ablate_refutation() -> Sequence[contextlib.AbstractContextManager]:
    """A target that responds refutes no report of its end."""
    owner = loss_reports.LossReports
    return (mock.patch.object(owner, "note_suspected", lambda *_: None),)


def _ablate_return() -> Sequence[contextlib.AbstractContextManager]:
    """An isolated VM is not told of a way, and seldom looks for one."""
    seldom_ms = target_connector.PROBE_INTERVAL_MS
    return (
        mock.patch.object(
            target_connector.TargetConnector, "on_carrier", lambda *_: None
        ),
        mock.patch.object(
            target_connector, "ISOLATED_PROBE_INTERVAL_MS", seldom_ms
        ),
    )


_ABLATIONS: dict[
    str, Callable[[], Sequence[contextlib.AbstractContextManager]]
] = {
    "none": lambda: (),
    "detour": _ablate_detour,
    "proof": _ablate_proof,
    "refutation": _ablate_refutation,
    "return": _ablate_return,
}


async def _run(
    layout: gateway_cluster.Layout, rng: random.Random, has_pauses: bool
) -> schedule_runner.Result:
    cluster = gateway_cluster.GatewayCluster(layout)
    await cluster.start()
    schedule = _Schedule(cluster, rng)
    troubles = [asyncio.ensure_future(_lose_links(schedule))]
    for _ in range(rng.randrange(4)):
        trouble = rng.choice(_TROUBLES)
        troubles.append(asyncio.ensure_future(_start_later(schedule, trouble)))
    if has_pauses:
        troubles.append(asyncio.ensure_future(_pause_engines(schedule)))
    results = await _send_calls(schedule)
    await asyncio.gather(*troubles)
    broken = gateway_guarantees.find_broken(cluster, results)
    broken += _find_low_shares(schedule, results)
    broken += _find_believed_ends(schedule)
    await asyncio.sleep(_CANCELLED_S)
    broken += _find_left_work(cluster)
    schedule.count("calls", len(results))
    schedule.count("served", sum(map(_is_served, results)))
    return schedule_runner.Result(broken, schedule.counts)


async def _start_later(
    schedule: _Schedule, trouble: Callable[[_Schedule], object]
) -> None:
    await asyncio.sleep(schedule.rng.uniform(0.0, _DURATION_S - 3.0))
    await trouble(schedule)


async def _send_calls(
    schedule: _Schedule,
) -> list[gateway_caller.CallResult]:
    """Sends calls to all VMs at a steady rate."""
    caller = gateway_caller.Caller(schedule.cluster)
    pending = []
    for step in range(round(_DURATION_S / _CALL_INTERVAL_S)):
        for vm in schedule.cluster.vms:
            call = _make_call(schedule.rng, vm, f"r{step}-{vm}")
            pending.append(asyncio.ensure_future(caller.send(call)))
        await asyncio.sleep(_CALL_INTERVAL_S)
    return await asyncio.gather(*pending)


def _make_call(
    rng: random.Random, vm: str, request_id: str
) -> gateway_caller.Call:
    route = rng.choice(_ROUTES)
    is_stream = route in ("short", "once")
    return gateway_caller.Call(
        request_id=request_id,
        route=route,
        vm=vm,
        prompt_tokens=2_000 if is_stream else 0,
        output_tokens=rng.randrange(50, 600) if is_stream else 0,
        time_limit_ms=10_000.0 if is_stream else 2_000.0,
        disconnects_after_ms=rng.choice((None,) * 9 + (150.0,)),
        body=request_id.encode(),
    )


@contextlib.contextmanager
def _cut(
    schedule: _Schedule, vms: Sequence[str], targets: Sequence[str], name: str
) -> Iterator[None]:
    """Cuts VMs from targets in a random way."""
    mode = schedule.rng.choice(list(virtual_network.CutMode))
    cuts = [
        virtual_network.Cut(vm, target, mode)
        for vm in vms
        for target in targets
    ]
    schedule.count(f"cut {name}, {mode.value}")
    with contextlib.ExitStack() as stack:
        for vm in vms:
            for target in targets:
                link = gateway_cluster.name_link(vm, target)
                stack.enter_context(
                    gateway_schedules.record_disturbance(schedule.cluster, link)
                )
        for each in cuts:
            schedule.cluster.network.cut(each)
            stack.callback(schedule.cluster.network.cuts.remove, each)
        yield


async def _lose_links(schedule: _Schedule) -> None:
    """Cuts some VMs, but not all, from all targets; perhaps twice."""
    rng = schedule.rng
    cluster = schedule.cluster
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    for _ in range(rng.choice((1, 2))):
        count = rng.randrange(1, len(cluster.vms))
        vms = rng.sample(sorted(cluster.vms), count)
        from_s = asyncio.get_running_loop().time()
        with _cut(schedule, vms, sorted(cluster.targets), "of all targets"):
            await asyncio.sleep(rng.uniform(2.0, 4.5))
            to_s = asyncio.get_running_loop().time()
        schedule.losses.append(_LinkLoss(frozenset(vms), from_s, to_s))
        await asyncio.sleep(rng.uniform(0.0, 1.5))


async def _lose_some_links(schedule: _Schedule) -> None:
    """Cuts some VMs from the targets of a hall, of a pool, or from one."""
    rng = schedule.rng
    cluster = schedule.cluster
    names = sorted(cluster.targets)
    hall = f"hall-{rng.randrange(cluster.layout.halls)}"
    kind = rng.choice(("hall", "pool", "one"))
    chosen = {
        "hall": [name for name in names if cluster.targets[name].hall == hall],
        "pool": [name for name in names if name.startswith("engine")],
        "one": [rng.choice(names)],
    }[kind]
    vms = rng.sample(sorted(cluster.vms), rng.randrange(1, len(cluster.vms)))
    with _cut(schedule, vms, chosen, f"of {kind}"):
        await asyncio.sleep(rng.uniform(0.5, 3.0))


async def _flap_links(schedule: _Schedule) -> None:
    """Cuts a VM from all targets, several times for a moment."""
    rng = schedule.rng
    vm = rng.choice(sorted(schedule.cluster.vms))
    for _ in range(4):
        targets = sorted(schedule.cluster.targets)
        with _cut(schedule, [vm], targets, "that flaps"):
            await asyncio.sleep(rng.uniform(0.1, 0.8))
        await asyncio.sleep(rng.uniform(0.1, 0.6))


async def _kill_vm(schedule: _Schedule) -> None:
    schedule.count("VM killed")
    node = schedule.cluster.vms[
        schedule.rng.choice(sorted(schedule.cluster.vms))
    ]
    schedule.cluster.kill(node)
    with gateway_schedules.record_disturbance(schedule.cluster, node.name):
        await asyncio.sleep(schedule.rng.uniform(0.1, 2.0))
        schedule.cluster.start_vm(node)
        # Until it has its settings and peers.
        await asyncio.sleep(1.0)


async def _freeze_vm(schedule: _Schedule) -> None:
    schedule.count("VM frozen")
    node = schedule.cluster.vms[
        schedule.rng.choice(sorted(schedule.cluster.vms))
    ]
    if node.process.is_dead:
        return
    with gateway_schedules.record_disturbance(schedule.cluster, node.name):
        node.process.freeze()
        await asyncio.sleep(schedule.rng.uniform(0.3, 2.0))
        node.process.resume()
        await asyncio.sleep(1.0)


async def _crash_target(schedule: _Schedule) -> None:
    schedule.count("target crashed")
    names = sorted(schedule.cluster.targets)
    node = schedule.cluster.targets[schedule.rng.choice(names)]
    if node.process.is_dead:
        return
    schedule.cluster.crash_target(node)
    await asyncio.sleep(gateway_cluster.CRASH_RESTART_S + 0.5)


async def _pause_engines(schedule: _Schedule) -> None:
    """Suspends all engines together, twice, often beside a loss of links."""
    # The rest of a schedule is the same with pauses and without them.
    rng = random.Random(f"pauses {schedule.cluster.layout.seed}")
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    for _ in range(2):
        schedule.count("all engines paused")
        processes = [
            node.process
            for name, node in schedule.cluster.targets.items()
            if name.startswith("engine") and not node.process.is_dead
        ]
        for each in processes:
            each.freeze()
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        for each in processes:
            each.resume()
        await asyncio.sleep(rng.uniform(0.5, 2.0))


async def _fail_store(schedule: _Schedule) -> None:
    schedule.count("store away")
    await gateway_schedules.fail_store(schedule.cluster, schedule.rng, 0.5, 2.0)


_TROUBLES = (
    _lose_some_links,
    _lose_some_links,
    _flap_links,
    _kill_vm,
    _freeze_vm,
    _crash_target,
    _fail_store,
)


def _is_served(result: gateway_caller.CallResult) -> bool:
    is_left = result.call.disconnects_after_ms is not None
    return is_left or (result.status == 200 and result.is_complete)


def _find_low_shares(
    schedule: _Schedule, results: Sequence[gateway_caller.CallResult]
) -> list[str]:
    """Checks what VMs without links serve, relative to the others."""
    broken = []
    for loss in schedule.losses:
        during = [
            each
            for each in results
            if loss.from_s + _GRACE_S < each.sent_s < loss.to_s
            and _was_undisturbed(schedule, each)
        ]
        at_cut = [each for each in during if each.call.vm in loss.vms]
        others = [each for each in during if each.call.vm not in loss.vms]
        if min(len(at_cut), len(others)) < _MIN_CALLS:
            continue
        served = sum(map(_is_served, at_cut))
        schedule.count("calls at VMs without links", len(at_cut))
        schedule.count("served at VMs without links", served)
        schedule.count("calls at other VMs", len(others))
        schedule.count("served at other VMs", sum(map(_is_served, others)))
        share = sum(map(_is_served, others)) / len(others)
        if served < _MIN_SHARE * share * len(at_cut):
            broken.append(
                f"VMs without links served {served} of {len(at_cut)}, the"
                f" others {share:.2f}"
            )
    return broken


def _was_undisturbed(
    schedule: _Schedule, result: gateway_caller.CallResult
) -> bool:
    """Returns whether the VM of a call ran, and peers could carry for it.

    With two VMs, a peer that is killed or frozen leaves no way.
    """
    ended_s = result.sent_s + result.took_ms / 1000.0
    cluster = schedule.cluster
    vms = cluster.vms if len(cluster.vms) <= 3 else (result.call.vm,)
    return all(
        gateway_schedules.ran_undisturbed(cluster, vm, result.sent_s, ended_s)
        for vm in vms
    )


def _find_believed_ends(schedule: _Schedule) -> list[str]:
    """Returns the live targets that a VM believes to have ended."""
    broken = []
    live = {
        node.replica.name
        for node in schedule.cluster.targets.values()
        if not node.process.is_dead and node.starts == 1
    }
    for vm, node in schedule.cluster.vms.items():
        ends = node.gateway.context.scheduler.incarnation_ends
        broken += [
            f"{vm} believes that {each.target_id} has ended"
            for each in ends.list_recent(node.gateway.context.env.now_ms())
            if each.target_id in live
        ]
    return broken


def _find_left_work(cluster: gateway_cluster.GatewayCluster) -> list[str]:
    """Returns work that goes on after all callers have gone."""
    return [
        f"{name} still works on {len(node.replica.engine.streams)} streams"
        for name, node in cluster.targets.items()
        if node.replica.engine is not None and node.replica.engine.streams
    ]


def main(
    *,
    first: int = 1,
    count: int = 20,
    jobs: int = 2,
    ablate: Ablation = "none",
    pauses: bool = False,
) -> int:
    """Runs many schedules.

    Args:
        first: First seed.
        count: Number of seeds.
        jobs: Number of schedules that run in parallel.
        ablate: What is switched off.
        pauses: Whether all engines are suspended at times, too.
    """
    run = functools.partial(run_schedule, ablation=ablate, has_pauses=pauses)
    return schedule_runner.run_all(run, first, count, jobs)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
