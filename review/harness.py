"""Gateway processes and stand-ins for the scripts of the review.

The gateways are the project's own program, started with the command and the
variables of `deploy/system.toml`. The store is `standins.platform_store`. The
replicas and callers here are small and follow the users' pages.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import traceback
from typing import TypeAlias

import h11
import orjson

from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "desk.example"
ENGINE_SERVICE = "model-pool"
PLAIN_SERVICE = "estate-app"
BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2
GRACE_S = 8.0
REVOKE_MS = 5_000
HEARTBEAT_S = 1.2
_READ_BYTES = 1 << 16
_START_TIMEOUT_S = 30.0


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes one line with the current time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def is_troubled() -> bool:
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    run: Callable[[Record], Coroutine[None, None, list[str]]],
    limit_s: float,
) -> None:
    """Runs a case and exits with its status.

    Args:
        folder: Folder of the case.
        run: Runs the case and returns what broke the rule. Whatever it raises
            means that the case could not run.
        limit_s: Time limit of the run.
    """
    record = Record(folder)
    record.note(f"disruption: {'yes' if is_troubled() else 'no'}")

    async def run_within_limit() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await run(record)

    try:
        broken = asyncio.run(run_within_limit())
    except Exception:  # Whatever failed, the case did not run to its end.
        record.note("could not run: " + traceback.format_exc())
        print("could not run, see record.txt")
        sys.exit(COULD_NOT_RUN)
    for each in broken:
        record.note(f"BROKEN {each}")
        print(f"broken: {each}")
    verdict = "the rule was broken" if broken else "the rule held"
    record.note(verdict)
    print(verdict)
    sys.exit(BROKEN if broken else HELD)


def make_configuration(
    version: int,
    routes: Sequence[Mapping[str, object]],
    services: Sequence[Mapping[str, object]],
    keys: Mapping[str, Sequence[str]],
) -> dict[str, object]:
    """Returns a configuration in the form of the users' pages.

    Args:
        version: Its version.
        routes: Its routes.
        services: Its services.
        keys: API keys by tenant.
    """
    limits = {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }
    return {
        "config-version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [
            {"name": name, "api-keys": list(own), "priority": 1}
            for name, own in keys.items()
        ],
    }


def make_archive_route() -> dict[str, object]:
    """Returns the route of archive reviews, as on the users' sheet."""
    return {
        "name": "r-2yhvz3p",
        "hostname": HOST_NAME,
        "path-prefix": "/lohu930/",
        "route-type": "streaming",
        "timeout-ms": 15_000,
        "target-latency-ms": 3_000,
        "priority": 1,
        "service": ENGINE_SERVICE,
        "max-attempts": 2,
        "allow-anonymous": False,
        "session-affinity": True,
        "resumable": True,
        "gap_aim_ms": 800,
    }


def make_lookup_route() -> dict[str, object]:
    """Returns the route of ticket lookups, which must not run twice."""
    return {
        "name": "r-fi6y7z5",
        "hostname": HOST_NAME,
        "path-prefix": "/puxa403/",
        "route-type": "unsafe",
        "timeout-ms": 4_000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": PLAIN_SERVICE,
        "max-attempts": 2,
        "allow-anonymous": False,
    }


def make_plain_service() -> dict[str, object]:
    """Returns the service of the property management application."""
    return {
        "name": PLAIN_SERVICE,
        "health-path": "/health",
        "max-connections": 110,
    }


def make_engine_service() -> dict[str, object]:
    """Returns the service of the engines, as on the users' sheet."""
    engine = {
        "slots": 8,
        "kv-capacity": 450_000,
        "step_ms": 0.925,
        "stride": 46,
        "per_seq_ms": 0.00966,
        "context_per_k": 0.00254,
        "read_per_s": 256_000.0,
        "pairs_per_m": 0.0917,
        "chunk": 2_048,
        "hop_ms": 0.1,
    }
    return {
        "name": ENGINE_SERVICE,
        "health-path": "/health",
        "max-connections": 434,
        "engine": engine,
    }


class CannotRunError(Exception):
    """A precondition of a case was not met."""


def find_free_port(hosts: Sequence[str] = ("127.0.0.1",)) -> int:
    """Returns a port that is free for TCP and UDP on all the hosts."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if all(_is_free(host, port) for host in hosts):
            return port


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Store:
    """The platform's store, and what operator and replicas write there."""

    def __init__(self, record: Record) -> None:
        self.content = platform_store.PlatformStore()
        self.port = 0
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen at a free port."""
        self._server = await asyncio.start_server(
            self.content.make_handler(), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def put_configuration(self, document: Mapping[str, object]) -> float:
        """Writes a configuration; returns the time of its acknowledgement."""
        self.content.put("op/config", document)
        self._record.note(
            f"store acknowledges configuration {document['config-version']}: "
            f"{orjson.dumps(document.get('tenants')).decode()}"
        )
        return self._record.now_s()


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports of a gateway."""

    callers: int
    ready: int
    metrics: int
    peers: int


