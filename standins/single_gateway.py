"""One real gateway process, with a store and replicas on loopback addresses.

What it takes of its machine is read from the system's tables of processes and
sockets.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import dataclasses
import pathlib
import random
import re
import tempfile

from ruddergate import environment
from standins import _private
from standins import gateway_cluster
from standins import platform_replica
from standins import soak_gateways
from standins import soak_store

HOST = "127.0.0.1"
_ENGINES = 18
_SERVICES = 3
_READY_POLL_S = 0.05
_READY_REQUEST = b"GET /api/ready HTTP/1.1\r\nhost: a\r\n\r\n"
_READY_STATUS = b"200"
_PROC = pathlib.Path("/proc")
_SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")
# The queues of a listening socket count connections instead of bytes.
_LISTENING = "0A"


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """A store and replicas that run in this process.

    Attributes:
        store_port: Port of the store.
        replicas: The replicas that it lists.
    """

    store_port: int
    replicas: tuple[platform_replica.PlatformReplica, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports of a gateway.

    Attributes:
        callers: For callers.
        ready: For the readiness check.
        metrics: For the metrics page.
        peers: For peers.
    """

    callers: int
    ready: int
    metrics: int
    peers: int


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayProcess:
    """A running gateway.

    Attributes:
        process_id: Its process id.
        ports: Where it listens.
        stop: Stops it gracefully; returns its exit status.
    """

    process_id: int
    ports: Ports
    stop: Callable[[], Awaitable[int]]


async def start_platform() -> Platform:
    """Starts a store with settings, and replicas that it lists."""
    store = soak_store.SoakStore(random.Random(1))
    store.publish_settings()
    handler = store.store.make_handler()
    server = await asyncio.start_server(handler, HOST)
    replicas = await _start_replicas(store)
    port = server.sockets[0].getsockname()[1]
    return Platform(port, tuple(replicas))


async def _start_replicas(
    store: soak_store.SoakStore,
) -> list[platform_replica.PlatformReplica]:
    engines: dict[str, platform_replica.PlatformReplica] = {}
    replicas = []
    env = environment.make_system_environment()
    for number in range(_ENGINES + _SERVICES):
        is_engine = number < _ENGINES
        spec = gateway_cluster.Layout().engine_spec if is_engine else None
        replica = platform_replica.PlatformReplica(
            f"replica-{number}", env, spec, engines
        )
        server = await asyncio.start_server(replica.make_handler(), HOST)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        if is_engine:
            engines[address] = replica
            asyncio.ensure_future(replica.engine.run())
        store.store.put(
            f"servers/{replica.name}",
            {
                "service": "engines" if is_engine else "notices",
                "address": address,
                "zone": "hall-0",
                "slots": 8,
                "state": "ready",
                "sequence": 1,
            },
        )
        replicas.append(replica)
    return replicas


@contextlib.asynccontextmanager
async def run_gateway(
    store_port: int, flags: Mapping[str, str] | None = None
) -> AsyncIterator[GatewayProcess]:
    """Runs a gateway, from when it is ready, and kills it at the end.

    Args:
        store_port: Port of its store.
        flags: Further flags of its command line, with their values.
    """
    ports = tuple(_private.find_free_port() for _ in range(4))
    with tempfile.TemporaryDirectory(dir=".") as folder:
        gateways = soak_gateways.SoakGateways(
            random.Random(1), pathlib.Path(folder), ""
        )
        await gateways.add(
            soak_gateways.LaunchConfig(
                HOST, "hall-0", ports, store_port, flags=flags or {}
            )
        )
        try:
            await gateways.wait_until_listening()
            await _wait_until_ready(ports[1])
            process_id = gateways.list_process_ids()[0]
            yield GatewayProcess(
                process_id, Ports(*ports), lambda: gateways.terminate(0)
            )
        finally:
            await gateways.kill_all()


async def _wait_until_ready(port: int) -> None:
    """Waits until a gateway has its settings and targets."""
    status = b""
    while status != _READY_STATUS:
        await asyncio.sleep(_READY_POLL_S)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(_READY_REQUEST)
        status = (await reader.readline()).split(b" ")[1]
        writer.close()


def read_private_bytes(process_id: int) -> int:
    """Returns a process's own memory; 0 if it has ended."""
    try:
        text = (_PROC / str(process_id) / "status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1_024
    return 0


def list_sockets(process_id: int) -> set[str]:
    """Returns the inodes of a process's sockets."""
    found = set()
    for link in _list_descriptors(process_id):
        with contextlib.suppress(OSError):
            match = _SOCKET_LINK.fullmatch(str(link.readlink()))
            if match is not None:
                found.add(match[1])
    return found


def count_descriptors(process_id: int) -> int:
    """Returns how many descriptors a process has open; 0 if it has ended."""
    return len(list(_list_descriptors(process_id)))


def _list_descriptors(process_id: int) -> Iterable[pathlib.Path]:
    try:
        return list((_PROC / str(process_id) / "fd").iterdir())
    except OSError:
        return []


def read_queued_bytes(process: GatewayProcess) -> int:
    """Returns the bytes that wait in a gateway's sockets, in both directions.

    Connections that it has not accepted yet count, too.
    """
    inodes = list_sockets(process.process_id)
    ports = set(dataclasses.astuple(process.ports))
    total = 0
    for line in (_PROC / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        if fields[3] != _LISTENING and (fields[9] in inodes or port in ports):
            unsent, unread = (int(each, 16) for each in fields[4].split(":"))
            total += unsent + unread
    return total
