"""Persistent connections to other agents, with one request at a time each."""

import asyncio
import collections

from ruddergate import environment
from ruddergate.fleet import vm as vms
from ruddergate.wire import codec
from ruddergate.wire import frames

MAX_CONNECTIONS = 24
REQUEST_TIMEOUT_MS = 1_000.0


class PeerConnections:
    """Connections to peers; the least recently used is closed first.

    Attributes:
        sent_bytes: Bytes of frames sent on connections that are closed.
        received_bytes: Bytes of frames received on connections that are closed.
    """

    def __init__(self, env: environment.Environment, key: bytes) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._env = env
        self._key = key
        self._open: collections.OrderedDict[str, frames.FrameStream] = (
            collections.OrderedDict()
        )
        self._locks: dict[str, asyncio.Lock] = {}

    async def request(
        self, vm: vms.Vm, message: codec.Message
    ) -> codec.Message | frames.Closed:
        """Sends a message to a VM's agent and returns its reply.

        Returns `frames.Closed` if the agent can't be reached or does not reply
        in time.
        """
        name = f"{vm.vm_id} {vm.agent_peer}"
        lock = self._locks.setdefault(name, asyncio.Lock())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000.0), lock:
                reply = await self._exchange(name, vm, message)
        except (OSError, TimeoutError):
            reply = frames.Closed("no reply in time")
        if isinstance(reply, frames.Closed):
            # A late reply must not be mistaken for the reply to the next
            # request.
            self._drop(name)
        return reply

    def total_bytes(self) -> int:
        """Returns the total bytes exchanged, on open and closed connections."""
        open_bytes = sum(
            stream.sent_bytes + stream.received_bytes
            for stream in self._open.values()
        )
        return self.sent_bytes + self.received_bytes + open_bytes

    def close(self) -> None:
        """Closes all connections."""
        for name in list(self._open):
            self._drop(name)

    async def _exchange(
        self, name: str, vm: vms.Vm, message: codec.Message
    ) -> codec.Message | frames.Closed:
        stream = self._open.get(name)
        if stream is None:
            connection = await self._env.connect(vm.agent_peer)
            stream = frames.FrameStream(*connection, self._key)
            self._open[name] = stream
            closed = await stream.greet()
            if closed is not None:
                return closed
            self._close_least_recent()
        self._open.move_to_end(name)
        closed = await stream.send(message)
        if closed is not None:
            return closed
        return await stream.receive()

    def _close_least_recent(self) -> None:
        while len(self._open) > MAX_CONNECTIONS:
            oldest = next(iter(self._open))
            self._drop(oldest)
            self._locks.pop(oldest, None)

    def _drop(self, name: str) -> None:
        stream = self._open.pop(name, None)
        if stream is not None:
            self.sent_bytes += stream.sent_bytes
            self.received_bytes += stream.received_bytes
            stream.close()
