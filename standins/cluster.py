"""Runs the product's tasks with the fakes in one virtual-time event loop."""

import asyncio
import dataclasses
import hashlib

import orjson

from ruddergate import environment
from ruddergate.agent import config as agent_configs
from ruddergate.agent import program as agent_programs
from ruddergate.entry import config as entry_configs
from ruddergate.entry import program as entry_programs
from ruddergate.telemetry import traces
from standins import configuration as configurations
from standins import engine as engines
from standins import engine_state
from standins import service as services
from standins import virtual_network
from standins import virtual_process as processes
from standins import vm_list as vm_lists

PEER_KEY = b"a key for virtual runs"
ENTRY_PORT = 8080
_ENTRY_PEER_PORT = 8081
_AGENT_PEER_PORT = 8082
_FEED_PORT = 8083
_TARGET_PORT = 9000
_PLATFORM_PORT = 7000


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Sizes and settings of a run.

    Attributes:
        vms: Number of entry VMs.
        halls: Number of data halls, to which VMs and targets are assigned
            round-robin.
        engines: Number of engines.
        services: Number of plain services.
        engine_pool: Pool of the engines.
        service_pool: Pool of the services.
        policy: Routing policy of the entries.
        seed: Seed of the random number generators.
        list_lag_ms: Lag of the VM list.
        latency: Latencies of the network.
        engine: Rates and sizes of an engine.
        stop_lag_ms: Time until the load balancer notices a planned stop.
        runs_entries: Whether VMs run entries besides their agents.
    """

    vms: int = 8
    halls: int = 3
    engines: int = 20
    services: int = 3
    engine_pool: str = "engines"
    service_pool: str = "services"
    policy: str = "by_length"
    seed: int = 1
    list_lag_ms: float = 3_000.0
    latency: virtual_network.Latency = virtual_network.Latency()
    engine: engine_state.EngineSettings = engine_state.EngineSettings(
        flush_ms=200.0
    )
    stop_lag_ms: float = 2_000.0
    runs_entries: bool = True


@dataclasses.dataclass(slots=True)
class Node:
    """A node and its running processes.

    Attributes:
        name: Name.
        hall: Data hall.
        incarnation: Number of starts so far.
        process: Its running process.
        agent: The agent, if it is a VM.
        entry: The entry, if it is a VM with one.
        target: The engine or service, if it is a target.
        stop: Event that begins the planned stop of a VM.
        entry_task: Task of a VM's entry, done once its planned stop ended.
    """

    name: str
    hall: str
    incarnation: int = 0
    process: processes.VirtualProcess | None = None
    agent: agent_programs.Agent | None = None
    entry: entry_programs.Entry | None = None
    target: engines.Engine | services.Service | None = None
    stop: asyncio.Event | None = None
    entry_task: asyncio.Task | None = None


class Cluster:
    """A cluster of platform services, targets and VMs.

    Attributes:
        layout: Sizes and settings.
        network: Virtual network with its partitions.
        configuration: The configuration service.
        vm_list: The VM list.
        vms: VMs by name.
        targets: Engines and services by name.
        all_targets: Name and every incarnation of every target, to count
            executions.
    """

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.network = virtual_network.VirtualNetwork(
            layout.seed, layout.latency
        )
        self.configuration = configurations.Configuration()
        self.vms: dict[str, Node] = {}
        self.targets: dict[str, Node] = {}
        self.all_targets: list[
            tuple[str, engines.Engine | services.Service]
        ] = []
        self._platform = processes.VirtualProcess("config", "config")
        env = self.network.make_environment(self._platform, 0)
        for index in range(layout.vms):
            name = f"vm-{index + 1}"
            self.vms[name] = Node(name, self._assign_hall(index))
        for kind, count in (
            ("engine", layout.engines),
            ("service", layout.services),
        ):
            for index in range(count):
                name = f"{kind}-{index + 1}"
                self.targets[name] = Node(name, self._assign_hall(index))
        self.vm_list = vm_lists.VmList(
            env,
            [self._make_vm_row(node) for node in self.vms.values()],
            [self._make_target_row(node) for node in self.targets.values()],
            layout.list_lag_ms,
        )
        self._start_platform(env)

    def _assign_hall(self, index: int) -> str:
        return f"hall-{index % self.layout.halls + 1}"

    def _make_vm_row(self, node: Node) -> dict:
        return {
            "id": node.name,
            "hall": node.hall,
            "host": node.name,
            "entry_port": ENTRY_PORT,
            "entry_peer_port": _ENTRY_PEER_PORT,
            "agent_peer_port": _AGENT_PEER_PORT,
            "state": "live",
        }

    def _make_target_row(self, node: Node) -> dict:
        is_engine = node.name.startswith("engine")
        layout = self.layout
        return {
            "id": node.name,
            "pool": layout.engine_pool if is_engine else layout.service_pool,
            "hall": node.hall,
            "host": node.name,
            "port": _TARGET_PORT,
            "state": "live",
        }

    def _start_platform(self, env: environment.Environment) -> None:
        address = environment.Address("config", _PLATFORM_PORT)
        self._platform.start(
            lambda: configurations.serve(env, address, self.configuration)
        )
        address = environment.Address("config", _PLATFORM_PORT + 1)
        self._platform.start(lambda: vm_lists.serve(env, address, self.vm_list))

    def start(self) -> None:
        """Starts all targets and VMs."""
        for node in [*self.targets.values(), *self.vms.values()]:
            self.start_node(node)

    def start_node(self, node: Node) -> None:
        """Starts a new incarnation of a node."""
        node.incarnation += 1
        node.process = processes.VirtualProcess(node.name, node.hall)
        env = self.network.make_environment(node.process, node.incarnation)
        if node.name in self.vms:
            self._start_vm(node, env)
        else:
            self._start_target(node, env)

    def _start_target(self, node: Node, env: environment.Environment) -> None:
        address = environment.Address(node.name, _TARGET_PORT)
        if node.name.startswith("engine"):
            node.target = engines.Engine(env, self.layout.engine)
            serve = engines.serve
        else:
            node.target = services.Service(env)
            serve = services.serve
        self.all_targets.append((node.name, node.target))
        target = node.target
        node.process.start(lambda: serve(env, address, target))

    def _start_vm(self, node: Node, env: environment.Environment) -> None:
        feed = environment.Address(node.name, _FEED_PORT)
        agent_config = agent_configs.AgentConfig(
            vm_id=node.name,
            hall=node.hall,
            feed_listen=feed,
            peer_listen=environment.Address(node.name, _AGENT_PEER_PORT),
            configuration=environment.Address("config", _PLATFORM_PORT),
            vm_list=environment.Address("config", _PLATFORM_PORT + 1),
            peer_key=PEER_KEY,
        )
        node.stop = asyncio.Event()
        node.agent = agent_programs.Agent(env, agent_config)
        agent, stop = node.agent, node.stop
        if not self.layout.runs_entries:
            node.process.start(lambda: agent.run(stop))
            return
        entry_config = entry_configs.EntryConfig(
            vm_id=node.name,
            hall=node.hall,
            listen=environment.Address(node.name, ENTRY_PORT),
            peer_listen=environment.Address(node.name, _ENTRY_PEER_PORT),
            agent=feed,
            peer_key=PEER_KEY,
            policy=self.layout.policy,
            stop_lag_ms=self.layout.stop_lag_ms,
        )
        tracer = traces.Tracer(None)
        node.entry = entry_programs.Entry(env, entry_config, tracer)
        entry = node.entry
        # The agent runs on, because the entry needs it during its planned stop.
        node.process.start(lambda: agent.run(asyncio.Event()))
        node.entry_task = node.process.start(lambda: entry.run(stop))

    def kill(self, node: Node) -> None:
        """Kills a node; the VM list drops it after its lag."""
        node.process.kill()
        self.network.reset_node(node.process)
        self._set_listed(node, is_listed=False)

    def restart(self, node: Node) -> None:
        """Starts a node again; kills it before if it still runs."""
        if not node.process.is_dead:
            self.kill(node)
        self.start_node(node)
        self._set_listed(node, is_listed=True)

    def start_drain(self, node: Node) -> None:
        """Starts the planned stop of a VM, or drains a target."""
        row = self._make_row(node)
        setter = self._find_setter(node)
        setter(node.name, **{**row, "state": "leaving"})
        if node.name in self.vms:
            node.stop.set()
        else:
            node.target.draining = True

    def has_drained(self, node: Node) -> bool:
        """Returns whether a VM's planned stop ended or a target is draining."""
        if node.entry_task is not None:
            return node.entry_task.done()
        return node.target is not None and node.target.draining

    def _set_listed(self, node: Node, is_listed: bool) -> None:
        setter = self._find_setter(node)
        setter(node.name, **(self._make_row(node) if is_listed else {}))

    def _make_row(self, node: Node) -> dict:
        is_vm = node.name in self.vms
        return self._make_vm_row(node) if is_vm else self._make_target_row(node)

    def _find_setter(self, node: Node):  # noqa: ANN202
        is_vm = node.name in self.vms
        return self.vm_list.set_vm if is_vm else self.vm_list.set_target

    def count_executions(self) -> dict[str, int]:
        """Returns how often each prompt or body was executed."""
        total: dict[str, int] = {}
        for _, target in self.all_targets:
            for text, count in target.executions.items():
                total[text] = total.get(text, 0) + count
        return total

    def held_tokens(self) -> int:
        """Returns the memory in use on all running engines."""
        return sum(
            node.target.held_tokens()
            for node in self.targets.values()
            if isinstance(node.target, engines.Engine)
            and not node.process.is_dead
        )


