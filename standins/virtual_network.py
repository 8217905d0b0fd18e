"""Streams in memory between virtual processes, with latency and cuts.

A cut loses messages silently: a connection hangs, and what was sent meanwhile
arrives when the cut heals, as TCP would send it again.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import random

from ruddergate import environment
from standins import virtual_process as processes

_RETRY_S = 0.2
# Bytes that a thin link carries at a time, as a few packets would be.
_PIECE_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """What is parted from what; an empty `from_` means from all else."""

    on: str
    from_: str


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """One-way latencies in milliseconds."""

    in_hall_ms: float = 0.2
    between_halls_ms: float = 1.5
    callers_ms: float = 1.0


class _Direction:
    """One direction of a stream: data on its way, in order."""

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
        self._under_way: collections.deque[bytes] = collections.deque()
        self._is_closed = False
        self._free_s = 0.0

    def send(self, data: bytes) -> None:
        """Sends bytes; empty bytes are the end of the stream."""
        latency_s = self._network.latency_s(self._source, self._sink)
        rate = self._network.link_bytes_per_s(self._source, self._sink)
        if not data or rate == math.inf:
            self._under_way.append(data)
            self._deliver_later(latency_s + self._find_wait_s())
            return
        for start in range(0, len(data), _PIECE_BYTES):
            piece = data[start : start + _PIECE_BYTES]
            now_s = asyncio.get_running_loop().time()
            self._free_s = max(self._free_s, now_s) + len(piece) / rate
            self._under_way.append(piece)
            self._deliver_later(latency_s + self._find_wait_s())

    def _find_wait_s(self) -> float:
        """Returns how long the link still carries what was sent before."""
        return max(0.0, self._free_s - asyncio.get_running_loop().time())

    def _deliver_later(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        context = self._network.neutral_context
        loop.call_later(delay_s, self._deliver, context=context)

    def _deliver(self) -> None:
        if self._is_closed or not self._under_way:
            return
        if self._network.is_cut(self._source, self._sink):
            self._deliver_later(_RETRY_S)
            return
        data = self._under_way.popleft()
        if data:
            self.reader.feed_data(data)
        else:
            self._is_closed = True
            self.reader.feed_eof()

    def reset(self) -> None:
        """Breaks the stream off."""
        if not self._is_closed:
            self._is_closed = True
            self.reader.set_exception(ConnectionResetError("peer is gone"))


class VirtualWriter:
    """The writing end of a stream, as asyncio.StreamWriter has it."""

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

    async def drain(self) -> None:
        """Raises if the peer is gone."""
        if self.is_broken:
            raise ConnectionResetError("peer is gone")

    def close(self) -> None:
        """Ends the stream."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
            if not self.is_broken:
                self._outgoing.send(b"")

    def is_closing(self) -> bool:
        """Returns whether the stream is ended."""
        return self._is_closed

    async def wait_closed(self) -> None:
        """Returns at once."""

    def abort(self) -> None:
        """Lets this end see that its peer is gone."""
        self.is_broken = True
        self._incoming.reset()


class _Server:
    def __init__(self, close: Callable[[], None]) -> None:
        self.close = close


class VirtualNetwork:
    """All nodes, listeners, streams and cuts of a run.

    Attributes:
        cuts: What is parted now.
        thin_links: Bytes a second of a node's link, by the node's name; each
            stream has them by itself. Other links carry all at once.
        neutral: The context in which nothing belongs to a node.
        counts_sleep: Whether processes' clocks count the time for which they
            stand still.
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
        self._order = 0
        self._began: dict[VirtualWriter, int] = {}

    def is_cut(
        self,
        one: processes.VirtualProcess,
        other: processes.VirtualProcess,
    ) -> bool:
        """Returns whether two nodes can't reach each other."""
        return any(_parts(cut, one, other) for cut in self.cuts)

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
        """Returns what a stream between two nodes carries a second."""
        links = self.slow_links
        return min(
            links.get(one.name, math.inf), links.get(other.name, math.inf)
        )

    def make_environment(
        self, process: processes.VirtualProcess, incarnation: int
    ) -> environment.Environment:
        """Returns the outside world of a process.

        Monotonic clocks of different processes are far apart, so that a time
        of one that is taken for a time of another shows.
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
            take: environment.DatagramHandler, address: environment.Address
        ) -> environment.DatagramPort:
            self._datagram_ports[address] = (process, take)
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
        """Breaks off all streams of a node whose process was killed."""
        for address, (owner, _) in list(self._listeners.items()):
            if owner is process:
                del self._listeners[address]
        writers = self._writers.pop(process.name, set())
        for writer in sorted(writers, key=lambda each: self._began[each]):
            writer.abort()

    def _send_datagram(
        self,
        source: processes.VirtualProcess,
        data: bytes,
        to: environment.Address,
    ) -> None:
        sink, take = self._datagram_ports.get(to, (None, None))
        if sink is None or self.is_cut(source, sink):
            return

        async def deliver() -> None:
            take(data)

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
            while self.is_cut(source, owner):
                await asyncio.sleep(_RETRY_S)
        sink, handler = self._listeners.get(address, (None, None))
        if sink is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        forth = _Direction(self, source, sink)
        back = _Direction(self, sink, source)
        forth.reader = asyncio.StreamReader()
        back.reader = asyncio.StreamReader()
        near = self._make_writer(sink.name, forth, back)
        far = self._make_writer(source.name, back, forth)
        sink.start(lambda: handler(forth.reader, far))
        return back.reader, near

    def _make_writer(
        self, peer: str, outgoing: _Direction, incoming: _Direction
    ) -> VirtualWriter:
        peers = self._writers.setdefault(peer, set())
        writer = VirtualWriter(
            outgoing, incoming, lambda: self._forget(peer, writer)
        )
        peers.add(writer)
        self._order += 1
        self._began[writer] = self._order
        return writer

    def _forget(self, peer: str, writer: VirtualWriter) -> None:
        self._writers.get(peer, set()).discard(writer)
        self._began.pop(writer, None)


def _parts(
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
