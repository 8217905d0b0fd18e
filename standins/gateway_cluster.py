"""A cluster of gateways, replicas and their store in virtual time."""

import asyncio
import dataclasses
import math

from ruddergate import environment
from ruddergate import stop_signal
from ruddergate.entry import config as configs
from ruddergate.entry import gateway as gateways
from ruddergate.entry import peer_gossip
from ruddergate.entry import poll_config
from ruddergate.http import client
from ruddergate.http import server
from ruddergate.platform import callers
from ruddergate.platform import orders
from ruddergate.platform import store as stores
from ruddergate.platform import upstream
from ruddergate.telemetry import traces
from standins import iteration_engine
from standins import platform_replica
from standins import platform_store
from standins import virtual_network
from standins import virtual_process

FRONT_PORT = 80
READY_PORT = 81
_METRICS_PORT = 82
PEER_PORT = 83
_REPLICA_PORT = 90
STORE_NAME = "store"
_STORE = environment.Address(STORE_NAME, 70)
_ORDER_LIMITS = client.Timeouts(200.0, 500.0, 500.0)
_STORE_LIMITS = client.Timeouts(500.0, 1_500.0, 15_000.0)
HOST = "app.example"
KEY = "key-of-w1"
# The key of w2, which some runs remove; KEY stays.
REMOVED_KEY = "removed-key"
REVOKE_MS = 5_000.0
HEARTBEAT_S = 1.2
# Time for a planned stop of a VM.
GRACE_S = 8.0
_DELIVERY_S = 0.1
# Times after a crash at which a replica's entry expires and it restarts.
CRASH_EXPIRY_S = 2.5
CRASH_RESTART_S = 4.0
RETRY_SLACK = 54.0
# State of a replica that no longer writes its entry to the store.
UNLISTED = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Sizes and settings of a cluster.

    Attributes:
        vms: Number of gateways.
        halls: Number of data halls, over which all nodes are spread.
        engines: Number of engines.
        services: Number of replicas of the plain service.
        service_sets: Number of pools of engines and of plain services. Routes
            name the first of each; every third replica is in the second.
        seed: Seed of all random numbers.
        is_strict: Whether gateways refuse API keys when their settings are too
            old.
        connections_max: Callers' connections that a gateway serves at once.
        engine_spec: Performance of the engines.
        latency_slo_scale: Factor for the latency targets of all routes, for
            the first token and for gaps between tokens.
        reuses_names: Whether a replica that restarts has the same name as
            before, and reports when it started.
        epoch: What the store reports as its epoch; empty for none.
        polling: How often gateways poll the store.
    """

    vms: int = 3
    halls: int = 3
    engines: int = 5
    services: int = 3
    service_sets: int = 1
    seed: int = 1
    is_strict: bool = True
    connections_max: int = 3_000
    engine_spec: iteration_engine.EngineSpec = iteration_engine.EngineSpec()
    latency_slo_scale: float = 1.0
    reuses_names: bool = False
    epoch: str = "1"
    polling: poll_config.PollConfig = poll_config.PollConfig()


_LAYOUT = Layout()


@dataclasses.dataclass(slots=True)
class Node:
    """One VM or replica.

    Attributes:
        name: Its name, which is also its host.
        hall: Its hall.
        process: The process that runs there now.
        starts: How often it was started.
        service: Its service, for a replica.
        state: State in its entry in the store, for a replica.
        sequence: Number of its last entry in the store, for a replica.
        gateway: The gateway, on a VM.
        replica: The replica, on other nodes.
        stop: Event that begins a graceful shutdown of the gateway.
        task: The gateway's task.
    """

    name: str
    hall: str
    process: virtual_process.VirtualProcess
    starts: int = 0
    service: str = ""
    state: str = "ready"
    sequence: int = 0
    gateway: gateways.Gateway | None = None
    replica: platform_replica.PlatformReplica | None = None
    stop: stop_signal.StopSignal | None = None
    task: asyncio.Task | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a VM, a hall, the store or a link could not answer.

    Attributes:
        name: The VM or hall, STORE_NAME, or a link by `name_link`.
        from_s: When it began, on the loop's clock.
        to_s: When it ended.
    """

    name: str
    from_s: float
    to_s: float


