"""Measures a real gateway that is sent large request bodies.

`python -m standins.request_body_load` starts a store, replicas and, for each
load, one gateway process. Callers send archives to it whose bodies together
have a multiple of its memory: with their length, chunked, or slowly. Short
calls go on beside them. It prints the peak memory of the gateway, how many
short calls were served, what became of the archives, and how late the tool
itself was, which plays callers, store and replicas.
"""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import sys
import time

import cyclopts

from standins import gateway_caller
from standins import platform_replica
from standins import single_gateway
from standins import soak_caller

_HOST = "127.0.0.1"
# The default of the gateway.
_MEMORY_MB = 256
_BYTES_PER_MB = 1_000_000
_ARCHIVE_BYTES = 4_100_000
_ARCHIVE = bytes(_ARCHIVE_BYTES)
_OUTPUT_TOKENS = 4_000
# Archives are begun within this time, or that which a link of 1 Gbit/s takes
# for their bytes.
_SPREAD_S = 4.0
_LINK_BYTES_PER_S = 125_000_000
_LOOKUPS_PER_S = 40.0
_TIMEOUT_S = 14.0
_SAMPLE_S = 0.02
_CHUNK_BYTES = 65_536
_SLOW_CONNECTIONS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Archives that callers send.

    Attributes:
        name: What the table calls it.
        count: Number of archives.
        is_chunked: Whether their lengths are not announced.
        is_slow: Whether they arrive a byte a second.
    """

    name: str
    count: int
    is_chunked: bool = False
    is_slow: bool = False

    def find_spread_s(self) -> float:
        """Returns within what time the archives are begun."""
        if self.is_slow:
            return _SPREAD_S
        return max(_SPREAD_S, self.count * _ARCHIVE_BYTES / _LINK_BYTES_PER_S)


class Run:
    """The state of one run against one gateway.

    Attributes:
        port: Port of the gateway.
        archives: How often each status was received; 0 for none.
        lookups: The same for short calls.
        peak_bytes: Most memory that the gateway took.
        lag_s: Most by which a timer of this process was late.
    """

    def __init__(self, port: int, process_id: int) -> None:
        self.port = port
        self.archives: collections.Counter[int] = collections.Counter()
        self.lookups: collections.Counter[int] = collections.Counter()
        self.peak_bytes = 0
        self.lag_s = 0.0
        self._process_id = process_id

    async def sample(self) -> None:
        """Samples the gateway's memory and the lag until cancelled."""
        while True:
            used_bytes = single_gateway.read_private_bytes(self._process_id)
            self.peak_bytes = max(self.peak_bytes, used_bytes)
            due_s = time.monotonic() + _SAMPLE_S
            await asyncio.sleep(_SAMPLE_S)
            self.lag_s = max(self.lag_s, time.monotonic() - due_s)

    async def send_lookups(self, seconds: float) -> None:
        """Sends short calls at a fixed rate."""
        began_s = time.monotonic()
        calls = []
        for number in range(round(seconds * _LOOKUPS_PER_S)):
            calls.append(asyncio.ensure_future(self._send_lookup(number)))
            due_s = began_s + (number + 1) / _LOOKUPS_PER_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        await asyncio.gather(*calls)

    async def _send_lookup(self, number: int) -> None:
        caller = soak_caller.KeepAliveCaller(self.port)
        call = gateway_caller.Call(
            f"lookup-{number}", "unsafe", "", time_limit_ms=2_000.0
        )
        try:
            result = await caller.send(call)
        finally:
            caller.close()
        self.lookups[result.status if result.is_complete else 0] += 1

    async def send_archives(self, load: Load) -> None:
        """Sends all archives of a load, spread over some seconds."""
        tasks = []
        for number in range(load.count):
            tasks.append(
                asyncio.ensure_future(self._send_archive(load, number))
            )
            await asyncio.sleep(load.find_spread_s() / load.count)
        await asyncio.gather(*tasks)

    async def _send_archive(self, load: Load, number: int) -> None:
        status = 0
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                status = await self._exchange(load, number)
        except (OSError, TimeoutError, ValueError, IndexError):
            pass  # Counted as a call without a response.
        self.archives[status] += 1

    async def _exchange(self, load: Load, number: int) -> int:
        reader, writer = await asyncio.open_connection(_HOST, self.port)
        try:
            writer.write(_make_head(load, number))
            reading = asyncio.ensure_future(reader.read())
            await _write_body(writer, load, reading)
            response = await reading
            return int(response.split(b" ", 2)[1])
        finally:
            writer.close()


