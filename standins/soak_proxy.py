"""A TCP proxy on loopback that simulates network faults."""

import asyncio
import contextlib
import enum
import time


class Mode(enum.Enum):
    """What the proxy does with the bytes of its connections.

    Attributes:
        FORWARD: Forwards them at once.
        DELAY: Forwards each chunk 0.15 s later.
        STALL: Holds back both directions.
        STALL_REQUESTS: Holds back bytes to the upstream server.
        STALL_RESPONSES: Holds back bytes to the client.
    """

    FORWARD = "pass"
    DELAY = "delay"
    STALL = "silence"
    STALL_REQUESTS = "cut_forth"
    STALL_RESPONSES = "cut_back"


_DELAY_S = 0.15
_READ_BYTES = 1 << 16
_POLL_S = 0.02


class Proxy:
    """Forwards connections to one address.

    Attributes:
        mode: What it does with the bytes of connections.
        port: Port at which it listens.
        disruptions: When it held bytes back or reset connections, from one time
            to another on the monotonic clock.
    """

    def __init__(self, upstream_port: int, host: str = "127.0.0.1") -> None:
        self.mode = Mode.FORWARD
        self.port = 0
        self.disruptions: list[tuple[float, float]] = []
        self._upstream_port = upstream_port
        self._host = host
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen at a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1")
        self.port = self._server.sockets[0].getsockname()[1]

    def set_upstream_port(self, port: int) -> None:
        """Sets the port to which new connections go."""
        self._upstream_port = port

    async def disrupt(self, mode: Mode, duration_s: float) -> None:
        """Disrupts its connections for a time."""
        from_s = time.monotonic()
        self.mode = mode
        try:
            await asyncio.sleep(duration_s)
        finally:
            self.mode = Mode.FORWARD
            self.disruptions.append((from_s, time.monotonic()))

    def reset_connections(self) -> None:
        """Resets every open connection."""
        self.disruptions.append((time.monotonic(), time.monotonic()))
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stops listening and resets every open connection."""
        self._server.close()
        self.reset_connections()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, self._upstream_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer, Mode.STALL_REQUESTS),
                self._copy(upstream_reader, writer, Mode.STALL_RESPONSES),
            )
        finally:
            self._writers -= {writer, upstream_writer}
            writer.close()
            upstream_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stalling_mode: Mode,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                while self.mode in (Mode.STALL, stalling_mode):
                    await asyncio.sleep(_POLL_S)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
            return
        # One side was reset, so the other must see a reset and not a clean end.
        writer.transport.abort()