class GatewayCluster:
    """All nodes of one run.

    Attributes:
        layout: Its sizes and settings.
        network: The network between the nodes.
        store: The platform's store.
        vms: Nodes of the gateways by name.
        targets: Nodes of the replicas by name.
        all_replicas: Every incarnation of a replica that ever ran.
        revision: Revision of the configuration last published.
        keys: API keys by workspace, as the next revision publishes them.
        disturbances: Times in which VMs, halls, the store or links were cut off
            or could not answer.
        poison_bodies: Bodies of requests that crash the replicas that run them.
        poison_parts: Names of parts of prompts that crash replicas likewise.
        poison_delay_s: How long after the first event they do so; None for
            before any answer.
        vm_starts: When each VM was started, on the loop's clock.
        kills: When each node was killed, on the loop's clock, but for VMs that
            had time for a planned stop.
        stops: When each VM was told to stop, on the loop's clock.
        all_gateways: Every incarnation of a gateway that ever ran.
    """

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.network = virtual_network.VirtualNetwork(
            layout.seed, virtual_network.Latency()
        )
        self.store = platform_store.PlatformStore()
        self.store.epoch = layout.epoch
        self.vms: dict[str, Node] = {}
        self.targets: dict[str, Node] = {}
        self.all_replicas: list[platform_replica.PlatformReplica] = []
        self.revision = 0
        self.keys = {"w1": [KEY]}
        self.disturbances: list[Disturbance] = []
        self.poison_bodies: set[bytes] = set()
        self.poison_parts: set[str] = set()
        self.poison_delay_s: float | None = None
        self.vm_starts: dict[str, list[float]] = {}
        self.kills: dict[str, list[float]] = {}
        self.stops: dict[str, list[float]] = {}
        self.all_gateways: list[gateways.Gateway] = []
        self._engines: dict[str, platform_replica.PlatformReplica] = {}

    async def start(self) -> None:
        """Starts all nodes and waits 2 s until gateways are ready."""
        process = virtual_process.VirtualProcess(STORE_NAME, STORE_NAME)
        env = self.network.make_environment(process, 1)
        handler = self.store.make_handler()
        process.start(lambda: env.serve(handler, _STORE))
        self.publish()
        for number in range(self.layout.engines):
            self._add_target(f"engine-{number}", number)
        for number in range(self.layout.services):
            self._add_target(f"service-{number}", number)
        for number in range(self.layout.vms):
            hall = f"hall-{number % self.layout.halls}"
            node = Node(f"vm-{number}", hall, _make_process("", ""))
            self.vms[node.name] = node
            self.start_vm(node)
        await asyncio.sleep(2.0)

    def publish(self, **changes: object) -> None:
        """Publishes the next revision of the configuration, with changes."""
        self.revision += 1
        document = make_configuration(self.keys, self.revision, self.layout)
        self.store.put("op/config", {**document, **changes})

    def rewrite_settings(self) -> None:
        """Writes the last revision again, as after a restore of the store."""
        document = make_configuration(self.keys, self.revision, self.layout)
        self.store.put("op/config", document)

    def start_vm(self, node: Node) -> None:
        """Starts or restarts a gateway."""
        node.starts += 1
        starts = self.vm_starts.setdefault(node.name, [])
        starts.append(asyncio.get_running_loop().time())
        node.process = _make_process(node.name, node.hall)
        env = self.network.make_environment(node.process, node.starts)
        config = configs.EntryConfig(
            vm_id=node.name,
            hall=node.hall,
            listen=environment.Address(node.name, FRONT_PORT),
            policy="by_region",
            service_policy="least_recent",
            panic_routing=True,
            limits=server.Limits(connections_max=self.layout.connections_max),
        )
        gateway = gateways.Gateway(
            env,
            config,
            self._make_config(node),
            _make_platform(env),
            traces.Tracer(None),
        )
        node.gateway = gateway
        self.all_gateways.append(gateway)
        stop = node.stop = stop_signal.StopSignal()
        node.task = node.process.start(lambda: gateway.run(stop))

    def _make_config(self, node: Node) -> gateways.GatewayConfig:
        seeds = tuple(
            environment.Address(f"vm-{number}", PEER_PORT)
            for number in range(min(2, self.layout.vms))
        )
        is_strict = self.layout.is_strict
        key_age_max_ms = REVOKE_MS - 1_200.0
        return gateways.GatewayConfig(
            ready_listen=environment.Address(node.name, READY_PORT),
            metrics_listen=environment.Address(node.name, _METRICS_PORT),
            settings_age_max_ms=key_age_max_ms if is_strict else math.inf,
            ready_age_max_ms=REVOKE_MS * 0.5 if is_strict else math.inf,
            not_found_age_max_ms=key_age_max_ms,
            stop_lag_ms=2_600.0,
            stop_limit_ms=7_600.0,
            polling=self.layout.polling,
            retry_ratio=0.15,
            retry_slack=RETRY_SLACK,
            peers=peer_gossip.PeerConfig(
                environment.Address(node.name, PEER_PORT), seeds
            ),
        )

    async def stop_vm(self, node: Node) -> None:
        """Stops a VM as planned, with the time that it has for that."""
        loop = asyncio.get_running_loop()
        self.stops.setdefault(node.name, []).append(loop.time())
        process, task = node.process, node.task
        node.stop.set()
        await asyncio.wait([task], timeout=GRACE_S)
        if task.done():
            # The system still delivers what a process that has ended had sent.
            await asyncio.sleep(_DELIVERY_S)
        # It may have been killed, and started again, meanwhile.
        if node.process is process and not process.is_dead:
            process.kill()
            self.network.reset_node(process)

    def kill(self, node: Node) -> None:
        """Kills a node's process and resets its connections."""
        kills = self.kills.setdefault(node.name, [])
        kills.append(asyncio.get_running_loop().time())
        node.process.kill()
        self.network.reset_node(node.process)

    def _add_target(self, name: str, number: int) -> None:
        hall = f"hall-{number % self.layout.halls}"
        kind = "engines" if name.startswith("engine") else "notices"
        is_second = self.layout.service_sets > 1 and number % 3 == 2
        service = name_second_service(kind) if is_second else kind
        node = Node(name, hall, _make_process("", ""), service=service)
        self.targets[name] = node
        self.start_target(node)

    def start_target(self, node: Node) -> None:
        """Starts a replica as a new incarnation."""
        node.starts += 1
        node.process = _make_process(node.name, node.hall)
        env = self.network.make_environment(node.process, node.starts)
        is_engine = node.name.startswith("engine")
        engine_spec = self.layout.engine_spec if is_engine else None
        keeps_name = self.layout.reuses_names
        start = 1 if keeps_name else node.starts
        replica = platform_replica.PlatformReplica(
            f"{node.name}.{start}", env, engine_spec, self._engines
        )
        replica.started_ms = int(env.wall_ms()) if keeps_name else 0
        replica.poison_bodies = self.poison_bodies
        replica.poison_parts = self.poison_parts
        replica.poison_delay_s = self.poison_delay_s
        replica.crash = lambda: self.crash_target(node)
        node.replica = replica
        node.state = "ready"
        node.sequence = 0
        self.all_replicas.append(replica)
        address = environment.Address(node.name, _REPLICA_PORT)
        self._engines[str(address)] = replica
        node.process.start(lambda: env.serve(replica.make_handler(), address))
        if replica.engine is not None:
            node.process.start(replica.engine.run)
        node.process.start(lambda: self._send_heartbeats(node, replica))

    def crash_target(self, node: Node) -> None:
        """Crashes a replica.

        Its entry expires after CRASH_EXPIRY_S; it restarts after
        CRASH_RESTART_S.
        """
        replica = node.replica
        self.kill(node)
        loop = asyncio.get_running_loop()
        replica.crashed_s = loop.time()
        context = self.network.neutral_context

        def expire() -> None:
            if node.replica is replica:
                self.unlist_target(node)

        loop.call_later(CRASH_EXPIRY_S, expire, context=context)
        loop.call_later(
            CRASH_RESTART_S, lambda: self.start_target(node), context=context
        )

    def list_runs(self, body: bytes) -> list[platform_replica.Run]:
        """Returns the runs of all requests with a body, in order of time."""
        runs = [
            run
            for replica in self.all_replicas
            for run in replica.runs
            if run.body == body
        ]
        return sorted(runs, key=lambda each: each.at_s)

    def list_runs_with_part(self, part: str) -> list[platform_replica.Run]:
        """Returns the runs of all requests with a part, in order of time."""
        runs = [
            run
            for replica in self.all_replicas
            for run in replica.runs
            if part in run.parts
        ]
        return sorted(runs, key=lambda each: each.at_s)

    async def serve_unlisted_replica(self, node: Node) -> None:
        """Replaces a replica by an unlisted one at the same address."""
        node.starts += 1
        node.process = _make_process(node.name, node.hall)
        env = self.network.make_environment(node.process, node.starts)
        unlisted = platform_replica.PlatformReplica(
            f"stranger-{node.name}", env, None, self._engines
        )
        self.all_replicas.append(unlisted)
        address = environment.Address(node.name, _REPLICA_PORT)
        handler = unlisted.make_handler()
        await node.process.start(lambda: env.serve(handler, address))

    async def _send_heartbeats(
        self, node: Node, replica: platform_replica.PlatformReplica
    ) -> None:
        while node.state != UNLISTED:
            self.list_target(node, replica, node.state)
            await asyncio.sleep(HEARTBEAT_S)

    def drain_target(self, node: Node) -> None:
        """Marks a replica's entry as draining."""
        node.state = "draining"
        self.list_target(node, node.replica, node.state)

    def stop_listing(self, node: Node) -> None:
        """Removes a replica's entry for good; the replica keeps serving."""
        node.state = UNLISTED
        self.unlist_target(node)

    def list_target(
        self,
        node: Node,
        replica: platform_replica.PlatformReplica,
        state: str,
    ) -> None:
        """Writes a replica's entry."""
        node.sequence += 1
        is_engine = replica.engine is not None
        self.store.put(
            f"servers/{replica.name}",
            {
                "service": node.service,
                "address": f"{node.name}:{_REPLICA_PORT}",
                "zone": node.hall,
                "slots": self.layout.engine_spec.slots if is_engine else 6,
                "state": state,
                "sequence": node.sequence,
                **replica.make_start_field(),
            },
        )

    def unlist_target(self, node: Node) -> None:
        """Removes a replica's entry."""
        self.store.remove(f"servers/{node.replica.name}")