def _make_head(load: Load, number: int) -> bytes:
    call = gateway_caller.Call(
        f"archive-{number}",
        "short",
        "",
        prompt_tokens=5_000,
        output_tokens=_OUTPUT_TOKENS,
        time_limit_ms=_TIMEOUT_S * 1_000.0,
    )
    request = gateway_caller.make_request(call)
    framing = f"content-length: {_ARCHIVE_BYTES}"
    if load.is_chunked:
        framing = "transfer-encoding: chunked"
    lines = [
        f"POST {request.target} HTTP/1.1",
        f"host: {request.host}",
        "connection: close",
        framing,
        *(f"{name}: {value}" for name, value in request.headers.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _write_body(
    writer: asyncio.StreamWriter, load: Load, reading: asyncio.Future
) -> None:
    """Writes a body, until the response has come."""
    step = 1 if load.is_slow else _CHUNK_BYTES
    for start in range(0, _ARCHIVE_BYTES, step):
        if reading.done():
            return
        piece = _ARCHIVE[start : start + step]
        if load.is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(1.0 if load.is_slow else 0.0)
    if load.is_chunked:
        writer.write(b"0\r\n\r\n")


def _make_loads() -> list[Load]:
    loads = []
    for factor in (0.5, 1.0, 2.0, 10.0):
        count = round(factor * _MEMORY_MB * _BYTES_PER_MB / _ARCHIVE_BYTES)
        loads.append(Load(f"{factor:g} times, by length", count))
        loads.append(Load(f"{factor:g} times, chunked", count, is_chunked=True))
    slow = _SLOW_CONNECTIONS
    loads.append(Load("a byte a second, by length", slow, False, True))
    loads.append(Load("a byte a second, chunked", slow, True, True))
    return loads


async def _measure(loads: list[Load]) -> None:
    platform = await single_gateway.start_platform()
    print(
        "load | archives, answered 200, 503, other | run | peak MB | lookups | "
        "lag of the tool, ms"
    )
    for load in loads:
        async with single_gateway.run_gateway(platform.store_port) as process:
            run = Run(process.ports.callers, process.process_id)
            await _play(run, load, platform.replicas)


async def _play(
    run: Run, load: Load, replicas: Sequence[platform_replica.PlatformReplica]
) -> None:
    for replica in replicas:
        replica.runs.clear()
    sampling = asyncio.ensure_future(run.sample())
    archives = asyncio.ensure_future(run.send_archives(load))
    await run.send_lookups(load.find_spread_s() + 4.0)
    await archives
    sampling.cancel()
    begun = {
        each.request_id
        for replica in replicas
        for each in replica.runs
        if each.request_id.startswith("archive")
    }
    served, refused = run.archives[200], run.archives[503]
    other = load.count - served - refused
    lookups = run.lookups.total()
    print(
        f"{load.name} | {load.count}, {served}, {refused}, {other} | "
        f"{len(begun)} | {run.peak_bytes / _BYTES_PER_MB:.0f} | "
        f"{run.lookups[200]} of {lookups} | {run.lag_s * 1_000.0:.0f}",
        flush=True,
    )


def main(*, first: int = 1, count: int = 100) -> int:
    """Plays the loads in order.

    Args:
        first: Number of the first load, from 1.
        count: Number of loads at most.
    """
    asyncio.run(_measure(_make_loads()[first - 1 : first - 1 + count]))
    return 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
