"""Crowds of callers that send far ahead, read nothing, or never finish.

`python -m standins.caller_crowds` plays every kind of crowd against a gateway
process of its own and prints what the gateway took of its machine at most, and
how ordinary requests were answered while the crowd stayed and after it left.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import socket
import sys

import cyclopts

from standins import gateway_caller
from standins import gateway_cluster
from standins import single_gateway
from standins import soak_caller

# What a caller of a crowd holds of the responses that it does not read.
_RECEIVE_BUFFER_BYTES = 4_096
_PIECE_BYTES = 1 << 16
# A caller whose bytes are not accepted for this time sends no more, and stays.
_STALL_S = 1.0
# Pause before a caller whose connection was ended connects again.
_RETURN_S = 0.1
# How long a crowd stays after its last bytes were accepted.
_STAY_S = 1.0
_SAMPLE_S = 0.05
_ORDINARY_TIME_LIMIT_MS = 10_000.0
_MB = 1_000_000

# Returns the bytes of one more request, given a number that no other has.
MakeRequest = Callable[[int], bytes]
FindPort = Callable[[single_gateway.Ports], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that misbehave in one way.

    Attributes:
        connections: Number of their connections.
        bytes_each: Bytes that each sends at most, in whole requests.
        make_request: Returns what is sent, again and again.
        find_port: Chooses the port that they connect to.
        returns: How often each connects again when its connection has ended.
    """

    connections: int
    bytes_each: int
    make_request: MakeRequest
    find_port: FindPort = lambda ports: ports.callers
    returns: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """Limits of the gateway's machine.

    Attributes:
        memory_bytes: Memory of the machine.
        connections_max: Connections of callers that the gateway accepts.
        descriptors_max: Descriptors that the process may have open.
    """

    memory_bytes: int = 64 * _MB
    connections_max: int = 300
    descriptors_max: int = 500

    def make_flags(self) -> dict[str, str]:
        """Returns the gateway's flags."""
        return {
            "--memory-mb": str(self.memory_bytes // _MB),
            "--connections-max": str(self.connections_max),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """What one crowd did to a gateway.

    Attributes:
        is_running: Whether its process was still running after the crowd.
        memory_bytes: Its own memory and the bytes that wait in its sockets, at
            most.
        left_bytes: The same after the crowd has left.
        descriptors: Its open descriptors, at most.
        ordinary: Statuses of ordinary requests, one while the crowd stayed and
            one after it left; 0 without a whole response.
    """

    is_running: bool
    memory_bytes: int
    left_bytes: int
    descriptors: int
    ordinary: tuple[int, int]


class _Samples:
    """The most that a gateway has taken so far."""

    def __init__(self, process: single_gateway.GatewayProcess) -> None:
        self.memory_bytes = 0
        self.descriptors = 0
        self._process = process

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            self.take()
            await asyncio.sleep(_SAMPLE_S)

    def take(self) -> int:
        """Takes one sample and returns its memory."""
        memory_bytes = single_gateway.read_private_bytes(
            self._process.process_id
        ) + single_gateway.read_queued_bytes(self._process)
        self.memory_bytes = max(self.memory_bytes, memory_bytes)
        count = single_gateway.count_descriptors(self._process.process_id)
        self.descriptors = max(self.descriptors, count)
        return memory_bytes


@contextlib.asynccontextmanager
async def _start_sampled(
    machine: Machine,
) -> AsyncIterator[tuple[single_gateway.GatewayProcess, _Samples]]:
    """Runs a gateway on a machine, and samples what it takes."""
    platform = await single_gateway.start_platform()
    async with single_gateway.run_gateway(
        platform.store_port, machine.make_flags()
    ) as process:
        samples = _Samples(process)
        sampling = asyncio.ensure_future(samples.run())
        yield process, samples
        sampling.cancel()


async def play_stop(crowd: Crowd, machine: Machine) -> tuple[int, int]:
    """Stops a gateway beside a crowd.

    Returns:
        Its exit status, and the most memory that it took.
    """
    async with _start_sampled(machine) as (process, samples):
        with contextlib.ExitStack() as stack:
            await _send_all(crowd, process, stack)
            status = await process.stop()
    return status, samples.memory_bytes


async def play(crowd: Crowd, machine: Machine) -> Measured:
    """Plays a crowd against a gateway of its own."""
    async with _start_sampled(machine) as (process, samples):
        with contextlib.ExitStack() as stack:
            await _send_all(crowd, process, stack)
            await asyncio.sleep(_STAY_S)
            beside = await _send_ordinary(process.ports.callers)
        after = await _send_ordinary(process.ports.callers)
        left_bytes = samples.take()
        is_running = single_gateway.read_private_bytes(process.process_id) > 0
    return Measured(
        is_running,
        samples.memory_bytes,
        left_bytes,
        samples.descriptors,
        (beside, after),
    )


async def _send_all(
    crowd: Crowd,
    process: single_gateway.GatewayProcess,
    stack: contextlib.ExitStack,
) -> None:
    """Sends all that a crowd sends; its connections close with the stack."""
    numbers = itertools.count()
    port = crowd.find_port(process.ports)
    await asyncio.gather(
        *(
            _send_ahead(crowd, port, numbers, stack)
            for _ in range(crowd.connections)
        )
    )


async def _send_ahead(
    crowd: Crowd,
    port: int,
    numbers: Iterator[int],
    stack: contextlib.ExitStack,
) -> None:
    """Sends requests and reads nothing; the connection stays open."""
    left_bytes = crowd.bytes_each
    for _ in range(crowd.returns + 1):
        sock = stack.enter_context(socket.socket())
        try:
            await _connect(sock, port)
            while left_bytes > 0:
                piece = _make_piece(crowd, numbers, left_bytes)
                async with asyncio.timeout(_STALL_S):
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(sock, piece)
                left_bytes -= len(piece)
                # Sending does not yield while the socket accepts bytes.
                await asyncio.sleep(0.0)
            return
        except TimeoutError:
            return
        except OSError:
            sock.close()
            await asyncio.sleep(_RETURN_S)


async def _connect(sock: socket.socket, port: int) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    async with asyncio.timeout(_STALL_S):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (single_gateway.HOST, port))


def _make_piece(crowd: Crowd, numbers: Iterator[int], left_bytes: int) -> bytes:
    """Returns whole requests, about as many as one write should hold."""
    requests = []
    size = 0
    while not requests or size < min(left_bytes, _PIECE_BYTES):
        requests.append(crowd.make_request(next(numbers)))
        size += len(requests[-1])
    return b"".join(requests)


async def _send_ordinary(port: int) -> int:
    caller = soak_caller.KeepAliveCaller(port)
    call = gateway_caller.Call(
        "ordinary", "unsafe", "", time_limit_ms=_ORDINARY_TIME_LIMIT_MS
    )
    try:
        result = await caller.send(call)
    finally:
        caller.close()
    return result.status if result.is_complete else 0


def make_head(path: str, fields: dict[str, str], method: str = "POST") -> bytes:
    """Returns the head of a request; the host is always there."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {gateway_cluster.HOST}"]
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_usual_fields(number: int) -> dict[str, str]:
    """Returns the fields of an ordinary request."""
    return {
        "x-attempt-id": f"crowd-{number}",
        "x-deadline-ms": "4000",
        "x-api-key": gateway_cluster.KEY,
        "content-length": "0",
    }


def make_bare_request(number: int) -> bytes:
    """Returns a request without the usual fields."""
    del number
    return make_head("/unsafe/x", {}, "GET")


def make_unrouted_request(number: int) -> bytes:
    """Returns a request whose path no route has."""
    return make_head(f"/nowhere/{number}", make_usual_fields(number))


def make_proper_request(number: int) -> bytes:
    """Returns an ordinary request."""
    return make_head("/unsafe/x", make_usual_fields(number))


def make_stream_request(number: int) -> bytes:
    """Returns a request whose response is a stream."""
    fields = {
        **make_usual_fields(number),
        "x-model": "m",
        "x-token-usage": "200,1200",
        "x-prefix-hash": "aa:40,bb:160",
    }
    return make_head("/short/x", fields)


def make_named_request(number: int) -> bytes:
    """Returns a request with long names that no other request has."""
    name = f"{number:08x}" * 500
    fields = {
        **make_usual_fields(number),
        "x-attempt-id": name,
        "x-model": name,
    }
    return make_head(f"/unsafe/{name}", fields)


def make_page_request(number: int) -> bytes:
    """Returns a request for a page of the readiness or metrics address."""
    del number
    return make_head("/metrics", {}, "GET")


def make_many_fields(number: int) -> bytes:
    """Returns a head of small fields whose body never comes."""
    fields = {**make_usual_fields(number), "content-length": "10"}
    fields |= {f"f{index}": "x" for index in range(1_700)}
    return make_head("/unsafe/x", fields)


def make_odd_request(number: int) -> bytes:
    """Returns a request with an unusual method, field or body."""
    fields = make_usual_fields(number)
    chunked = make_head("/unsafe/x", {"transfer-encoding": "chunked"})
    odd = (
        make_head("/unsafe/x", fields, "HEAD"),
        make_head("/unsafe/x", fields, "OPTIONS"),
        make_head("/unsafe/x", {**fields, "expect": "100-continue"}),
        make_head("/unsafe/x", {**fields, "upgrade": "h2c"}),
        make_head("/unsafe/x", {**fields, "x-api-key": f"wrong-{number}"}),
        chunked + b"1\r\nx\r\n" * 20 + b"0\r\n\r\n",
        b"\r\n" + make_head("/unsafe/x", fields),
    )
    return odd[number % len(odd)]


def make_tiny_chunks(number: int) -> bytes:
    """Returns the beginning of a body in chunks of one byte."""
    del number
    head = make_head("/unsafe/x", {"transfer-encoding": "chunked"})
    return head + b"1\r\nx\r\n" * (_MB // 6)


def make_half_head(number: int) -> bytes:
    """Returns the beginning of a head."""
    return make_proper_request(number)[:40]


def make_long_half_head(number: int) -> bytes:
    """Returns a head that is nearly as long as heads may be, but its end."""
    del number
    return make_head("/unsafe/x", {"x-note": "x" * 16_000})[:-2]


def make_frame_start(number: int) -> bytes:
    """Returns the beginning of a message between peers that never ends."""
    del number
    return b"\x00\x00\x0f\xff" + b"x" * 60


def make_kinds() -> dict[str, Crowd]:
    """Returns every kind of crowd by name."""
    ready = lambda ports: ports.ready  # noqa: E731
    metrics = lambda ports: ports.metrics  # noqa: E731
    peers = lambda ports: ports.peers  # noqa: E731
    return {
        "bare requests": Crowd(16, 8 * _MB, make_bare_request),
        "unrouted requests": Crowd(16, 8 * _MB, make_unrouted_request),
        "few connections": Crowd(4, 32 * _MB, make_proper_request),
        "many connections": Crowd(200, _MB, make_unrouted_request),
        "unread streams": Crowd(16, 8 * _MB, make_stream_request),
        "long names": Crowd(16, 8 * _MB, make_named_request),
        "unread readiness checks": Crowd(16, 8 * _MB, make_page_request, ready),
        "unread metrics pages": Crowd(16, 8 * _MB, make_page_request, metrics),
        "frames without end": Crowd(100, 4 * _MB, make_frame_start, peers),
        "odd requests": Crowd(16, 8 * _MB, make_odd_request),
        "tiny chunks": Crowd(100, 1, make_tiny_chunks),
        "many fields": Crowd(200, 1, make_many_fields),
        "long heads without end": Crowd(250, 1, make_long_half_head),
        "half heads": Crowd(60, 1, make_half_head),
        "silent connections": Crowd(60, 0, make_half_head),
    }


# The kinds that keep more connections open than a gateway accepts.
OCCUPYING_KINDS = ("half heads", "silent connections")
FEW_PLACES = Machine(connections_max=40, descriptors_max=240)


def main(*, kinds: str = "") -> int:
    """Plays crowds one after the other.

    Args:
        kinds: Names of kinds, separated by commas; all if empty.
    """
    chosen = [each for each in kinds.split(",") if each] or list(make_kinds())
    print("crowd | running | peak MB | left MB | descriptors | ordinary")
    for name in chosen:
        machine = FEW_PLACES if name in OCCUPYING_KINDS else Machine()
        found = asyncio.run(play(make_kinds()[name], machine))
        print(
            f"{name} | {found.is_running} | {found.memory_bytes / _MB:.0f} | "
            f"{found.left_bytes / _MB:.0f} | {found.descriptors} | "
            f"{found.ordinary}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
