"""Carries connections of peers to targets that they can't reach.

Only connections to listed targets are carried, and only over this VM's own
links, so that there is never a second hop.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import carriers
from ruddergate.decisions import links
from ruddergate.entry import detour_client
from ruddergate.fleet import target as targets
from ruddergate.messages import detour
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import repeat_filter
from ruddergate.wire import length_prefixed

# How long a peer may take to send its request, and then the first bytes.
REQUEST_TIMEOUT_MS = 500.0
BEGIN_TIMEOUT_MS = 1_000.0
# The remaining time, the freshness of a key and the conditions of targets were
# checked when the requester sent the first bytes. If they arrive later than
# this, they are dropped.
MAX_TRAVEL_MS = 250.0
_READ_BYTES = 65_536
# Connections at once, with those that have not sent a valid request yet: twice
# as many as are carried.
MAX_OPEN = 2 * carriers.MAX_CARRIED


class DetourServer:
    """Carries connections; one per process.

    Args:
        env: Clock and streams.
        own_links: State of this VM's links to targets.
        connect: Connects to a target directly, and verifies the link if that
            is refused.
        find_target: Returns the target listed at an address, if any.
        check_admission: Returns a refusal if a target accepts no requests now.
        is_peer: Returns whether a known peer has this address.
        metrics: Metrics of the process.

    Attributes:
        carried: Number of connections carried now.
        is_stopping: Whether no further connections are carried, before the
            port for peers is open and from the beginning of a planned stop.
    """

    def __init__(
        self,
        env: environment.Environment,
        own_links: links.Links,
        connect: Callable[
            [environment.Address],
            Awaitable[environment.StreamPair | detour_client.Failure],
        ],
        find_target: Callable[[str], targets.Target | None],
        check_admission: Callable[[targets.Target], outcomes.NotServed | None],
        is_peer: Callable[[str], bool],
        metrics: metric_types.EntryMetrics,
    ) -> None:
        self.carried = 0
        self.is_stopping = True
        self._env = env
        self._links = own_links
        self._connect = connect
        self._find_target = find_target
        self._check_admission = check_admission
        self._is_peer = is_peer
        self._metrics = metrics
        self._logged = repeat_filter.RepeatFilter()
        self._log = logs.make_logger("detour")

    def summarize(self) -> int:
        """Returns what to report to peers: the connections carried, or -1."""
        is_direct = self._links.state is links.State.DIRECT
        if self.is_stopping or not is_direct:
            return carriers.CARRIES_NONE
        return self.carried

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection of a peer."""
        if self.carried >= MAX_OPEN:
            self._log_rejected(f"{self.carried} are open")
            writer.close()
            return
        self.carried += 1
        try:
            with contextlib.closing(writer):
                await self._carry(reader, writer)
        except OSError as error:
            # Either end closed or reset its connection, which ends both.
            self._log.debug("A carried connection ended: {}", error)
        finally:
            self.carried -= 1

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        chunks = length_prefixed.ChunkReader(reader)
        async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000.0):
            request = await chunks.read_message()
        if not isinstance(request, detour.DetourRequest):
            self._log_rejected("malformed request")
            return
        if not self._is_peer(request.sender):
            self._log_rejected(f"{request.sender:.80} is not a peer")
            return
        result, pair = await self._open(request)
        self._metrics.carried_requests.inc({"result": result.result})
        length_prefixed.write_message(writer, result)
        if pair is None:
            return
        connected_ms = self._env.now_ms()
        target_reader, target_writer = pair
        with contextlib.closing(target_writer):
            async with asyncio.timeout(BEGIN_TIMEOUT_MS / 1000.0):
                begin = await chunks.read_message()
                data = chunks.take_rest() or await reader.read(_READ_BYTES)
            if not isinstance(begin, detour.DetourBegin) or not data:
                return
            travel_ms = self._env.now_ms() - connected_ms - begin.waited_ms
            started = self._check_start(request, travel_ms)
            length_prefixed.write_message(writer, started)
            if started.result != detour.DetourResult.STARTED:
                return
            # Nothing may run between the check and this.
            target_writer.write(data)
            await _copy_until_end(reader, target_writer, target_reader, writer)

    def _log_rejected(self, detail: str) -> None:
        """Logs a rejected connection unless the last one was like it."""
        self._metrics.carried_requests.inc({"result": "rejected"})
        if self._logged.is_new("", detail):
            self._log.warning("Rejected a connection: {}.", detail)

    async def _open(
        self, request: detour.DetourRequest
    ) -> tuple[detour.DetourReply, environment.StreamPair | None]:
        """Connects to the target; returns the reply and the connection."""
        results = detour.DetourResult
        if self.is_stopping or self.carried > carriers.MAX_CARRIED:
            return _reply(results.BUSY, f"{self.carried} carried"), None
        target = self._find_target(request.address)
        if target is None:
            return _reply(results.NOT_LISTED, request.address), None
        now_ms = self._env.now_ms()
        if self._links.prefers_detour(request.address, now_ms):
            return _reply(results.UNREACHABLE, "own link is broken"), None
        pair = await self._connect(target.address)
        if isinstance(pair, detour_client.Failure):
            result = results.UNREACHABLE
            if pair.has_ended:
                result = results.REFUSED
            return _reply(result, pair.detail), None
        return _reply(results.CONNECTED, ""), pair

    def _check_start(
        self, request: detour.DetourRequest, travel_ms: float
    ) -> detour.DetourReply:
        """Returns whether the first bytes may be sent to the target now."""
        results = detour.DetourResult
        if travel_ms > MAX_TRAVEL_MS:
            return _reply(results.LATE, f"on their way for {travel_ms:.0f} ms")
        target = self._find_target(request.address)
        if target is None:
            return _reply(results.NOT_LISTED, request.address)
        if request.is_order:
            return _reply(results.STARTED, "")
        refusal = self._check_admission(target)
        if refusal is not None:
            return _reply(results.NOT_ADMITTED, refusal.detail)
        return _reply(results.STARTED, "")


def _reply(result: detour.DetourResult, detail: str) -> detour.DetourReply:
    return detour.DetourReply(result.value, detail)


async def _copy_until_end(
    reader: asyncio.StreamReader,
    target_writer: asyncio.StreamWriter,
    target_reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copies in both directions until either end closes its connection.

    A requester closes its connection only when it abandons the request, so that
    ends the work at the target at once.
    """
    copies = (
        asyncio.ensure_future(_copy_to_target(reader, target_writer)),
        asyncio.ensure_future(_copy_from_target(target_reader, writer)),
    )
    try:
        done, _ = await asyncio.wait(
            copies, return_when=asyncio.FIRST_COMPLETED
        )
        for each in done:
            each.result()
    finally:
        for each in copies:
            each.cancel()
        await asyncio.gather(*copies, return_exceptions=True)


async def _copy_to_target(
    reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_READ_BYTES):
        target_writer.write(data)
        await target_writer.drain()


async def _copy_from_target(
    target_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await target_reader.read(_READ_BYTES):
        length_prefixed.write_chunk(writer, data)
        await writer.drain()
    length_prefixed.write_chunk(writer, b"")
