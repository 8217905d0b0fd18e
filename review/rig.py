"""Starts gateways, a store and replicas on loopback addresses for the cases.

Only the packages of the deploy build are needed.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).parent.parent
KEY = "key-of-workspace-w1"
SIGNATURE = "X-Replica-Signature"
HOST = "service.example"
MAX_GATEWAYS = 9
HEARTBEAT_S = 1.2
# Time that the store takes for an answer.
ANSWER_S = 0.004
# Most items and bytes of values in one answer of the store.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HELD = 0
BROKEN = 1
NOT_RUN = 2


class Record:
    """The record of one case: lines with the time since its start.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Writes one line."""
        now_s = time.monotonic() - self.started_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass(slots=True)
class Incoming:
    """A request that reached a replica.

    Attributes:
        method: Its method.
        target: Path and query.
        headers: Values by lower-case name.
        body: Its body.
        at_s: When its last byte was read, on the monotonic clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float


Handle = Callable[[Incoming, asyncio.StreamWriter], Awaitable[None]]


def find_ports(count: int) -> list[int]:
    """Returns ports that are free at all addresses of gateways."""
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            first = stack.enter_context(socket.socket())
            first.bind((find_host(0), 0))
            port = first.getsockname()[1]
            with contextlib.suppress(OSError):
                for number in range(1, MAX_GATEWAYS):
                    other = stack.enter_context(socket.socket())
                    other.bind((find_host(number), port))
                ports.append(port)
        return ports


def find_host(number: int) -> str:
    """Returns the loopback address at which a gateway listens."""
    return f"127.0.0.{number + 2}"


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def make_answer(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of a response with a length."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} Status", *lines])
    return head.encode("latin-1") + b"\r\n\r\n" + body


class Replica:
    """A replica: answers health probes and orders, and hands over requests.

    Args:
        name: Id of the replica.
        handle: Answers a request that is meant for it.

    Attributes:
        name: Id of the replica.
        port: Where it listens.
        arrivals: Requests that reached it, without probes and orders.
    """

    def __init__(self, name: str, handle: Handle) -> None:
        self.name = name
        self.port = 0
        self.arrivals: list[Incoming] = []
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Ends it: its connections are reset and nothing listens any more."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length)
                incoming = Incoming(
                    method, target, head[1], body, time.monotonic()
                )
                await self._answer(incoming, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, incoming: Incoming, writer: asyncio.StreamWriter
    ) -> None:
        if incoming.target.startswith("/api/"):
            report = b'{"stage":"both","busy":false,"sequence":1}'
            fields = {"Content-Type": "application/json"}
            writer.write(make_answer(200, report, fields))
            return
        expected = incoming.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            writer.write(make_answer(421, b""))
            return
        self.arrivals.append(incoming)
        await self._handle(incoming, writer)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    key: str
    value: bytes | None

    def render(self) -> dict[str, object]:
        """Returns the change as an item or an event."""
        document = {"key": self.key, "revision": self.revision}
        if self.value is None:
            return {**document, "gone": True}
        text = base64.b64encode(self.value).decode()
        return {**document, "value": text, "made": self.revision, "lease": 0}


