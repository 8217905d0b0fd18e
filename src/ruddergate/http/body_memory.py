"""Bounds the memory of bodies that are gathered before they are passed on."""

from collections.abc import Callable

DEFAULT_LIMIT_BYTES = 32_000_000
# Fraction of a VM's memory that bodies may take. Each is copied when it is
# complete and once more when it is written, so this is a third of what they
# take in the worst case.
MEMORY_FRACTION = 0.125


class BodyMemory:
    """Counts the bytes of the bodies that are being read.

    If they exceed the limit, the longest one is dropped, until the others fit.

    Args:
        limit_bytes: Bytes that all bodies together may take.

    Attributes:
        limit_bytes: The same.
        used_bytes: Bytes that they take now.
        dropped: Number of bodies that were dropped.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.dropped = 0
        self._bodies: set[Body] = set()

    def open(self, on_drop: Callable[[], None]) -> "Body":
        """Returns an empty body, which must be closed.

        Args:
            on_drop: Is called if it is dropped.
        """
        body = Body(self, on_drop)
        self._bodies.add(body)
        return body

    def add(self, size: int) -> None:
        """Counts bytes that were added to an open body."""
        self.used_bytes += size
        while self.used_bytes > self.limit_bytes:
            self.dropped += 1
            max(self._bodies, key=len).drop()

    def remove(self, body: "Body") -> None:
        """Stops counting a body."""
        if body in self._bodies:
            self._bodies.discard(body)
            self.used_bytes -= len(body)


class Body:
    """A body that is being read; see `BodyMemory.open`.

    Attributes:
        is_dropped: Whether it was dropped, as all bodies took too much memory.
    """

    def __init__(self, memory: BodyMemory, on_drop: Callable[[], None]) -> None:
        self.is_dropped = False
        self._memory = memory
        self._on_drop = on_drop
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Adds bytes, which may drop this body or others.

        Bytes that arrive after it was dropped are ignored.
        """
        if self.is_dropped:
            return
        self._data += data
        self._memory.add(len(data))

    def drop(self) -> None:
        """Gives up the bytes of this body."""
        self.is_dropped = True
        self.close()
        self._on_drop()

    def close(self) -> None:
        """Stops counting this body and releases its bytes."""
        self._memory.remove(self)
        self._data = bytearray()

    def copy(self) -> bytes:
        """Returns the bytes."""
        return bytes(self._data)
