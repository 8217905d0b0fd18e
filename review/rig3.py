"""Stand-ins and processes that the cases of the third review share.

The store is that of `standins.platform_store`. Replicas, callers and the
process of a gateway are here. All of them use loopback addresses and the real
clock.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import sys
import time

from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CALLER_HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODELS = "huvo11a"
APP = "wuno96b"
STREAM_PATH = "/lohu930/2f"
UNSAFE_PATH = "/puxa403/2f"
SAFE_PATH = "/cufi504/2f"
GRACE_S = 8.0
# Exit status of a case that broke its rule; Python itself exits with 1.
BROKEN = 10
HEARTBEAT_S = 1.2
_START_S = 30.0
_READ_BYTES = 1 << 16

Headers = dict[str, str]


def find_free_ports(count: int) -> list[int]:
    """Returns ports at which nothing listens."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            ports.append(sock.getsockname()[1])
        return ports


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self._lines.append(f"{time.monotonic() - self._began_s:8.3f} {text}")

    def write(self, path: pathlib.Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer, as read from a connection.

    Attributes:
        first: The request line or the status line, split at spaces.
        headers: Values by name in lower case.
        body: The body.
        is_complete: Whether it was read to its end.
    """

    first: tuple[str, ...]
    headers: Headers
    body: bytes
    is_complete: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool
) -> Message | None:
    """Returns the next message; None if there is none.

    Args:
        reader: Where to read.
        is_answer: Whether a body without a length ends with its connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    words = tuple(first.split(" ", 2))
    body = bytearray()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, body)
        elif "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
        elif is_answer:
            body += await reader.read(-1)
    except asyncio.IncompleteReadError as error:
        return Message(words, headers, bytes(body) + error.partial, False)
    except OSError:
        return Message(words, headers, bytes(body), False)
    return Message(words, headers, bytes(body))


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at a replica.

    Attributes:
        replica: Name of the replica.
        request_id: The caller's id of the request.
        tenant: The tenant that the replica was told.
        at_s: When it began, on the monotonic clock.
    """

    replica: str
    request_id: str
    tenant: str
    at_s: float


Answer = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica, or another server, at a port of its own.

    Attributes:
        name: Its id.
        port: Where it listens.
        runs: What it ran.
    """

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        self.name = name
        self.port = 0
        self.runs: list[Run] = []
        self.record = record
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accepts no further connections."""
        if self._server is not None:
            self._server.close()

    def make_entry(self, service: str, zone: str, beat: int) -> dict:
        """Returns what it writes about itself in the store."""
        return {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": zone,
            "config-version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": beat,
        }

    def note_run(self, request: Message) -> None:
        """Records that it begins to run a request."""
        run = Run(
            self.name,
            request.headers.get("x-attempt-id", ""),
            request.headers.get("x-tenant-id", ""),
            time.monotonic(),
        )
        self.runs.append(run)
        self.record.add(f"run at {self.name}: {run.request_id}")

    def make_head(self, request: Message, status: str = "200 OK") -> bytes:
        """Returns the head of an answer, without its framing."""
        request_id = request.headers.get("x-attempt-id", "")
        return (
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Replica-Signature: {self.name}.{request_id}\r\n"
            "X-Replica-Load: 1,0,8\r\n"
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader, is_answer=False):
                if not request.is_complete:
                    return
                await self._answer(self, request, writer)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


async def answer_as_replica(
    replica: Replica, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answers as a sound replica of a plain service."""
    if await answer_control(replica, request, writer):
        return
    replica.note_run(request)
    await asyncio.sleep(0.06)
    body = make_body(request.headers.get("x-attempt-id", ""))
    head = replica.make_head(request)
    writer.write(head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


async def answer_control(
    replica: Replica, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answers reports and misdirected requests; returns whether it did."""
    if request.first[1] == "/api/report":
        write_plain(
            writer,
            "200 OK",
            b'{"stage":"both","models":[],"busy":false,"sequence":0,'
            b'"queued":0,"running":0,"kv-used":0,"kv-total":0,"handles":0}',
        )
        return True
    if request.headers.get("x-expect-replica", replica.name) != replica.name:
        write_plain(writer, "421 Misdirected Request", b"")
        return True
    return False


def write_plain(writer: asyncio.StreamWriter, status: str, body: bytes) -> None:
    """Writes an answer that no replica has signed."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


def make_body(request_id: str) -> bytes:
    """Returns the answer of every plain replica to a request."""
    return f"answer to {request_id}".encode()


class Store:
    """The platform's store, with the beats of the replicas in it.

    Attributes:
        store: The store.
        port: Where it listens.
    """

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.store.epoch = ""
        self.port = 0
        self._beats: dict[str, tuple[Replica, str, str]] = {}
        self._beat = 0
        self._task: asyncio.Task | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens at a free port, and writes the beats from now on."""
        self._server = await asyncio.start_server(
            self.store.make_handler(), HOST, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stops listening and writing."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    def add(self, replica: Replica, service: str, zone: str) -> None:
        """Lists a replica; it writes its entry again with each beat."""
        self._beats[replica.name] = (replica, service, zone)
        self._write()

    def remove(self, replica: Replica) -> None:
        """Removes the entry of a replica."""
        del self._beats[replica.name]
        self.store.remove(f"servers/{replica.name}")

    def put_config(self, document: Mapping[str, object]) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put("op/config", document)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write()

    def _write(self) -> None:
        self._beat += 1
        for replica, service, zone in list(self._beats.values()):
            entry = replica.make_entry(service, zone, self._beat)
            self.store.put(f"servers/{replica.name}", entry)


def make_config(
    version: int, keys: Sequence[str] = (KEY,), **limits: int
) -> dict[str, object]:
    """Returns a configuration with one route of each kind."""
    common = {
        "hostname": CALLER_HOST,
        "priority": 1,
        "max-attempts": 2,
        "allow-anonymous": False,
    }
    plain = {
        **common,
        "timeout-ms": 4000,
        "target-latency-ms": 400,
        "service": APP,
    }
    return {
        "config-version": version,
        "routes": [
            {
                **common,
                "name": "r-stream",
                "path-prefix": "/lohu930/",
                "route-type": "streaming",
                "timeout-ms": 10000,
                "target-latency-ms": 300,
                "service": MODELS,
                "session-affinity": True,
                "resumable": True,
                "gap_aim_ms": 200,
            },
            {
                **plain,
                "name": "r-unsafe",
                "path-prefix": "/puxa403/",
                "route-type": "unsafe",
            },
            {
                **plain,
                "name": "r-safe",
                "path-prefix": "/cufi504/",
                "route-type": "safe",
            },
        ],
        "services": [
            {
                "name": MODELS,
                "health-path": "/health",
                "max-connections": 434,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 8,
                    "kv-capacity": 450000,
                    "stride": 46,
                    "models": [{"name": "m"}],
                    "step_ms": 0.925,
                    "per_seq_ms": 0.00966,
                    "context_per_k": 0.00254,
                    "read_per_s": 256000.0,
                    "pairs_per_m": 0.0917,
                    "chunk": 2048,
                    "report_lag_ms": 200.0,
                    "hop_ms": 0.1,
                },
            },
            {
                "name": APP,
                "health-path": "/health",
                "max-connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            **limits,
        },
        "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    }


class Gateway:
    """The process of a gateway, started as the deploy file starts it.

    Attributes:
        host: Its address, a loopback one of its own.
        ports: Ports for callers, readiness, metrics and peers, the same at all
            gateways of a case.
    """

    def __init__(self, number: int, ports: Sequence[int], store: Store) -> None:
        self.host = f"127.0.0.{number + 1}"
        self.ports = tuple(ports)
        self._name = f"vm-{number}"
        self._hall = f"hall-{number % 3}"
        self._store = store
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, log: pathlib.Path | None = None) -> None:
        """Starts the process and waits until it is ready."""
        caller, ready, metrics, peers = (
            f"{self.host}:{port}" for port in self.ports
        )
        environment = {
            **{k: v for k, v in os.environ.items() if k in ("PATH", "HOME")},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RUDDERGATE_VM_ID": self._name,
            "RUDDERGATE_HALL": self._hall,
            "RUDDERGATE_LISTEN": caller,
            "RUDDERGATE_READY_LISTEN": ready,
            "RUDDERGATE_METRICS_LISTEN": metrics,
            "RUDDERGATE_PEER_LISTEN": peers,
            "RUDDERGATE_SEEDS": "127.0.0.1:1,127.0.0.2:1,127.0.0.3:1",
            "RUDDERGATE_STORE_ADDRESS": f"{HOST}:{self._store.port}",
            "RUDDERGATE_REVOKE_MS": "5000",
            "RUDDERGATE_STRICT_REVOKE": "true",
            "RUDDERGATE_APPLY_MS": "2000",
            "RUDDERGATE_LEAVE_MS": "2000",
            "RUDDERGATE_RETRY_RATIO": "0.2",
            "RUDDERGATE_RETRY_SLACK": "106",
            "RUDDERGATE_GRACE_S": str(GRACE_S),
            "RUDDERGATE_LINK_MBPS": "1000.0",
            "RUDDERGATE_MEMORY_MB": "300",
        }
        with contextlib.ExitStack() as stack:
            output = asyncio.subprocess.DEVNULL
            if log is not None:
                output = stack.enter_context(log.open("ab"))
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/gateway.py",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        until_s = time.monotonic() + _START_S
        while not await self.is_ready():
            if time.monotonic() > until_s or self.has_ended():
                raise RuntimeError(f"{self._name} does not become ready")
            await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Returns whether it says that it takes new connections."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports[1]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await read_message(reader, is_answer=True)
            return answer is not None and answer.status == 200
        finally:
            writer.close()

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    @property
    def exit_status(self) -> int | None:
        """Its exit status, or None while it runs."""
        return None if self._process is None else self._process.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        if not self.has_ended():
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the process to end; returns whether it did."""
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Ends the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


def make_gateways(count: int, store: Store) -> list[Gateway]:
    """Returns gateways that know each other, in halls of their own."""
    ports = find_free_ports(4)
    return [Gateway(number, ports, store) for number in range(count)]


def make_request(
    method: str,
    path: str,
    request_id: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    deadline_ms: int = 4000,
) -> bytes:
    """Returns the bytes of a caller's request."""
    fields = {
        "Host": CALLER_HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
        **(headers or {}),
    }
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def call(
    gateway: Gateway, request: bytes, timeout_s: float
) -> Message | None:
    """Sends a request on a new connection.

    Args:
        gateway: Where to send it.
        request: The bytes of the request.
        timeout_s: How long the caller waits.

    Returns:
        The answer; None without one.
    """
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.ports[0]
        )
    except OSError:
        return None
    try:
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            return await read_message(reader, is_answer=True)
    except (TimeoutError, OSError):
        return None
    finally:
        writer.close()


def run_case(run: Callable[..., Awaitable[bool]], folder: pathlib.Path) -> int:
    """Runs a case and writes its record; returns its exit status.

    Args:
        run: Runs it, with a record and `has_trouble`, and returns whether the
            rule held. Without trouble it leaves out the disruption.
        folder: Where the record goes.

    Returns:
        `BROKEN` if the rule was broken, 0 if it held, 2 if it could not run.
    """
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        holds = asyncio.run(run(record, has_trouble=has_trouble))
    except Exception as error:  # Whatever fails, the case has shown nothing.
        record.add(f"could not run: {error!r}")
        return 2
    finally:
        record.write(folder / "record.txt")
    return 0 if holds else BROKEN
