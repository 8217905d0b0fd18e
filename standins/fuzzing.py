"""Arbitrary inputs to a whole gateway in virtual time, beside sound traffic.

`python -m standins.fuzzing callers --inputs 10000 --seed 1` sends inputs at one
boundary: requests of callers, answers of targets, datagrams and connections of
peers, or items of the store. An input must not end the process or raise an
exception anywhere, nor affect another request, nor count as a success that it
is not, nor fill the memory.
"""

import asyncio
import collections
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import contextvars
import inspect
import re
import resource
import sys

import cyclopts
import h11
import hypothesis
from hypothesis import strategies
import loguru

from ruddergate import environment
from standins import fuzz_inputs
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import virtual_process

# Inputs that one run of a cluster gets.
INPUTS_PER_RUN = 25
# Memory that one run may take.
MAX_MEMORY_MB = 100.0
_VM = "vm-0"
_FUZZED_TARGET = environment.Address("fuzzed", 80)
_FUZZED_ID = re.compile(rb"x-attempt-id: fuzzed-(\d+)-", re.IGNORECASE)
_SOUND_ROUTES = ("unsafe", "short", "safe", "open")
_SOUND_INTERVAL_S = 0.1
_INPUT_INTERVAL_S = 0.05
# An input may keep its connection open for so long.
_INPUT_LIMIT_S = 0.4
_SETTLE_S = 2.5
_KB_PER_MB = 1024.0
# The default of Python.
_RECURSION_LIMIT = 1_000
_SETTINGS_KEY = "op/config"
_SETTINGS_S = 2.0


class _Run:
    """One run of a cluster with some inputs.

    Args:
        boundary: Where the inputs come from.
        inputs: The inputs.
    """

    def __init__(
        self,
        boundary: fuzz_inputs.Boundary,
        inputs: Sequence[fuzz_inputs.Input],
    ) -> None:
        self._boundary = boundary
        self._inputs = inputs
        self._cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(vms=2, halls=1, engines=3, services=2)
        )
        self._caller = gateway_caller.Caller(self._cluster)
        self._broken: list[str] = []
        self.datagrams: list[bytes] = []

    async def run(self) -> list[str]:
        """Returns a message for each violation."""
        cluster = self._cluster
        await cluster.start()
        self._record_datagrams()
        if self._boundary is fuzz_inputs.Boundary.TARGETS:
            await self._list_fuzzed_target()
        process = virtual_process.VirtualProcess("stranger", "hall-0")
        env = cluster.network.make_environment(process, 1)
        sound = asyncio.ensure_future(self._send_sound_calls())
        for number, each in enumerate(self._inputs):
            self._put_input(process, env, number, each)
            await asyncio.sleep(_INPUT_INTERVAL_S)
        await asyncio.sleep(_SETTLE_S)
        results = await sound
        for name, node in cluster.vms.items():
            if node.task.done():
                self._broken.append(f"the process of {name} has ended")
        self._broken += [
            f"{each.call.route} beside it got {each.status}"
            for each in results
            if not (each.status == 200 and each.is_complete)
        ]
        self._broken += gateway_guarantees.find_broken(cluster, results)
        return self._broken

    def _record_datagrams(self) -> None:
        """Keeps what peers send to each other, as examples."""
        network = self._cluster.network
        send = network._send_datagram

        def record(source, data, to) -> None:  # noqa: ANN001
            if len(self.datagrams) < INPUTS_PER_RUN:
                self.datagrams.append(data)
            send(source, data, to)

        network._send_datagram = record

    async def _list_fuzzed_target(self) -> None:
        cluster = self._cluster
        process = virtual_process.VirtualProcess("fuzzed", "hall-0")
        env = cluster.network.make_environment(process, 1)

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                number = _FUZZED_ID.search(head)
                if number is not None:
                    writer.write(self._inputs[int(number[1])])
                await asyncio.sleep(0.01)
            writer.close()

        await process.start(lambda: env.serve(answer, _FUZZED_TARGET))
        document = gateway_cluster.make_configuration(cluster.keys, 1)
        routes = [
            {
                **route,
                "name": f"fuzzed-{name}",
                "path-prefix": f"/fuzzed-{name}/",
            }
            for route in document["routes"]
            for name in ("short", "unsafe")
            if route["name"] == name
        ]
        for route in routes:
            route["service"] = "fuzzed"
        services = [*document["services"], {"name": "fuzzed"}]
        cluster.publish(
            routes=[*document["routes"], *routes], services=services
        )
        cluster.store.put(
            "servers/fuzzed",
            {
                "service": "fuzzed",
                "address": str(_FUZZED_TARGET),
                "zone": "hall-0",
                "slots": 8,
                "state": "ready",
            },
        )
        await asyncio.sleep(2.0)

    async def _send_sound_calls(self) -> list[gateway_caller.CallResult]:
        count = round(len(self._inputs) * _INPUT_INTERVAL_S / _SOUND_INTERVAL_S)
        calls = []
        for number in range(count + 4):
            route = _SOUND_ROUTES[number % len(_SOUND_ROUTES)]
            sizes = (500, 60) if route == "short" else (0, 0)
            call = gateway_caller.Call(f"sound-{number}", route, _VM, *sizes)
            calls.append(asyncio.ensure_future(self._caller.send(call)))
            await asyncio.sleep(_SOUND_INTERVAL_S)
        return await asyncio.gather(*calls)

    def _put_input(
        self,
        process: virtual_process.VirtualProcess,
        env: environment.Environment,
        number: int,
        each: fuzz_inputs.Input,
    ) -> None:
        match self._boundary:
            case fuzz_inputs.Boundary.CALLERS:
                address = environment.Address(_VM, gateway_cluster.FRONT_PORT)
                process.start(lambda: _write_bytes(env, address, each))
            case fuzz_inputs.Boundary.PEERS:
                address = environment.Address(_VM, gateway_cluster.PEER_PORT)
                process.start(lambda: _write_bytes(env, address, each))
                process.start(lambda: _send_datagram(env, address, each))
            case fuzz_inputs.Boundary.TARGETS:
                process.start(lambda: self._call_fuzzed(number, each))
            case fuzz_inputs.Boundary.STORE if each.key == _SETTINGS_KEY:
                self._put_settings(each.value)
            case fuzz_inputs.Boundary.STORE if each.key:
                self._cluster.store.put_bytes(each.key, each.value)
            case fuzz_inputs.Boundary.STORE:
                self._cluster.store.overrides.append(each.value)

    def _put_settings(self, value: bytes) -> None:
        """Publishes settings, and sound ones some time later.

        Only the newest settings of an answer are read, and keys are refused
        while those that are newest can't be.
        """
        cluster = self._cluster
        cluster.revision += 1
        mark = str(fuzz_inputs.REVISION_MARK).encode()
        revision = str(cluster.revision).encode()
        cluster.store.put_bytes(_SETTINGS_KEY, value.replace(mark, revision))
        asyncio.get_running_loop().call_later(
            _SETTINGS_S, cluster.publish, context=contextvars.Context()
        )

    async def _call_fuzzed(self, number: int, answer: bytes) -> None:
        for route in ("fuzzed-short", "fuzzed-unsafe"):
            call = gateway_caller.Call(
                f"fuzzed-{number}-{route}",
                route,
                _VM,
                prompt_tokens=500,
                output_tokens=60,
                time_limit_ms=300.0,
            )
            result = await self._caller.send(call)
            is_success = result.is_complete and result.status // 100 == 2
            if is_success and not _is_whole_success(answer):
                self._broken.append(f"{route} got a success from {answer!r}")


