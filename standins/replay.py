"""Replays a trace against the product's own tasks in virtual time.

The same trace, settings and seed give byte-identical results.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
import sys
from typing import Literal

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.decisions import length_band
from ruddergate.decisions.routing import by_name
from ruddergate.experiments import caller
from ruddergate.experiments import expectation
from ruddergate.experiments import outcome as outcomes
from ruddergate.experiments import summary as summaries
from ruddergate.experiments import trace
from ruddergate.http import message
from ruddergate.settings import check
from ruddergate.settings import kind as kinds
from ruddergate.settings import tree as trees
from ruddergate.telemetry import logs
from standins import answers
from standins import balancer as balancers
from standins import cluster as clusters
from standins import faults as fault_types
from standins import virtual_process as processes

_SETTLE_MS = 5_000.0
_DRAIN_TIMEOUT_MS = 60_000.0

PolicyName = Literal[tuple(sorted(by_name.FACTORIES))]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayResult:
    """The result of a replay.

    Attributes:
        outcomes: Outcome of each request line.
        held_tokens: Memory still in use on engines at the end.
    """

    outcomes: tuple[outcomes.TracedOutcome, ...]
    held_tokens: int


class Replay:
    """One replay: sends the requests, injects the faults, counts executions."""

    def __init__(
        self, lines: tuple[trace.Line, ...], layout: clusters.Layout, tree: dict
    ) -> None:
        self._lines = lines
        self._layout = layout
        self._tree = tree
        self._first_sent_ms: dict[str, float] = {}
        requests = [x for x in lines if isinstance(x, trace.TracedRequest)]
        request_ids = [request.id for request in requests]
        counts = collections.Counter(request_ids)
        self._resent_ids = {
            request_id for request_id, count in counts.items() if count > 1
        }

    async def run(self) -> ReplayResult:
        """Runs the whole trace and waits until the engines are drained."""
        cluster = clusters.Cluster(self._layout)
        cluster.configuration.publish(clusters.encode_tree(self._tree))
        cluster.start()
        process = processes.VirtualProcess("caller", "")
        env = cluster.network.make_environment(process, 0)
        addresses = {
            name: environment.Address(name, clusters.ENTRY_PORT)
            for name in cluster.vms
        }
        balancer = balancers.Balancer(env, addresses)
        process.start(balancer.run)
        await process.start(balancer.wait_ready)
        await asyncio.sleep(_SETTLE_MS / 1000.0)
        results = await self._send_requests(cluster, process, balancer, env)
        fault_types.FaultInjector(cluster).clear_faults()
        await self._drain(cluster)
        executions = cluster.count_executions()
        counted = tuple(
            dataclasses.replace(each, executions=executions.get(each.id, 0))
            for each in results
        )
        return ReplayResult(counted, cluster.held_tokens())

    async def _send_requests(
        self,
        cluster: clusters.Cluster,
        process: processes.VirtualProcess,
        balancer: balancers.Balancer,
        env: environment.Environment,
    ) -> list[outcomes.TracedOutcome]:
        faults = fault_types.FaultInjector(cluster)
        began_ms = env.now_ms()
        sending = []
        for line in self._lines:
            wait_ms = began_ms + line.at_ms - env.now_ms()
            await asyncio.sleep(max(0.0, wait_ms) / 1000.0)
            if isinstance(line, trace.TracedFault):
                faults.apply(line)
                continue
            send = self._make_send(line, balancer, env)
            sending.append(process.start(send))
        return list(await asyncio.gather(*sending))

    def _make_send(
        self,
        request: trace.TracedRequest,
        balancer: balancers.Balancer,
        env: environment.Environment,
    ) -> Callable[[], Awaitable[outcomes.TracedOutcome]]:
        async def send() -> outcomes.TracedOutcome:
            outgoing = self._make_outgoing(request, env.now_ms())
            entries = balancer.pick()
            if request.vm:
                entries = [environment.Address(request.vm, clusters.ENTRY_PORT)]
            for address in entries:
                outcome = await caller.send(
                    env,
                    address,
                    request,
                    outgoing,
                    lambda text: _is_expected_answer(request, text),
                )
                if outcome is not None:
                    return outcome
            return caller.make_unsent_outcome(request)

        return send

    def _make_outgoing(
        self, request: trace.TracedRequest, now_ms: float
    ) -> message.OutgoingRequest:
        first_sent_ms = self._first_sent_ms.setdefault(request.id, now_ms)
        key = request.id if request.id in self._resent_ids else ""
        return caller.make_request(
            request,
            clusters.make_key(request.workspace),
            key,
            now_ms - first_sent_ms,
        )

    async def _drain(self, cluster: clusters.Cluster) -> None:
        """Waits until no memory is held, or for as long as a sweep may take."""
        waited_ms = 0.0
        time_limit_max_ms = max(
            (
                line.time_limit_ms
                for line in self._lines
                if isinstance(line, trace.TracedRequest)
            ),
            default=0.0,
        )
        while (
            waited_ms < _DRAIN_TIMEOUT_MS + time_limit_max_ms
            and cluster.held_tokens()
        ):
            await asyncio.sleep(1.0)
            waited_ms += 1_000.0


def _is_expected_answer(request: trace.TracedRequest, text: str) -> bool:
    prompt = caller.make_prompt(request, full_size=False)
    if not request.prompt_tokens:
        return answers.make_service_answer(prompt) in text
    tokens = max(1, request.output_tokens)
    return text == answers.make_answer(prompt, tokens)


def add_missing_workloads(
    tree: dict, lines: tuple[trace.Line, ...], layout: clusters.Layout
) -> dict:
    """Adds the workspaces and workloads of a trace that the tree lacks."""
    for line in lines:
        if isinstance(line, trace.TracedRequest):
            is_service = not line.prompt_tokens
            pool = layout.service_pool if is_service else layout.engine_pool
            clusters.add_workload(tree, line.workspace, line.workload, pool)
    return tree


def apply_pool_names(tree: dict, layout: clusters.Layout) -> clusters.Layout:
    """Returns the layout with the names of the pools in a tree."""
    checked = check.parse_tree(1, clusters.encode_tree(tree))
    if not isinstance(checked, trees.Tree):
        sys.exit("\n".join(str(each) for each in checked))
    names = {"engine": layout.engine_pool, "service": layout.service_pool}
    for branch in checked.of_kind(kinds.Kind.POOL):
        names[str(branch.overrides.get("pool_kind", "engine"))] = branch.name
    return dataclasses.replace(
        layout, engine_pool=names["engine"], service_pool=names["service"]
    )


def replay(
    lines: tuple[trace.Line, ...],
    layout: clusters.Layout,
    tree: dict | None = None,
) -> ReplayResult:
    """Replays a trace in a new virtual-time event loop."""
    logs.configure("CRITICAL", False)
    tree = tree or clusters.make_default_tree(layout.engine)
    layout = apply_pool_names(tree, layout)
    tree = add_missing_workloads(tree, lines, layout)
    return processes.run(lambda: Replay(lines, layout, tree).run())


def drop_long_requests(lines: tuple[trace.Line, ...]) -> tuple[trace.Line, ...]:
    """Returns the trace without its long requests."""
    return tuple(
        line
        for line in lines
        if isinstance(line, trace.TracedFault)
        or not length_band.is_long(line.prompt_tokens)
    )


def main(
    trace_file: pathlib.Path,
    *,
    out: pathlib.Path,
    vms: int = 8,
    halls: int = 3,
    engines: int = 20,
    services: int = 3,
    policy: PolicyName = by_name.DEFAULT,
    seed: int = 1,
    tree: pathlib.Path | None = None,
    expect: pathlib.Path | None = None,
    slowdown: bool = False,
) -> int:
    """Replays a trace in virtual time; results are byte-identical for a seed.

    Args:
        trace_file: Trace, JSON lines.
        out: Folder for outcomes.jsonl and summary.json.
        vms: Number of entry VMs.
        halls: Number of data halls.
        engines: Number of engines.
        services: Number of plain services.
        policy: Routing policy.
        seed: Seed of the random number generators.
        tree: Settings tree; workspaces and workloads that it lacks are added.
        expect: File of expected outcomes; the exit status is 1 if one fails.
        slowdown: Also replay the trace without its long requests.
    """
    lines = trace.read_trace(trace_file)
    if isinstance(lines, trace.MalformedLine):
        sys.exit(f"{trace_file}: line {lines.number}: {lines.detail}")
    layout = clusters.Layout(
        vms=vms,
        halls=halls,
        engines=engines,
        services=services,
        policy=policy,
        seed=seed,
    )
    document = orjson.loads(tree.read_bytes()) if tree else None
    result = replay(lines, layout, document)
    without_long: tuple[outcomes.TracedOutcome, ...] = ()
    if slowdown:
        without_long = replay(
            drop_long_requests(lines), layout, document
        ).outcomes
    once = frozenset(
        line.id
        for line in lines
        if isinstance(line, trace.TracedRequest) and not line.repeatable
    )
    summary = summaries.summarize(result.outcomes, once, without_long)
    out.mkdir(parents=True, exist_ok=True)
    outcomes.write_outcomes(out / "outcomes.jsonl", result.outcomes)
    written = {
        **dataclasses.asdict(summary),
        "held_tokens": result.held_tokens,
        "policy": policy,
        "seed": seed,
        "trace": trace_file.name,
    }
    options = orjson.OPT_INDENT_2
    (out / "summary.json").write_bytes(orjson.dumps(written, option=options))
    print(summaries.render_table(summary))
    print(f"held tokens at the end {result.held_tokens}")
    if expect is None:
        return 0
    return expectation.check_file(expect, written)


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
