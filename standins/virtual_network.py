"""In-memory streams and datagrams between virtual processes.

Data takes the latency between its nodes. A cut is a network partition: packets
are dropped without an error. Datagrams are lost; a connection hangs, and what
was sent on it meanwhile arrives when the cut heals, as TCP would retransmit it.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import random

from ruddergate import environment
from standins import virtual_process as processes

_RETRY_S = 0.2
# A slow link carries data in chunks of this size, about a few packets each.
_CHUNK_BYTES = 16_384


class CutMode(enum.Enum):
    """What a network partition does to connections.

    Attributes:
        SILENT: New connections hang, and nothing arrives on open ones.
        RESET: New connections are refused, and open ones are reset.
        REFUSED: New connections are refused, and open ones live on.
        NEW_SILENT: New connections hang, and open ones live on.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"
    NEW_SILENT = "new_silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A network partition.

    Attributes:
        on: Node or hall that is cut off.
        from_: Node or hall that it can't reach; empty for everything else.
        mode: What it does to connections.
    """

    on: str
    from_: str
    mode: CutMode = CutMode.SILENT


_HANGING_MODES = (CutMode.SILENT, CutMode.NEW_SILENT)
_REFUSING_MODES = (CutMode.RESET, CutMode.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """One-way latencies in milliseconds."""

    in_hall_ms: float = 0.2
    between_halls_ms: float = 1.5
    callers_ms: float = 1.0


class _Direction:
    """One direction of a stream: data in flight, in order."""

    def __init__(
        self,
        network: "VirtualNetwork",
        source: processes.VirtualProcess,
        sink: processes.VirtualProcess,
    ) -> None:
        self.reader: asyncio.StreamReader | None = None
        self._network = network
        self._source = source
        self._sink = sink
        self._in_flight: collections.deque[bytes] = collections.deque()
        self._is_closed = False
        self._idle_at_s = 0.0

    def find_ends(
        self,
    ) -> tuple[processes.VirtualProcess, processes.VirtualProcess]:
        """Returns the process that sends and the one that receives."""
        return self._source, self._sink

    def send(self, data: bytes) -> None:
        """Sends bytes; empty bytes mark the end of the stream."""
        latency_s = self._network.latency_s(self._source, self._sink)
        rate = self._network.link_bytes_per_s(self._source, self._sink)
        if not data or rate == math.inf:
            self._in_flight.append(data)
            self._deliver_later(latency_s + self._find_busy_s())
            return
        for start in range(0, len(data), _CHUNK_BYTES):
            chunk = data[start : start + _CHUNK_BYTES]
            now_s = asyncio.get_running_loop().time()
            self._idle_at_s = max(self._idle_at_s, now_s) + len(chunk) / rate
            self._in_flight.append(chunk)
            self._deliver_later(latency_s + self._find_busy_s())

    def _find_busy_s(self) -> float:
        """Returns how long the link is still busy with data sent before."""
        return max(0.0, self._idle_at_s - asyncio.get_running_loop().time())

    def _deliver_later(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        context = self._network.neutral_context
        loop.call_later(delay_s, self._deliver, context=context)

    def _deliver(self) -> None:
        if self._is_closed or not self._in_flight:
            return
        if self._network.is_cut(self._source, self._sink):
            self._deliver_later(_RETRY_S)
            return
        data = self._in_flight.popleft()
        if data:
            self.reader.feed_data(data)
        else:
            self._is_closed = True
            self.reader.feed_eof()

    def count_unread_bytes(self) -> int:
        """Returns the bytes that were sent and not read."""
        return sum(map(len, self._in_flight)) + len(self.reader._buffer)

    def reset(self) -> None:
        """Resets the stream: its reader raises an error."""
        if not self._is_closed:
            self._is_closed = True
            self.reader.set_exception(
                ConnectionResetError("connection reset by peer")
            )


class VirtualWriter:
    """The writing end of a stream, with the API of asyncio.StreamWriter."""

    def __init__(
        self, outgoing: _Direction, incoming: _Direction, close: Callable
    ) -> None:
        self._outgoing = outgoing
        self._incoming = incoming
        self._on_close = close
        self._is_closed = False
        self.is_broken = False

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if data and not self._is_closed and not self.is_broken:
            self._outgoing.send(bytes(data))

    def count_unread_bytes(self) -> int:
        """Returns how many bytes were written that the peer has not read."""
        return self._outgoing.count_unread_bytes()

    async def drain(self) -> None:
        """Raises if the connection was reset."""
        if self.is_broken:
            raise ConnectionResetError("connection reset by peer")

    def close(self) -> None:
        """Closes the stream."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
            if not self.is_broken:
                self._outgoing.send(b"")

    def get_extra_info(self, name: str) -> tuple[str, int] | None:
        """Returns the address of the peer; its port is not known."""
        _, peer = self.find_ends()
        return (peer.name, 0) if name == "peername" else None

    def is_closing(self) -> bool:
        """Returns whether the stream is closed."""
        return self._is_closed

    async def wait_closed(self) -> None:
        """Returns at once."""

    def find_ends(
        self,
    ) -> tuple[processes.VirtualProcess, processes.VirtualProcess]:
        """Returns the process that writes and the one that reads."""
        return self._outgoing.find_ends()

    def abort(self) -> None:
        """Resets this end of the connection, as when its peer has died."""
        self.is_broken = True
        self._incoming.reset()