async def _write_bytes(
    env: environment.Environment, address: environment.Address, data: bytes
) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await env.connect(address)
        writer.write(data)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_INPUT_LIMIT_S):
                await reader.read()
        writer.close()


async def _send_datagram(
    env: environment.Environment, address: environment.Address, data: bytes
) -> None:
    own = environment.Address("stranger", gateway_cluster.PEER_PORT)
    port = await env.bind(lambda received: None, own)
    port.send(data, address)


def _is_whole_success(answer: bytes) -> bool:
    """Returns whether bytes begin with a whole, signed success."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method="POST", target="/", headers=[("host", "a")])
    )
    connection.send(h11.EndOfMessage())
    names: set[bytes] = set()
    status = 0
    try:
        connection.receive_data(answer)
        connection.receive_data(b"")
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                names = {name for name, _ in event.headers}
            elif isinstance(event, h11.EndOfMessage):
                return status // 100 == 2 and b"x-replica-signature" in names
            elif not isinstance(event, h11.Data | h11.InformationalResponse):
                return False
    except h11.RemoteProtocolError:
        return False


@contextlib.contextmanager
def _limit_recursion() -> Iterator[None]:
    """Lets code recurse as deeply as in a process of its own.

    `hypothesis` raises the limit while it calls a test, so that no value is too
    deeply nested for it.
    """
    before = sys.getrecursionlimit()
    sys.setrecursionlimit(len(inspect.stack(0)) + _RECURSION_LIMIT)
    try:
        yield
    finally:
        sys.setrecursionlimit(before)


def record_datagrams() -> tuple[bytes, ...]:
    """Returns datagrams that peers send to each other."""
    datagrams: list[bytes] = []

    async def run() -> None:
        inputs = [b"x"] * INPUTS_PER_RUN
        recording = _Run(fuzz_inputs.Boundary.CALLERS, inputs)
        await recording.run()
        datagrams.extend(recording.datagrams)

    virtual_process.run(run)
    return tuple(datagrams)


def fuzz(boundary: fuzz_inputs.Boundary, runs: int, seed: int) -> None:
    """Sends inputs; raises AssertionError with the smallest that violates.

    Args:
        boundary: Where the inputs come from.
        runs: Number of runs, each with up to INPUTS_PER_RUN inputs.
        seed: Seed of the inputs.
    """
    datagrams = record_datagrams()
    inputs = strategies.lists(
        fuzz_inputs.make_strategy(boundary, datagrams),
        min_size=INPUTS_PER_RUN,
        max_size=INPUTS_PER_RUN,
    )

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=runs,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(inputs)
    def check(drawn: list[fuzz_inputs.Input]) -> None:
        async def run() -> list[str]:
            return await _Run(boundary, drawn).run()

        # Of one run, as `hypothesis` keeps what it has drawn.
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with _limit_recursion():
            broken = virtual_process.run(run)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        grown_mb = (after_kb - before_kb) / _KB_PER_MB
        if grown_mb > MAX_MEMORY_MB:
            broken.append(f"the memory grew by {grown_mb:.0f} MB")
        if broken:
            raise AssertionError("; ".join(broken[:5]))

    check()


def main(
    boundary: fuzz_inputs.Boundary, *, inputs: int = 500, seed: int = 1
) -> None:
    """Sends many inputs at one boundary.

    Args:
        boundary: Where the inputs come from.
        inputs: Number of inputs, rounded up to whole runs.
        seed: Seed of the inputs.
    """
    loguru.logger.remove()
    runs = -(-inputs // INPUTS_PER_RUN)
    counts = collections.Counter({boundary.value: runs * INPUTS_PER_RUN})
    fuzz(boundary, runs, seed)
    print(f"{counts[boundary.value]} inputs of {boundary}, none broke a rule")


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