def _make_process(name: str, hall: str) -> virtual_process.VirtualProcess:
    return virtual_process.VirtualProcess(name, hall)


def _make_platform(env: environment.Environment) -> gateways.Platform:
    return gateways.Platform(
        caller_protocol=callers.make_caller_protocol(),
        make_send=upstream.make_send,
        make_orders=lambda target_env, on_hints: orders.make_orders(
            target_env, _ORDER_LIMITS, on_hints
        ),
        source=stores.make_source(env, _STORE, _STORE_LIMITS),
    )


def make_configuration(
    keys: dict[str, list[str]], revision: int, layout: Layout = _LAYOUT
) -> dict[str, object]:
    """Returns a configuration with API keys by workspace."""
    document = _make_configuration(keys, revision, layout.engine_spec)
    if layout.service_sets > 1:
        document["services"] += [
            {**each, "name": name_second_service(each["name"])}
            for each in document["services"]
        ]
    for route in document["routes"]:
        for name in ("target-latency-ms", "gap_aim_ms"):
            route[name] = round(route[name] * layout.latency_slo_scale)
    return document


def _make_configuration(
    keys: dict[str, list[str]],
    revision: int,
    engine_spec: iteration_engine.EngineSpec,
) -> dict[str, object]:
    stream = {"route-type": "streaming", "resumable": True, "max-attempts": 2}
    return {
        "config-version": revision,
        "routes": [
            _make_route("short", "engines", 300, 10_000, 200, **stream),
            _make_route("long", "engines", 3_000, 15_000, 800, **stream),
            _make_route(
                "once",
                "engines",
                300,
                10_000,
                200,
                **{**stream, "resumable": False},
            ),
            _make_route("unsafe", "notices", 300, 2_000, 0),
            _make_route(
                "safe",
                "notices",
                300,
                2_000,
                0,
                **{"route-type": "safe", "max-attempts": 2},
            ),
            _make_route("open", "notices", 300, 2_000, 0, is_open=True),
        ],
        "services": [
            {
                "name": "engines",
                "engine": {
                    "slots": engine_spec.slots,
                    "kv-capacity": engine_spec.memory_tokens,
                    "step_ms": engine_spec.step_ms,
                    "stride": engine_spec.stride,
                    "read_per_s": engine_spec.prefill_tokens_per_ms * 1000.0,
                    "pairs_per_m": engine_spec.attention_ms_per_m_pairs,
                    "hop_ms": 0.1,
                },
            },
            {"name": "notices"},
        ],
        "tenants": [
            {"name": name, "api-keys": own, "priority": 1}
            for name, own in keys.items()
        ],
    }


def name_link(vm: str, target: str) -> str:
    """Returns the name of the link between a VM and a target."""
    return f"{vm} to {target}"


def name_second_service(name: str) -> str:
    """Returns the name of the second service of a kind."""
    return f"{name}-2"


def make_idle_routes(count: int) -> list[dict[str, object]]:
    """Returns routes that no caller uses, to make the settings large."""
    return [
        _make_route(f"idle-{number}", "notices", 300, 2_000, 0)
        for number in range(count)
    ]


def _make_route(
    name: str,
    service: str,
    latency_slo_ms: int,
    timeout_ms: int,
    gap_slo_ms: int,
    is_open: bool = False,
    **fields: object,
) -> dict[str, object]:
    return {
        "name": name,
        "hostname": HOST,
        "path-prefix": f"/{name}/",
        "service": service,
        "route-type": "unsafe",
        "timeout-ms": timeout_ms,
        "target-latency-ms": latency_slo_ms,
        "gap_aim_ms": gap_slo_ms,
        "priority": 1,
        "max-attempts": 1,
        "allow-anonymous": is_open,
        **fields,
    }