class Gateway:
    """One gateway process.

    Args:
        name: Id of its VM.
        host: Loopback address at which it listens.
        ports: Its ports.
        store_port: Port of the store.
        seeds: Hosts of the seeds.
        record: Where to note what happens to it.
        log_folder: Folder for its log.
    """

    def __init__(
        self,
        name: str,
        host: str,
        ports: Ports,
        store_port: int,
        seeds: Sequence[str],
        record: Record,
        log_folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.host = host
        self.ports = ports
        self._store_port = store_port
        self._seeds = seeds
        self._record = record
        self._log_path = log_folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        log = open(self._log_path, "ab")  # noqa: SIM115
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/gateway.py",
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env=self._make_variables(),
        )
        self._record.note(f"{self.name} starts")

    def _make_variables(self) -> dict[str, str]:
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        seeds = ",".join(f"{host}:{self.ports.peers}" for host in self._seeds)
        return {
            **kept,
            "PYTHONPATH": "target/deps",
            "RUDDERGATE_VM_ID": self.name,
            "RUDDERGATE_HALL": "hall-vic",
            "RUDDERGATE_LISTEN": f"{self.host}:{self.ports.callers}",
            "RUDDERGATE_READY_LISTEN": f"{self.host}:{self.ports.ready}",
            "RUDDERGATE_METRICS_LISTEN": f"{self.host}:{self.ports.metrics}",
            "RUDDERGATE_PEER_LISTEN": f"{self.host}:{self.ports.peers}",
            "RUDDERGATE_SEEDS": seeds,
            "RUDDERGATE_STORE_ADDRESS": f"127.0.0.1:{self._store_port}",
            "RUDDERGATE_REVOKE_MS": str(REVOKE_MS),
            "RUDDERGATE_STRICT_REVOKE": "true",
            "RUDDERGATE_APPLY_MS": "2000",
            "RUDDERGATE_LEAVE_MS": "2000",
            "RUDDERGATE_RETRY_RATIO": "0.2",
            "RUDDERGATE_RETRY_SLACK": "106",
            "RUDDERGATE_GRACE_S": str(round(GRACE_S)),
            "RUDDERGATE_LINK_MBPS": "1000.0",
        }

    async def wait_until_ready(self) -> None:
        """Waits until its readiness check succeeds."""
        until_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < until_s:
            if await self.is_ready():
                self._record.note(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")

    async def is_ready(self) -> bool:
        """Returns whether its readiness check succeeds."""
        with contextlib.suppress(OSError):
            connection = await open_connection(self.host, self.ports.ready)
            answer = await connection.exchange("GET", "/api/ready", {})
            connection.close()
            return answer.status == 200
        return False

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._record.note(f"{number.name} to {self.name}")
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        return await self._process.wait()

    async def kill(self) -> None:
        """Kills the process if it still runs, and waits for its end."""
        if self.has_ended():
            return
        self._process.kill()
        await self._process.wait()


@contextlib.asynccontextmanager
async def start_gateways(
    count: int, store: Store, record: Record
) -> AsyncIterator[list[Gateway]]:
    """Starts gateways that know each other, and ends them at the end."""
    hosts = [f"127.0.0.{number + 11}" for number in range(count)]
    peers_port = find_free_port(hosts)
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(
                f"front-hall-vic-{number + 1}",
                host,
                Ports(
                    find_free_port((host,)),
                    find_free_port((host,)),
                    find_free_port((host,)),
                    peers_port,
                ),
                store.port,
                hosts[:3],
                record,
                pathlib.Path(folder),
            )
            for number, host in enumerate(hosts)
        ]
        try:
            for each in gateways:
                await each.start()
            for each in gateways:
                await each.wait_until_ready()
            yield gateways
        finally:
            for each in gateways:
                await each.kill()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as a replica got it.

    Attributes:
        method: Its method.
        target: Its path and query.
        headers: Its headers by lower-case name.
        body: Its body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """The caller's id of the attempt."""
        return self.headers.get("x-attempt-id", "")


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at a replica.

    Attributes:
        attempt_id: The caller's id of the attempt.
        tenant: The tenant that the gateway named.
        began_s: When it began.
        ended_s: When it ended, or None.
        is_complete: Whether the whole answer was written.
    """

    attempt_id: str
    tenant: str
    began_s: float
    ended_s: float | None = None
    is_complete: bool = False


Respond: TypeAlias = Callable[
    ["Replica", Request, asyncio.StreamWriter], Awaitable[None]
]


class Replica:
    """One replica.

    Args:
        name: Its id.
        service: Its service.
        respond: Runs a request and writes the answer.
        store: The store in which it keeps its entry.
        record: Where to note its runs.
    """

    def __init__(
        self,
        name: str,
        service: str,
        respond: Respond,
        store: Store,
        record: Record,
    ) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.record = record
        self._service = service
        self._respond = respond
        self._store = store
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen, and to write the entry in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        task = asyncio.create_task(self._write_heartbeats())
        self._tasks.add(task)

    async def _write_heartbeats(self) -> None:
        port = self._server.sockets[0].getsockname()[1]
        while True:
            self._sequence += 1
            self._store.content.put(
                f"servers/{self.name}",
                {
                    "service": self._service,
                    "address": f"127.0.0.1:{port}",
                    "zone": "hall-vic",
                    "config-version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold-remaining-ms": 0,
                    "sequence": self._sequence,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Runs that are still open when the script ends are cancelled.
        ignored = (OSError, asyncio.CancelledError)
        with contextlib.closing(writer), contextlib.suppress(*ignored):
            request = await _read_request(reader)
            if request is not None:
                await self._answer(request, writer)

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.startswith("/api/report"):
            write_whole(writer, 200, {}, b'{"stage":"both","busy":false}')
        elif request.target.startswith("/health"):
            write_whole(writer, 200, {"X-Replica-Id": self.name}, b"")
        elif request.target.startswith("/api/order"):
            write_whole(writer, 200, {}, b'{"free":450000}')
        elif request.headers.get("x-expect-replica") != self.name:
            write_whole(writer, 421, {"X-Replica-Id": self.name}, b"")
        elif not request.attempt_id:
            write_whole(writer, 400, {"X-Not-Executed": "1"}, b"")
        else:
            await self._run(request, writer)
        await writer.drain()

    async def _run(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        tenant = request.headers.get("x-tenant-id", "")
        run = Run(request.attempt_id, tenant, self.record.now_s())
        self.runs.append(run)
        self.record.note(
            f"{self.name} runs {run.attempt_id} for tenant {tenant!r}"
        )
        try:
            await self._respond(self, request, writer)
            run.is_complete = True
        finally:
            run.ended_s = self.record.now_s()
            state = "is complete" if run.is_complete else "was broken off"
            self.record.note(f"{self.name}: run of {run.attempt_id} {state}")

    def make_headers(self, request: Request) -> dict[str, str]:
        """Returns the headers of a success."""
        return {
            "X-Attempt-Id": request.attempt_id,
            "X-Replica-Signature": f"{self.name}.{request.attempt_id}",
            "X-Replica-Load": "1,0,8",
        }

    def stop(self) -> None:
        """Stops listening and the heartbeats."""
        self._server.close()
        for each in self._tasks:
            each.cancel()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    parser = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                name.decode(): value.decode("latin-1")
                for name, value in head.headers
            }
            method, target = head.method.decode(), head.target.decode()
            return Request(method, target, headers, body)
        else:
            return None


def write_whole(
    writer: asyncio.StreamWriter,
    status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> None:
    """Writes an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