def hash_key(key: str) -> str:
    """Returns the hash of a workspace's key as the settings tree has it."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_default_tree(engine: engine_state.EngineSettings) -> dict:
    """Returns a settings tree without workspaces.

    It has one class and one pool of each kind.
    """
    return {
        "branches": {
            "root": {
                "kind": "root",
                "settings": {
                    "class": "standard",
                    "pool": "engines",
                    "time_limit_ms": 3_600_000,
                },
            },
            "standard": {
                "kind": "class",
                "parent": "root",
                "settings": {"queue_cost_ms_max": 3_600_000},
            },
            "engines": {
                "kind": "pool",
                "parent": "root",
                "settings": {
                    "memory_tokens": engine.memory_tokens,
                    "prefill_tokens_per_s": 20_000,
                },
            },
            "services": {
                "kind": "pool",
                "parent": "root",
                "settings": {"pool_kind": "service"},
            },
        }
    }


def add_workload(tree: dict, workspace: str, workload: str, pool: str) -> None:
    """Adds a workspace and a workload if the tree does not have them."""
    branches = tree["branches"]
    if workspace not in branches:
        branches[workspace] = {
            "kind": "workspace",
            "parent": "root",
            "settings": {"key_sha256": hash_key(make_key(workspace))},
        }
    name = f"{workspace}/{workload}"
    if name not in branches:
        branches[name] = {"kind": "workload", "settings": {"pool": pool}}


def make_key(workspace: str) -> str:
    """Returns the API key that callers of a workspace use in virtual runs."""
    return f"demo-{workspace}"


def encode_tree(tree: dict) -> dict[str, bytes]:
    """Returns a tree as the shards of a revision."""
    return {"main": orjson.dumps(tree)}
