"""Starts the product's programs and the fakes as real processes."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import h11

from standins import _private

PEER_KEY = "a-key-for-the-demo-only"
_READY_TIMEOUT_S = 20.0
_HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        headers: Headers by lower-case name.
        body: Body as far as it was received.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Returns the body as JSON."""
        return json.loads(self.body)


class Processes:
    """Processes of one run on loopback; `close` ends all of them.

    Attributes:
        entries: Ports of the entries by VM.
        ports: Ports of the fakes by name.
    """

    def __init__(self, tree: pathlib.Path) -> None:
        self.entries: dict[str, int] = {}
        self.ports: dict[str, int] = {}
        self._tree = tree
        self._processes: dict[str, subprocess.Popen] = {}
        self._vm_rows: dict[str, dict] = {}
        self._temporary_folder = tempfile.TemporaryDirectory()
        self._log_folder = pathlib.Path(self._temporary_folder.name)

    def start_platform(
        self,
        pools: dict[str, str],
        vms: dict[str, str],
        *engine_settings: str,
    ) -> None:
        """Starts targets, the configuration service and the VM list.

        Args:
            pools: Pool of each target by its name; a name that begins with
                `engine` is an engine, any other a plain service.
            vms: Hall of each VM by its name.
            engine_settings: Additional flags of the engines.
        """
        targets = []
        for name, pool in pools.items():
            port = self.ports[name] = _private.find_free_port()
            kind = "engine" if name.startswith("engine") else "service"
            extra = engine_settings if kind == "engine" else ()
            self._start_standin(name, kind, port, *extra)
            row = {"id": name, "pool": pool, "hall": "hall-1", "port": port}
            targets.append({**row, "host": _HOST, "state": "live"})
        for name, hall in vms.items():
            self._vm_rows[name] = _make_vm_row(name, hall)
        listing = self._log_folder / "listing.json"
        rows = {"vms": list(self._vm_rows.values()), "targets": targets}
        listing.write_text(json.dumps(rows))
        port = self.ports["configuration"] = _private.find_free_port()
        self._start_standin(
            "configuration", "configuration", port, f"--tree={self._tree}"
        )
        port = self.ports["vm-list"] = _private.find_free_port()
        self._start_standin("vm-list", "vm_list", port, f"--listing={listing}")

    def start_vm(self, name: str, **settings: str) -> None:
        """Starts the agent and the entry of a listed VM."""
        self.start_agent(name)
        self.start_entry(name, **settings)

    def start_agent(self, name: str, **settings: str) -> None:
        """Starts the agent of a listed VM."""
        row = self._vm_rows[name]
        self._start_program(
            f"agent {name}",
            "ruddergate-agent",
            row,
            feed_listen=f"{_HOST}:{row['feed_port']}",
            peer_listen=f"{_HOST}:{row['agent_peer_port']}",
            configuration=f"{_HOST}:{self.ports['configuration']}",
            vm_list=f"{_HOST}:{self.ports['vm-list']}",
            **settings,
        )

    def start_entry(self, name: str, **settings: str) -> None:
        """Starts the entry of a listed VM."""
        row = self._vm_rows[name]
        self.entries[name] = row["entry_port"]
        self._start_program(
            f"entry {name}",
            "ruddergate-entry",
            row,
            listen=f"{_HOST}:{row['entry_port']}",
            peer_listen=f"{_HOST}:{row['entry_peer_port']}",
            agent=f"{_HOST}:{row['feed_port']}",
            **settings,
        )

    def wait_ready(self) -> None:
        """Waits until all entries are ready and know their targets."""
        until_s = time.monotonic() + _READY_TIMEOUT_S
        waiting = set(self.entries)
        while waiting:
            if time.monotonic() > until_s:
                raise TimeoutError(
                    f"entries not ready: {waiting}; {self.read_logs()}"
                )
            for name in list(waiting):
                if self._is_ready(name):
                    waiting.discard(name)
            time.sleep(0.05)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this run."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = 30.0) -> int:
        """Waits for a process to end and returns its exit status."""
        return self._processes[name].wait(timeout_s)

    def measure_cpu_s(self, name: str) -> float:
        """Returns the CPU time that a process has used."""
        stat = pathlib.Path(f"/proc/{self._processes[name].pid}/stat")
        fields = stat.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def measure_memory_mb(self, name: str) -> float:
        """Returns the resident memory of a process in megabytes."""
        statm = pathlib.Path(f"/proc/{self._processes[name].pid}/statm")
        pages = int(statm.read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def is_running(self, name: str) -> bool:
        """Returns whether a process still runs."""
        return self._processes[name].poll() is None

    def read_logs(self) -> str:
        """Returns the last 2000 characters of each process's log."""
        files = sorted(self._log_folder.glob("*.log"))
        return "\n".join(each.read_text()[-2000:] for each in files)

    def read_log(self, name: str) -> str:
        """Returns the log of one process."""
        return (self._log_folder / f"{name}.log").read_text()

    def close(self) -> None:
        """Terminates all processes, and kills those that don't end in 10 s."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes.values():
            try:
                process.wait(10.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._temporary_folder.cleanup()

    def _is_ready(self, name: str) -> bool:
        reply = send_request(self.entries[name], "GET", "/readyz")
        if reply.status != 200:
            return False
        status = send_request(self.entries[name], "GET", "/status").json()
        return bool(status["targets"])

    def _start_standin(
        self, name: str, module: str, port: int, *extra: str
    ) -> None:
        command = [sys.executable, "-m", f"standins.{module}"]
        self._start(name, [*command, f"--listen={_HOST}:{port}", *extra], {})

    def _start_program(
        self, name: str, program: str, row: dict, **settings: str
    ) -> None:
        # Settings are passed as environment variables here; the README passes
        # them as flags.
        settings = {
            "vm_id": row["id"],
            "hall": row["hall"],
            "peer_key": PEER_KEY,
            **settings,
        }
        variables = {
            f"RUDDERGATE_{key.upper()}": value
            for key, value in settings.items()
        }
        path = pathlib.Path(sys.executable).with_name(program)
        self._start(name, [str(path)], variables)

    def _start(
        self, name: str, command: list[str], variables: dict[str, str]
    ) -> None:
        with open(self._log_folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
                cwd=pathlib.Path(__file__).parent.parent,
            )


def _make_vm_row(name: str, hall: str) -> dict:
    ports = {
        key: _private.find_free_port()
        for key in (
            "entry_port",
            "entry_peer_port",
            "agent_peer_port",
            "feed_port",
        )
    }
    return {"id": name, "hall": hall, "host": _HOST, "state": "live", **ports}


def send_request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 60.0,
) -> Reply:
    """Sends one request on loopback and returns the whole response."""
    connection = h11.Connection(h11.CLIENT)
    fields = {
        "host": _HOST,
        "content-length": str(len(body)),
        **(headers or {}),
    }
    head = h11.Request(method=method, target=path, headers=list(fields.items()))
    data = connection.send(head)
    data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    try:
        with socket.create_connection((_HOST, port), timeout_s) as stream:
            stream.sendall(data)
            return _read_reply(connection, stream)
    except OSError:
        return Reply(0, {}, b"")


def _read_reply(connection: h11.Connection, stream: socket.socket) -> Reply:
    status, fields, body = 0, {}, bytearray()
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return Reply(0, fields, bytes(body))
        if event is h11.NEED_DATA:
            connection.receive_data(stream.recv(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
            fields = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, fields, bytes(body))
        else:
            return Reply(0, fields, bytes(body))