class Store:
    """The platform's store, with the heartbeats of the replicas.

    An answer holds at most `PAGE_ITEMS` items or events, or `PAGE_BYTES` of
    values, but always one.

    Attributes:
        port: Where it listens.
        revision: Revision of its last change.
    """

    def __init__(self) -> None:
        self.port = 0
        self.revision = 0
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._entries: dict[str, dict[str, object]] = {}
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Future | None = None

    async def start(self) -> None:
        """Starts to listen and to write heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beating = asyncio.ensure_future(self._beat())

    def put(self, key: str, document: object) -> None:
        """Writes an item."""
        self._note(key, json.dumps(document).encode())

    def remove(self, key: str) -> None:
        """Removes an item."""
        self._note(key, None)

    def put_replica(
        self,
        replica: Replica,
        service: str,
        zone: str = "hall-a",
        slots: int = 8,
    ) -> None:
        """Lists a replica."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{replica.port}",
            "zone": zone,
            "config-version": 1,
            "slots": slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 0,
        }
        self._entries[replica.name] = entry
        self.put(f"servers/{replica.name}", entry)

    def _note(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        change = _Change(self.revision, key, value)
        self._history.append(change)
        self._items[key] = change
        if value is None:
            del self._items[key]

    async def _beat(self) -> None:
        """Writes heartbeats, which change nothing but `sequence`."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._sequence += 1
            for name, entry in self._entries.items():
                key = f"servers/{name}"
                beat = {**entry, "sequence": self._sequence}
                self._items[key] = dataclasses.replace(
                    self._items[key], value=json.dumps(beat).encode()
                )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                await asyncio.sleep(ANSWER_S)
                document = (
                    self._read_range(query)
                    if path == "/api/kv-range"
                    else self._read_changes(query)
                )
                body = json.dumps(document).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(make_answer(200, body, fields))
                await writer.drain()
        writer.close()

    def _read_range(self, query: dict[str, str]) -> dict[str, object]:
        prefix = query.get("path-prefix", "")
        after = query.get("since-rev", "")
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        ]
        page = _limit(found)
        return {
            "items": [each.render() for each in page],
            "more": len(page) < len(found),
            "at": self.revision,
        }

    def _read_changes(self, query: dict[str, str]) -> dict[str, object]:
        since = int(query["since-rev"])
        prefix = query.get("path-prefix", "")
        found = [
            each
            for each in self._history
            if each.revision > since and each.key.startswith(prefix)
        ]
        page = _limit(found)
        is_all = len(page) == len(found)
        return {
            "events": [each.render() for each in page],
            "at": self.revision if is_all else page[-1].revision,
        }


def _limit(found: list[_Change]) -> list[_Change]:
    """Returns as many changes as fit into one answer."""
    page: list[_Change] = []
    size = 0
    for each in found[:PAGE_ITEMS]:
        size += len(each.value or b"")
        if page and size > PAGE_BYTES:
            break
        page.append(each)
    return page


def make_configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[str],
    tenants: dict[str, list[str]],
) -> dict[str, object]:
    """Returns a configuration."""
    return {
        "config-version": version,
        "routes": routes,
        "services": [{"name": each} for each in services],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 5_000,
            "idle-timeout-ms": 30_000,
        },
        "tenants": [
            {"name": name, "priority": 1, "api-keys": keys}
            for name, keys in tenants.items()
        ],
    }


def make_route(name: str, service: str, **fields: object) -> dict[str, object]:
    """Returns a route of a configuration; its prefix is its name."""
    route = {
        "name": name,
        "hostname": HOST,
        "path-prefix": f"/{name}/",
        "service": service,
        "route-type": "safe",
        "max-attempts": 2,
        "timeout-ms": 10_000,
        "target-latency-ms": 300,
        "priority": 1,
    }
    return {**route, **{key.replace("_", "-"): fields[key] for key in fields}}


class Gateway:
    """One gateway process, started as the deploy file does.

    Args:
        number: Its number, from 0 and below `MAX_GATEWAYS`.
        ports: Ports for callers, readiness, metrics and peers.
        store_port: Port of the store.
        folder: Folder for its log.
        hall: Its data hall.
        **bounds: More variables, names in lower case without the prefix.
    """

    def __init__(
        self,
        number: int,
        ports: list[int],
        store_port: int,
        folder: pathlib.Path,
        hall: str = "hall-a",
        **bounds: str,
    ) -> None:
        self.host = find_host(number)
        self.port = ports[0]
        self._ready_port = ports[1]
        self._log_path = folder / f"gateway-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        variables = {
            "vm_id": f"vm-{number}",
            "hall": hall,
            "listen": f"{self.host}:{ports[0]}",
            "ready_listen": f"{self.host}:{ports[1]}",
            "metrics_listen": f"{self.host}:{ports[2]}",
            "peer_listen": f"{self.host}:{ports[3]}",
            "seeds": f"{find_host(0)}:{ports[3]}",
            "store_address": f"127.0.0.1:{store_port}",
            "revoke_ms": "5000",
            "strict_revoke": "true",
            "apply_ms": "2000",
            "leave_ms": "2000",
            "retry_ratio": "0.2",
            "retry_slack": "106",
            "grace_s": "8",
            "link_mbps": "1000.0",
            "memory_mb": "300",
            **bounds,
        }
        self._environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        for name, value in variables.items():
            self._environment[f"RUDDERGATE_{name.upper()}"] = value

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/gateway.py",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=self._environment,
            )
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("a gateway did not become ready")

    async def is_ready(self) -> bool:
        """Returns whether its readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._ready_port
            )
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await read_head(reader)
            return head is not None and " 200 " in head[0]

    def send_signal(self, number: signal.Signals) -> None:
        """Sends the process a signal if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def make_request(
    request_id: str,
    target: str,
    body: bytes = b"",
    method: str = "GET",
    deadline_ms: int = 10_000,
    headers: dict[str, str] | None = None,
    key: str = KEY,
) -> bytes:
    """Returns the bytes of a client's request."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": key,
        **(headers or {}),
    }
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines])
    return head.encode("latin-1") + b"\r\n\r\n" + body


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a client got.

    Attributes:
        status: HTTP status; 0 without an answer.
        headers: Values by lower-case name.
        body: Its body as far as it came.
        is_complete: Whether the whole body came.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


