"""Bounds the memory of bodies that are gathered before they are passed on."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import time
from typing import TypeAlias

DEFAULT_LIMIT_BYTES = 32_000_000
# Fraction of a VM's memory that bodies of responses may take. Each is copied
# when it is complete and once more when it is written, so this is a third of
# what they take in the worst case.
MEMORY_FRACTION = 0.125
# The same for bodies of requests, which are copied as often.
REQUEST_MEMORY_FRACTION = 0.2
# Bodies of requests up to this size may take all of the memory, larger ones not
# this fraction of it: short requests are served while large ones are refused.
SMALL_BYTES = 1 << 16
SMALL_FRACTION = 0.1
# A body's pace is known after this time. Without any byte for as long, it has
# stalled.
_PACE_S = 1.0
# Weight of a body in the mean time for which bodies are held.
_HELD_WEIGHT = 0.2
# Assumed mean before any body was released.
_INITIAL_HELD_S = 1.0
# Bounds of the time after which a body may fit.
_MIN_WAIT_S = 0.1
_MAX_WAIT_S = 5.0

# Returns which of the bodies that are being read is dropped, as one of them has
# exceeded the limit; None to exceed it.
Choose: TypeAlias = Callable[[Sequence["Body"], "Body"], "Body | None"]


class BodyMemory:
    """Counts the bytes of bodies.

    If they exceed the limit, bodies that are being read are dropped until the
    others fit. Complete ones are not dropped.

    Args:
        limit_bytes: Bytes that all bodies together may take.
        choose: Returns the body to drop.
        reserved_bytes: Part of the limit that only small bodies may take.
        on_drop: Called with each body that is dropped.
        clock: Returns the time in seconds.

    Attributes:
        limit_bytes: The same.
        used_bytes: Bytes that they take now.
        dropped: Number of bodies that were dropped.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        limit_bytes: float = DEFAULT_LIMIT_BYTES,
        choose: Choose | None = None,
        reserved_bytes: float = 0.0,
        on_drop: Callable[["Body"], None] = lambda body: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.dropped = 0
        self.clock = clock
        self._choose = choose or choose_longest
        self._reserved_bytes = reserved_bytes
        self._on_drop = on_drop
        self._bodies: set[Body] = set()
        self._held_s = _INITIAL_HELD_S

    def open(
        self,
        on_drop: Callable[[], None],
        announced_bytes: int = 0,
        due_s: float = math.inf,
    ) -> "Body":
        """Returns an empty body, which must be closed.

        Args:
            on_drop: Called if it is dropped.
            announced_bytes: Its length if that is known; counted at once, so
                that the body may be dropped already.
            due_s: When it must be complete, by `clock`.
        """
        body = Body(self, on_drop, announced_bytes, due_s)
        self._bodies.add(body)
        self.add(announced_bytes, body)
        return body

    def add(self, size: int, body: "Body") -> None:
        """Counts bytes that an open body takes in addition."""
        self.used_bytes += size
        while self.used_bytes > self._find_limit(body):
            reading = [each for each in self._bodies if not each.is_complete]
            dropped = self._choose(reading, body)
            if dropped is None:
                return
            self.dropped += 1
            dropped.drop()
            self._on_drop(dropped)
            if dropped is body:
                return

    def remove(self, body: "Body") -> None:
        """Stops counting a body."""
        if body not in self._bodies:
            return
        self._bodies.discard(body)
        self.used_bytes -= body.held_bytes
        if body.is_complete:
            held_s = body.find_age_s()
            self._held_s += _HELD_WEIGHT * (held_s - self._held_s)

    def find_wait_s(self, size: int) -> float:
        """Returns after what time a body of some size is likely to fit."""
        excess_bytes = self.used_bytes + size - self.limit_bytes
        if excess_bytes <= 0 or self.used_bytes <= 0:
            return _MIN_WAIT_S
        wait_s = self._held_s * min(1.0, excess_bytes / self.used_bytes)
        return min(max(wait_s, _MIN_WAIT_S), _MAX_WAIT_S)

    def _find_limit(self, body: "Body") -> float:
        if body.held_bytes <= SMALL_BYTES:
            return self.limit_bytes
        return self.limit_bytes - self._reserved_bytes


def make_request_memory(
    limit_bytes: float,
    clock: Callable[[], float],
    on_drop: Callable[["Body"], None] = lambda body: None,
) -> BodyMemory:
    """Returns the bound on the bodies of requests; see `BodyMemory`."""
    return BodyMemory(
        limit_bytes,
        choose_slow_or_new,
        limit_bytes * SMALL_FRACTION,
        on_drop,
        clock,
    )


class Body:
    """A body that is being read; see `BodyMemory.open`.

    Attributes:
        is_complete: Whether all of it was read.
        is_dropped: Whether it was dropped, as all bodies took too much memory.
    """

    def __init__(
        self,
        memory: BodyMemory,
        on_drop: Callable[[], None],
        announced_bytes: int,
        due_s: float,
    ) -> None:
        self.is_complete = False
        self.is_dropped = False
        self._memory = memory
        self._on_drop = on_drop
        self._announced_bytes = announced_bytes
        self._due_s = due_s
        self._began_s = self._received_s = memory.clock()
        self._data = bytearray()
        self._received_bytes = 0

    def __len__(self) -> int:
        return self._received_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that are counted for this body."""
        return max(self._announced_bytes, self._received_bytes)

    def append(self, data: bytes) -> None:
        """Adds bytes, which may drop this body or others.

        Bytes that arrive after it was dropped are ignored.
        """
        if self.is_dropped:
            return
        self._received_s = self._memory.clock()
        before = self.held_bytes
        self._data += data
        self._received_bytes += len(data)
        self._memory.add(self.held_bytes - before, self)

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

    def take(self) -> bytes:
        """Returns the bytes of the complete body, which stays open."""
        data = bytes(self._data)
        self._data = bytearray()
        self.is_complete = True
        return data

    def find_age_s(self) -> float:
        """Returns the time since it was opened."""
        return self._memory.clock() - self._began_s

    def is_alone(self) -> bool:
        """Returns whether no other body is held."""
        return self._memory.used_bytes <= self.held_bytes

    def is_slow(self) -> bool:
        """Returns whether it has stalled, or is too slow to arrive in time."""
        now_s = self._memory.clock()
        if now_s - self._received_s >= _PACE_S:
            return True
        age_s = now_s - self._began_s
        if age_s < _PACE_S:
            return False
        due_bytes = (
            self._announced_bytes * age_s / (self._due_s - self._began_s)
        )
        return self._received_bytes < due_bytes


def choose_longest(bodies: Sequence[Body], body: Body) -> Body | None:
    """Chooses the body that takes the most memory."""
    del body
    return max(bodies, key=lambda each: each.held_bytes, default=None)


def choose_slow_or_new(bodies: Sequence[Body], body: Body) -> Body | None:
    """Chooses a slow body, or the one that has exceeded the limit.

    Of slow bodies, that is the one that has held most for longest. A body that
    is alone is not dropped, as it could never be read.
    """
    others = [each for each in bodies if each is not body and each.is_slow()]
    if others:
        return max(others, key=lambda each: each.held_bytes * each.find_age_s())
    return None if body.is_alone() else body
