"""The open connections of a server, and what their callers hold of its memory.

Each connection may hold some bytes: parts of requests, requests that were sent
ahead, and responses that nobody reads. All of them together are bounded, and so
is the number of connections: where they exceed a limit, those that hold most,
or that have sent no request for longest, are ended.
"""

import asyncio
from collections.abc import Callable
import enum
import time

from ruddergate import environment

DEFAULT_LIMIT_BYTES = 32_000_000
# Fraction of a VM's memory that connections may hold.
MEMORY_FRACTION = 0.15
# What any connection may hold while ended ones still hold theirs.
_SMALL_BYTES = 1 << 14
# No connection is ended to make room for others before it is as old as this:
# callers send their requests right after connecting.
_PLACE_GRACE_S = 0.5


class Part(enum.Enum):
    """What a connection holds memory for."""

    HEAD = "head"
    AHEAD = "ahead"
    UNSENT = "unsent"


class Cause(enum.Enum):
    """Why a connection is ended."""

    MEMORY = "memory"
    PLACE = "place"


class Connections:
    """Tracks the open connections of a server; `len` returns their number.

    Args:
        limit_bytes: Memory that all connections together may hold.
        on_end: Called with each connection that is ended for a limit.
        clock: Returns the time in seconds.
        keeps_idle: Whether connections that had an answer keep their places
            while they are idle.

    Attributes:
        limit_bytes: The same.
        held_bytes: Memory that they hold now.
    """

    def __init__(
        self,
        limit_bytes: float = DEFAULT_LIMIT_BYTES,
        on_end: Callable[["Connection"], None] = lambda connection: None,
        clock: Callable[[], float] = time.monotonic,
        keeps_idle: bool = True,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.clock = clock
        self._on_end = on_end
        self._keeps_idle = keeps_idle
        # In the order in which they were opened.
        self._open: dict[Connection, None] = {}
        self._idle: set[Connection] = set()
        self._replaceable: dict[Connection, None] = {}
        # Those that hold memory and are not ended.
        self._holding: set[Connection] = set()
        self._ended = 0
        # What ended connections still hold.
        self._ending_bytes = 0

    def __len__(self) -> int:
        return len(self._open)

    def open(self, writer: asyncio.StreamWriter) -> "Connection":
        """Returns a new connection, which must be closed."""
        connection = Connection(self, writer)
        self._open[connection] = None
        self._idle.add(connection)
        self._replaceable[connection] = None
        return connection

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in self._idle:
            connection.writer.close()

    def count_lasting(self) -> int:
        """Returns how many connections are not ended to make room."""
        return len(self._open) - self._ended - len(self._replaceable)

    def make_room(self, connections_max: int) -> bool:
        """Ends one connection if there are too many.

        Returns:
            Whether there is room for all that are open.
        """
        if len(self._open) - self._ended <= connections_max:
            return True
        oldest = next(iter(self._replaceable), None)
        if oldest is None or oldest.find_age_s() < _PLACE_GRACE_S:
            return False
        self._end(oldest, Cause.PLACE)
        return True

    def update(self, connection: "Connection") -> None:
        """Applies the state of a connection that has changed."""
        _set_member(self._idle, connection, connection.is_idle)
        if (
            (connection.is_proven and self._keeps_idle)
            or connection.is_handled
            or connection.cause is not None
        ):
            self._replaceable.pop(connection, None)
        else:
            self._replaceable.setdefault(connection)

    def add(self, size: int, connection: "Connection") -> None:
        """Counts bytes that a connection holds in addition."""
        self.held_bytes += size
        _set_member(self._holding, connection, connection.held_bytes > 0)
        if size <= 0:
            return
        # One that is alone is not ended, as it could never be served.
        while self._count_active() > max(
            self.limit_bytes, connection.held_bytes
        ):
            self._end(self._find_heaviest(), Cause.MEMORY)
        # Ended connections release their memory a little later, and this one
        # does at once.
        if (
            connection.cause is None
            and connection.held_bytes > _SMALL_BYTES
            and self.held_bytes
            > max(2.0 * self.limit_bytes, connection.held_bytes)
        ):
            self._end(connection, Cause.MEMORY)

    def _find_heaviest(self) -> "Connection":
        """Returns one of those that hold most: the one stuck for longest."""
        for connection in list(self._holding):
            connection.refresh()
        return max(self._holding, key=_rank)

    def _count_active(self) -> int:
        return self.held_bytes - self._ending_bytes

    def release(self, connection: "Connection") -> None:
        """Stops counting what a connection holds."""
        self.held_bytes -= connection.held_bytes
        if connection.cause is not None:
            self._ending_bytes -= connection.held_bytes
        self._holding.discard(connection)

    def remove(self, connection: "Connection") -> None:
        """Stops tracking a connection."""
        self._open.pop(connection, None)
        self._idle.discard(connection)
        self._replaceable.pop(connection, None)
        self._ended -= connection.cause is not None

    def _end(self, connection: "Connection", cause: Cause) -> None:
        connection.cause = cause
        self._ended += 1
        self._ending_bytes += connection.held_bytes
        self._holding.discard(connection)
        self._replaceable.pop(connection, None)
        self._on_end(connection)
        connection.stop()


class Connection:
    """One open connection; see `Connections.open`.

    Attributes:
        writer: Its stream.
        cause: Why it is ended; None if it isn't.
        stop: Called when it is ended; stops what is done for it.
        is_idle: Whether it has no request in progress.
        is_handled: Whether a request of it is being answered.
        is_proven: Whether a request of it was answered, and not rejected.
    """

    def __init__(
        self, connections: Connections, writer: asyncio.StreamWriter
    ) -> None:
        self.writer = writer
        self.cause: Cause | None = None
        self.stop: Callable[[], None] = writer.close
        self.is_idle = True
        self.is_handled = False
        self.is_proven = False
        self._connections = connections
        self._held: dict[Part, int] = {}
        self._progressed_s = connections.clock()

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds."""
        return sum(self._held.values())

    def hold(self, part: Part, size: int) -> None:
        """Sets what it holds, which may end this connection or others."""
        if self.cause is not None:
            return
        added = size - self._held.get(part, 0)
        if added:
            self._held[part] = size
            self._connections.add(added, self)

    def refresh(self) -> None:
        """Records what its caller has taken of a response meanwhile."""
        before = self._held.get(Part.UNSENT, 0)
        if not before:
            return
        unsent = environment.count_unsent_bytes(self.writer)
        if unsent < before:
            self.hold(Part.UNSENT, unsent)
            self.note_progress()

    def release(self) -> None:
        """Stops counting all that it holds."""
        self._connections.release(self)
        self._held.clear()

    def note_idle(self) -> None:
        """Records that the last request has been answered."""
        self._note(is_idle=True, is_handled=False)

    def note_busy(self) -> None:
        """Records that bytes of a request have arrived, or are still sent."""
        self._note(is_idle=False, is_handled=False)

    def note_handled(self) -> None:
        """Records that a request was read whole."""
        self._note(is_idle=False, is_handled=True)

    def note_proven(self) -> None:
        """Records that a request was answered, and not rejected."""
        self.is_proven = True

    def note_progress(self) -> None:
        """Records that the caller took all that was sent to it."""
        self._progressed_s = self._connections.clock()

    def find_age_s(self) -> float:
        """Returns the time since its caller last made progress."""
        return self._connections.clock() - self._progressed_s

    def close(self) -> None:
        """Stops tracking it."""
        self.release()
        self._connections.remove(self)

    def _note(self, is_idle: bool, is_handled: bool) -> None:
        self.is_idle = is_idle
        self.is_handled = is_handled
        self._connections.update(self)


def _set_member(
    members: set[Connection], connection: Connection, is_member: bool
) -> None:
    if is_member:
        members.add(connection)
    else:
        members.discard(connection)


def _rank(connection: Connection) -> tuple[int, float]:
    """Ranks connections by the order of what they hold, then by their age."""
    return connection.held_bytes.bit_length(), connection.find_age_s()