NO_ANSWER = Answer(0, {}, b"", False)


async def read_answer(
    reader: asyncio.StreamReader, pace: float | None = None
) -> Answer:
    """Reads an answer.

    Args:
        reader: The connection.
        pace: Bytes a second to read at most; None for no limit.
    """
    head = await read_head(reader)
    if head is None:
        return NO_ANSWER
    status = int(head[0].split(" ")[1])
    if "content-length" in head[1]:
        body, is_complete = await _read_length(
            reader, int(head[1]["content-length"]), pace
        )
    else:
        body, is_complete = await _read_chunks(reader)
    return Answer(status, head[1], body, is_complete)


async def _read_length(
    reader: asyncio.StreamReader, length: int, pace: float | None
) -> tuple[bytes, bool]:
    body = bytearray()
    while len(body) < length:
        try:
            data = await reader.read(min(4_096, length - len(body)))
        except OSError:
            break
        if not data:
            break
        body += data
        if pace is not None:
            await asyncio.sleep(len(data) / pace)
    return bytes(body), len(body) == length


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = bytearray()
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return bytes(body), True
            body += data[:-2]
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return bytes(body), False


async def start_fleet(
    halls: Sequence[str], store: Store, folder: pathlib.Path
) -> list[Gateway]:
    """Returns gateways, one for each name of a hall, that know each other."""
    ports = find_ports(4)
    fleet = [
        Gateway(number, ports, store.port, folder, hall)
        for number, hall in enumerate(halls)
    ]
    try:
        await asyncio.gather(*(each.start() for each in fleet))
        # Peers find each other through the seed within some hundred ms.
        await asyncio.sleep(2.0)
    except BaseException:
        await end_fleet(fleet)
        raise
    return fleet


async def end_fleet(fleet: list[Gateway]) -> None:
    """Ends all gateways."""
    await asyncio.gather(*(each.end() for each in fleet))


def report_unless_cancelled(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Reports errors of callbacks; stand-ins are cancelled at the end."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def run_case(
    case_file: str,
    run: Callable[[Record, pathlib.Path], Awaitable[int]],
) -> int:
    """Runs a case; returns its exit status.

    Args:
        case_file: The file of the case; the record is written beside it.
        run: Runs it, with a folder for logs; returns its exit status.
    """
    record = Record(pathlib.Path(case_file).parent / "record.txt")

    async def run_until_signal(folder: pathlib.Path) -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # Its processes are ended, too.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.set_exception_handler(report_unless_cancelled)
        return await run(record, folder)

    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run_until_signal(pathlib.Path(folder)))
        except (Exception, asyncio.CancelledError):
            # Whatever it is, the case has not been run.
            record.note(traceback.format_exc())
            return NOT_RUN
