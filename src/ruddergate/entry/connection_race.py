"""A race of two ways to connect to a target, as in Happy Eyeballs (RFC 8305).

The second way begins when the first one fails or takes longer than usual, and
the first connection that is up is used.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeAlias

from ruddergate import environment
from ruddergate.entry import detour_client

# A direct connection takes a few milliseconds. After this time the way through
# a peer is tried as well.
DETOUR_DELAY_MS = 50.0

Connection: TypeAlias = environment.StreamPair | detour_client.Failure
Connect: TypeAlias = Callable[[], Awaitable[Connection]]


class Race:
    """One race of the direct way and that through peers.

    Args:
        direct: Connects directly.
        detour: Connects through peers; given whether the direct connection was
            refused.

    Attributes:
        is_detour: Whether the connection through a peer is used.
        direct_detail: Why the direct way failed, for logs.
    """

    def __init__(
        self,
        direct: Connect,
        detour: Callable[[bool], Awaitable[Connection]],
    ) -> None:
        self.is_detour = False
        self.direct_detail = ""
        self._make_direct = direct
        self._make_detour = detour
        self._direct: asyncio.Future | None = None
        self._detour: asyncio.Future | None = None
        self._used: asyncio.Future | None = None

    async def run_direct_first(self) -> Connection:
        """Tries the direct way, and soon that through peers as well."""
        self._direct = asyncio.ensure_future(self._make_direct())
        delay_s = DETOUR_DELAY_MS / 1000.0
        await asyncio.wait((self._direct,), timeout=delay_s)
        if self._direct.done() and is_final(self._direct.result()):
            return self._use(self._direct)
        was_refused = self._direct.done() and self._direct.result().is_refused
        self._detour = asyncio.ensure_future(self._make_detour(was_refused))
        return await self._wait()

    async def run_detour_first(self) -> Connection:
        """Tries peers, and the direct way only if they fail."""
        self._detour = asyncio.ensure_future(self._make_detour(False))
        await asyncio.wait((self._detour,))
        if is_final(self._detour.result()):
            return self._use(self._detour)
        self._direct = asyncio.ensure_future(self._make_direct())
        return await self._wait()

    async def run_both(self) -> Connection:
        """Tries both ways at once."""
        self._direct = asyncio.ensure_future(self._make_direct())
        self._detour = asyncio.ensure_future(self._make_detour(False))
        return await self._wait()

    async def _wait(self) -> Connection:
        """Returns the first connection that is up, or a failure."""
        pending = {self._direct, self._detour}
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for each in (self._direct, self._detour):
                if each in done and is_final(each.result()):
                    return self._use(each)
        direct, detour = self._direct.result(), self._detour.result()
        detail = f"direct: {direct.detail}; {detour.detail}"
        return detour_client.Failure(False, detail, direct.is_refused)

    def _use(self, task: asyncio.Future) -> Connection:
        self._used = task
        self.is_detour = task is self._detour and is_up(task.result())
        return task.result()

    def on_direct_failure(self, call: Callable[[], None]) -> None:
        """Calls a function once the direct way has failed, if it was tried."""
        if self._direct is None:
            return

        def check(direct: asyncio.Future) -> None:
            if direct.cancelled() or is_up(direct.result()):
                return
            self.direct_detail = direct.result().detail
            call()

        if self._direct.done():
            check(self._direct)
        else:
            self._direct.add_done_callback(check)

    def abandon(self) -> Iterable[asyncio.Future]:
        """Closes what is not used; returns tasks that have not ended.

        The direct way is tried to its end, as that shows whether it works.
        """
        unused = [
            each
            for each in (self._direct, self._detour)
            if each is not None and each is not self._used
        ]
        if self._detour in unused:
            self._detour.cancel()
        for each in unused:
            each.add_done_callback(close_unused)
        return [each for each in unused if not each.done()]


def is_up(connection: Connection) -> bool:
    """Returns whether a connection was made."""
    return not isinstance(connection, detour_client.Failure)


def is_final(connection: Connection) -> bool:
    """Returns whether the other way can add nothing to this result."""
    return is_up(connection) or connection.has_ended


def close_unused(task: asyncio.Future) -> None:
    """Closes the connection that a task has made, if it has."""
    if task.cancelled() or not is_up(task.result()):
        return
    _, writer = task.result()
    writer.close()