class _Server:
    def __init__(self, close: Callable[[], None]) -> None:
        self.close = close


class VirtualNetwork:
    """All nodes, listeners, streams and cuts of a run.

    Attributes:
        cuts: Network partitions in force.
        slow_links: Bandwidth of a node's link in bytes a second, by the
            node's name. Each stream has this bandwidth to itself. Links that
            are not listed have unlimited bandwidth.
        neutral_context: The context in which callbacks belong to no process.
        counts_frozen_time: Whether processes' monotonic clocks count the time
            for which they are frozen.
    """

    def __init__(self, seed: int, latency: Latency) -> None:
        self.cuts: list[Cut] = []
        self.slow_links: dict[str, float] = {}
        self.neutral_context = processes.contextvars.Context()
        self.counts_frozen_time = True
        self._seed = seed
        self._latency = latency
        self._listeners: dict[environment.Address, tuple] = {}
        self._datagram_ports: dict[environment.Address, tuple] = {}
        self._writers: dict[str, set[VirtualWriter]] = {}
        self._last_sequence = 0
        self._sequence: dict[VirtualWriter, int] = {}

    def is_cut(
        self,
        one: processes.VirtualProcess,
        other: processes.VirtualProcess,
    ) -> bool:
        """Returns whether nothing sent between two nodes arrives."""
        return self._has_cut(one, other, (CutMode.SILENT,))

    def cut(self, cut: Cut) -> None:
        """Puts a cut in force; resets open streams if it is of that mode."""
        self.cuts.append(cut)
        if cut.mode is not CutMode.RESET:
            return
        separated = [
            writer
            for writers in self._writers.values()
            for writer in writers
            if _separates(cut, *writer.find_ends())
        ]
        for writer in sorted(separated, key=lambda each: self._sequence[each]):
            writer.abort()

    def _has_cut(
        self,
        one: processes.VirtualProcess,
        other: processes.VirtualProcess,
        modes: tuple[CutMode, ...],
    ) -> bool:
        return any(
            cut.mode in modes and _separates(cut, one, other)
            for cut in self.cuts
        )

    def latency_s(
        self,
        one: processes.VirtualProcess,
        other: processes.VirtualProcess,
    ) -> float:
        """Returns the one-way latency between two nodes."""
        if "" in (one.hall, other.hall):
            return self._latency.callers_ms / 1000.0
        if one.hall == other.hall:
            return self._latency.in_hall_ms / 1000.0
        return self._latency.between_halls_ms / 1000.0

    def link_bytes_per_s(
        self,
        one: processes.VirtualProcess,
        other: processes.VirtualProcess,
    ) -> float:
        """Returns the bandwidth of a stream between two nodes."""
        links = self.slow_links
        return min(
            links.get(one.name, math.inf), links.get(other.name, math.inf)
        )

    def make_environment(
        self, process: processes.VirtualProcess, incarnation: int
    ) -> environment.Environment:
        """Returns a process's environment: clocks, random numbers, network.

        Monotonic clocks of different processes are far apart, so that a bug
        that compares times of two processes shows.
        """
        loop = asyncio.get_running_loop()
        rng = random.Random(f"{self._seed} {process.name} {incarnation}")
        offset_ms = rng.randrange(1_000_000, 9_000_000)
        skew_ms = rng.uniform(-50.0, 50.0) + 1.7e12

        async def connect(
            address: environment.Address,
        ) -> environment.StreamPair:
            return await self._connect(process, address)

        async def serve(
            handler: environment.StreamHandler, address: environment.Address
        ) -> _Server:
            self._listeners[address] = (process, handler)
            return _Server(lambda: self._unlisten(process, address))

        async def bind(
            on_datagram: environment.DatagramHandler,
            address: environment.Address,
        ) -> environment.DatagramPort:
            self._datagram_ports[address] = (process, on_datagram)
            return environment.DatagramPort(
                lambda data, to: self._send_datagram(process, data, to),
                lambda: self._unbind(process, address),
            )

        def now_ms() -> float:
            frozen_s = 0.0 if self.counts_frozen_time else process.frozen_s
            return (loop.time() - frozen_s) * 1000.0 + offset_ms

        return environment.Environment(
            now_ms=now_ms,
            wall_ms=lambda: loop.time() * 1000.0 + skew_ms,
            random=rng,
            connect=connect,
            serve=serve,
            bind=bind,
        )

    def reset_node(self, process: processes.VirtualProcess) -> None:
        """Resets all streams of a node whose process was killed."""
        for address, (owner, _) in list(self._listeners.items()):
            if owner is process:
                del self._listeners[address]
        writers = self._writers.pop(process.name, set())
        for writer in sorted(writers, key=lambda each: self._sequence[each]):
            writer.abort()

    def _send_datagram(
        self,
        source: processes.VirtualProcess,
        data: bytes,
        to: environment.Address,
    ) -> None:
        sink, on_datagram = self._datagram_ports.get(to, (None, None))
        if sink is None or self.is_cut(source, sink):
            return

        async def deliver() -> None:
            on_datagram(data)

        def arrive() -> None:
            if not (sink.is_dead or sink.is_frozen):
                sink.start(deliver)

        loop = asyncio.get_running_loop()
        delay_s = self.latency_s(source, sink)
        loop.call_later(delay_s, arrive, context=self.neutral_context)

    def _unbind(
        self, process: processes.VirtualProcess, address: environment.Address
    ) -> None:
        owner, _ = self._datagram_ports.get(address, (None, None))
        if owner is process:
            del self._datagram_ports[address]

    def _unlisten(
        self, process: processes.VirtualProcess, address: environment.Address
    ) -> None:
        owner, _ = self._listeners.get(address, (None, None))
        if owner is process:
            del self._listeners[address]

    async def _connect(
        self, source: processes.VirtualProcess, address: environment.Address
    ) -> environment.StreamPair:
        owner, _ = self._listeners.get(address, (None, None))
        if owner is not None:
            await asyncio.sleep(2.0 * self.latency_s(source, owner))
            while self._has_cut(source, owner, _HANGING_MODES):
                await asyncio.sleep(_RETRY_S)
            if self._has_cut(source, owner, _REFUSING_MODES):
                raise ConnectionRefusedError(f"connection refused: {address}")
        sink, handler = self._listeners.get(address, (None, None))
        if sink is None:
            raise ConnectionRefusedError(f"connection refused: {address}")
        outbound = _Direction(self, source, sink)
        inbound = _Direction(self, sink, source)
        outbound.reader = asyncio.StreamReader()
        inbound.reader = asyncio.StreamReader()
        client_writer = self._make_writer(sink.name, outbound, inbound)
        server_writer = self._make_writer(source.name, inbound, outbound)
        sink.start(lambda: handler(outbound.reader, server_writer))
        return inbound.reader, client_writer

    def _make_writer(
        self, peer: str, outgoing: _Direction, incoming: _Direction
    ) -> VirtualWriter:
        peers = self._writers.setdefault(peer, set())
        writer = VirtualWriter(
            outgoing, incoming, lambda: self._remove_writer(peer, writer)
        )
        peers.add(writer)
        self._last_sequence += 1
        self._sequence[writer] = self._last_sequence
        return writer

    def _remove_writer(self, peer: str, writer: VirtualWriter) -> None:
        self._writers.get(peer, set()).discard(writer)
        self._sequence.pop(writer, None)


def _separates(
    cut: Cut,
    one: processes.VirtualProcess,
    other: processes.VirtualProcess,
) -> bool:
    def is_in(process: processes.VirtualProcess, name: str) -> bool:
        return name in (process.name, process.hall)

    if not cut.from_:
        return is_in(one, cut.on) != is_in(other, cut.on)
    return (is_in(one, cut.on) and is_in(other, cut.from_)) or (
        is_in(other, cut.on) and is_in(one, cut.from_)
    )