async def respond_plain(
    replica: Replica, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Works for 90 ms and answers with 800 bytes."""
    await asyncio.sleep(0.09)
    body = request.attempt_id.encode().ljust(800, b".")
    write_whole(writer, 200, replica.make_headers(request), body)
    await writer.drain()


def make_stream_responder(
    events: int,
    first_s: float,
    pause_s: float,
    is_writing: asyncio.Event | None = None,
) -> Respond:
    """Returns a function that answers with a stream of events.

    Args:
        events: Number of events.
        first_s: Time to the first event.
        pause_s: Pause between two events.
        is_writing: Set while events are written.
    """

    async def respond(
        replica: Replica, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        lines = ["HTTP/1.1 200 OK"]
        headers = replica.make_headers(request)
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        after = int(request.headers.get("last-event-id", "0") or 0)
        await asyncio.sleep(first_s)
        for number in range(after + 1, events + 1):
            if is_writing is not None:
                await is_writing.wait()
            event = f"id: {number}\ndata: {request.attempt_id} {number}\n\n"
            writer.write(head + f"{len(event):x}\r\n{event}\r\n".encode())
            head = b""
            await writer.drain()
            if number < events:
                await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return respond


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got for one request.

    Attributes:
        sent_s: When the request was sent.
        status: Status; 0 if there was none.
        headers: Headers by lower-case name.
        body: The body as far as it came.
        is_complete: Whether the answer came to its regular end.
        ended_s: When the answer or the connection ended.
    """

    sent_s: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0


class CallerConnection:
    """A caller's connection, on which one request is open at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes = b"",
    ) -> Answer:
        """Sends a request and reads its answer."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        answer = Answer(time.monotonic())
        try:
            await self._send(method, target, headers, body)
            await self._read(answer)
        except (OSError, h11.RemoteProtocolError):
            pass  # The connection ended, and so did the answer.
        answer.ended_s = time.monotonic()
        return answer

    async def _send(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        fields = [("Host", HOST_NAME), *headers.items()]
        if method != "GET":
            fields.append(("Content-Length", str(len(body))))
        data = self._parser.send(
            h11.Request(method=method, target=target, headers=fields)
        )
        if body:
            data += self._parser.send(h11.Data(data=body))
        self._writer.write(data + self._parser.send(h11.EndOfMessage()))
        await self._writer.drain()

    async def _read(self, answer: Answer) -> None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                return
            else:
                return

    def is_reusable(self) -> bool:
        """Returns whether the last answer leaves the connection open."""
        states = (self._parser.our_state, self._parser.their_state)
        return states == (h11.DONE, h11.DONE) and not self._reader.at_eof()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def open_connection(host: str, port: int) -> CallerConnection:
    """Connects a caller to a gateway."""
    return CallerConnection(*await asyncio.open_connection(host, port))
