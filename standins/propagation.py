"""Measures how late gateways act on what the store publishes.

`python -m standins.propagation storm deep-slots-1000` starts a store, targets
and four gateways in two halls as real processes for each disruption, see
store_disruptions. Then a route is added, an API key is removed and a target
drains, and callers of each gateway see when that is in force. `--root` runs the
gateways of another checkout, to compare releases.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from standins import _private
from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica
from standins import platform_store
from standins import soak_caller
from standins import store_disruptions

_ROOT = pathlib.Path(__file__).parent.parent
_HOST = "127.0.0.1"
_HALLS = ("hall-0", "hall-0", "hall-1", "hall-1")
_SERVICES = 4
_REMOVED_KEY = "removed-key"
_NEW_ROUTE = "added"
_START_S = 4.0
_WATCH_S = 9.0
_CALL_INTERVAL_S = 0.1
# As a platform does with processes that end.
_RESTART_DELAY_S = 0.5
# Statuses that only the state before a change allows.
_OLD_STATUSES: Mapping[str, Sequence[int]] = {
    "route": (401, 403, 404),
    "key": (200,),
}
# A bound applies to what a caller sends after it.
_BOUNDS_S: Mapping[str, float] = {"route": 2.0, "key": 5.0, "target": 2.0}


@dataclasses.dataclass(slots=True)
class Vm:
    """One gateway.

    Attributes:
        number: Its number.
        ports: Ports for callers, readiness, metrics and peers.
        store_port: Port at which it reaches the store.
        process: Its process.
        exits: How often the process ended by itself.
        find_failure: Returns how a call of this VM to the store fails, or an
            empty text.
    """

    number: int
    ports: tuple[int, int, int, int]
    store_port: int
    process: asyncio.subprocess.Process | None = None
    exits: int = 0
    find_failure: Callable[[], str] = lambda: ""


class Run:
    """One run.

    Args:
        root: Checkout whose gateways are started.
        folder: Folder for their logs.
        seed: Seed of random numbers.

    Attributes:
        rng: Random numbers of the disruption.
        store: The store.
        vms: The gateways.
        revision: Revision of the configuration.
        keys: API keys by workspace.
        changes: Fields that replace those of the configuration.
        unread_depth: Depth of a field of each route that gateways don't read.
        late: Latest time after each change at which a caller of a VM saw the
            state before it, in seconds, by kind of change and VM.
        failed: Number of calls with a valid key that failed, by VM and status.
        valid: Number of calls with a valid key.
    """

    def __init__(
        self, root: pathlib.Path, folder: pathlib.Path, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.store = platform_store.PlatformStore()
        self.vms: list[Vm] = []
        self.revision = 0
        self.keys = {"w1": [gateway_cluster.KEY], "w2": [_REMOVED_KEY]}
        self.changes: dict[str, object] = {}
        self.unread_depth = 0
        self.late: dict[tuple[str, int], float] = {}
        self.failed: dict[tuple[int, int], int] = {}
        self.valid = 0
        self._root = root
        self._folder = folder
        self._env = environment.make_system_environment()
        self._replicas: list[platform_replica.PlatformReplica] = []
        self._addresses: list[str] = []
        self._drained = -1
        self._changed_s: float | None = None
        self._tasks: list[asyncio.Future] = []
        self._is_ending = False

    async def play(
        self, disruption: Callable[["Run"], Awaitable[None]]
    ) -> None:
        """Plays a disruption, with the changes after it."""
        try:
            await self._start()
            calls = asyncio.ensure_future(self._send_calls())
            self._tasks.append(calls)
            await asyncio.sleep(1.0)
            await disruption(self)
            self._publish_changes()
            await asyncio.sleep(_WATCH_S)
        finally:
            await self._end()
        self._read_arrivals()

    def publish(self) -> None:
        """Publishes the next revision of the configuration."""
        self.revision += 1
        document = gateway_cluster.make_configuration(self.keys, self.revision)
        value = orjson.dumps({**document, **self.changes})
        if self.unread_depth:
            nested = b"[" * self.unread_depth + b"]" * self.unread_depth
            value = value.replace(b'"hostname"', b'"x":%b,"hostname"' % nested)
        self.store.put_bytes("op/config", value)

    def send_signal(self, number: int, signum: signal.Signals) -> None:
        """Sends a signal to a gateway that this run started."""
        process = self.vms[number].process
        if process is not None and process.returncode is None:
            process.send_signal(signum)

    def _publish_changes(self) -> None:
        document = gateway_cluster.make_configuration(self.keys, 1)
        routes = self.changes.get("routes", document["routes"])
        safe = next(each for each in routes if each["name"] == "safe")
        added = {**safe, "name": _NEW_ROUTE, "path-prefix": f"/{_NEW_ROUTE}/"}
        self.changes["routes"] = [*routes, added]
        self.keys.pop("w2")
        self.publish()
        self._drained = 0
        self._list_targets()
        self._changed_s = time.monotonic()

    async def _start(self) -> None:
        """Starts everything and waits until the gateways know each other."""
        for number in range(_SERVICES):
            await self._start_target(number)
        self.publish()
        self._list_targets()
        for number in range(len(_HALLS)):
            ports = tuple(_private.find_free_port() for _ in range(4))
            self.vms.append(Vm(number, ports, _private.find_free_port()))
            await self._serve_store(self.vms[-1])
        self._tasks += [
            asyncio.ensure_future(self._keep_running(vm)) for vm in self.vms
        ]
        self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))
        await asyncio.sleep(_START_S)

    async def _start_target(self, number: int) -> None:
        replica = platform_replica.PlatformReplica(
            f"service-{number}", self._env, None, {}
        )
        address = environment.Address(_HOST, _private.find_free_port())
        await self._env.serve(replica.make_handler(), address)
        self._replicas.append(replica)
        self._addresses.append(str(address))

    async def _serve_store(self, vm: Vm) -> None:
        """Serves the store at a port of its own for each VM."""

        async def handle(incoming: message.IncomingRequest) -> message.Response:
            return await self.store.answer(incoming, vm.find_failure())

        handler = server.make_stream_handler(handle, server.Limits())
        address = environment.Address(_HOST, vm.store_port)
        await self._env.serve(handler, address)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(gateway_cluster.HEARTBEAT_S)
            self._list_targets()

    def _list_targets(self) -> None:
        for number, replica in enumerate(self._replicas):
            is_drained = number == self._drained
            self.store.put(
                f"servers/{replica.name}",
                {
                    "service": "notices",
                    "address": self._addresses[number],
                    "zone": _HALLS[number],
                    "slots": 8,
                    "state": "draining" if is_drained else "ready",
                    "sequence": round(time.monotonic() * 1_000.0),
                },
            )

    async def _keep_running(self, vm: Vm) -> None:
        """Starts a gateway again whenever it ends."""
        while True:
            vm.process = await self._start_gateway(vm)
            status = await vm.process.wait()
            if self._is_ending:
                return
            vm.exits += status != -signal.SIGKILL
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _start_gateway(self, vm: Vm) -> asyncio.subprocess.Process:
        program = str(self._root / "deploy" / "gateway.py")
        log_path = self._folder / f"gateway-{vm.number}.log"
        with log_path.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                program,
                *self._make_arguments(vm),
                stdout=log,
                stderr=log,
                cwd=self._root,
            )

    def _make_arguments(self, vm: Vm) -> list[str]:
        caller_port, ready, metrics, _ = vm.ports
        # A seed has the same port as the VMs that use it.
        peers = self.vms[0].ports[3]
        flags = {
            "--vm-id": f"vm-{vm.number}",
            "--hall": _HALLS[vm.number],
            "--listen": f"{_HOST}:{caller_port}",
            "--ready-listen": f"{_HOST}:{ready}",
            "--metrics-listen": f"{_HOST}:{metrics}",
            "--peer-listen": f"127.0.2.{vm.number + 1}:{peers}",
            "--seeds": f"127.0.2.1:{peers}",
            "--store-address": f"{_HOST}:{vm.store_port}",
            "--strict-revoke": "true",
        }
        return [text for pair in flags.items() for text in pair]

    async def _end(self) -> None:
        self._is_ending = True
        for vm in self.vms:
            self.send_signal(vm.number, signal.SIGCONT)
            self.send_signal(vm.number, signal.SIGKILL)
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None:
                await vm.process.wait()

    async def _send_calls(self) -> None:
        number = 0
        calls: set[asyncio.Future] = set()
        while True:
            for vm in self.vms:
                number += 1
                for kind in ("valid", "route", "key"):
                    call = asyncio.ensure_future(self._call(vm, kind, number))
                    calls.add(call)
                    call.add_done_callback(calls.discard)
            await asyncio.sleep(_CALL_INTERVAL_S)

    async def _call(self, vm: Vm, kind: str, number: int) -> None:
        changed_s = self._changed_s
        if kind == "route" and changed_s is None:
            return
        sent_s = time.monotonic()
        call = gateway_caller.Call(
            f"{kind}-{vm.number}-{number}",
            _NEW_ROUTE if kind == "route" else "safe",
            "",
            key=_REMOVED_KEY if kind == "key" else gateway_cluster.KEY,
            time_limit_ms=2_000.0,
        )
        caller = soak_caller.KeepAliveCaller(vm.ports[0])
        result = await caller.send(call)
        caller.close()
        if self._is_ending:
            return
        if kind == "valid":
            self.valid += 1
            if result.status != 200:
                key = (vm.number, result.status)
                self.failed[key] = self.failed.get(key, 0) + 1
            return
        if changed_s is None:
            return
        is_old = result.status in _OLD_STATUSES[kind]
        if is_old:
            self._note_late(kind, vm.number, sent_s - changed_s)

    def _note_late(self, kind: str, vm: int, late_s: float) -> None:
        key = (kind, vm)
        self.late[key] = max(late_s, self.late.get(key, 0.0))

    def _read_arrivals(self) -> None:
        for arrival in self._replicas[0].arrivals:
            late_s = arrival.at_s - self._changed_s
            if late_s > 0.0:
                vm = int(arrival.request_id.split("-")[1])
                self._note_late("target", vm, late_s)

    def describe(self) -> str:
        """Returns a line with the result."""
        shown = []
        for kind, bound_s in _BOUNDS_S.items():
            times = [self.late.get((kind, vm.number), 0.0) for vm in self.vms]
            mark = "!" if max(times) > bound_s else " "
            shown.append(
                f"{kind}{mark}" + "/".join(f"{each:.1f}" for each in times)
            )
        exits = sum(vm.exits for vm in self.vms)
        return (
            f"{'  '.join(shown)}  valid {self.valid} failed {self.failed} "
            f"exits {exits} calls {self.store.calls}"
        )


def main(
    *names: str,
    root: pathlib.Path = _ROOT,
    seed: int = 1,
    keep: pathlib.Path | None = None,
) -> None:
    """Plays disruptions, all of them without names.

    Args:
        names: Names of disruptions.
        root: Checkout whose gateways are started.
        seed: Seed of random numbers.
        keep: Folder in which the logs of the gateways are kept.
    """
    for name in names or store_disruptions.BY_NAME:
        with tempfile.TemporaryDirectory() as temporary:
            folder = (keep or pathlib.Path(temporary)) / name
            folder.mkdir(parents=True, exist_ok=True)
            run = Run(root.resolve(), folder, seed)
            asyncio.run(run.play(store_disruptions.BY_NAME[name]))
            print(f"{name:16} {run.describe()}", flush=True)


if __name__ == "__main__":
    cyclopts.run(main)
