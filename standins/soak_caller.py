"""Callers of the soak with keep-alive connections."""

import asyncio
import contextlib
import time

import h11

from standins import gateway_caller
from standins import gateway_cluster

_READ_BYTES = 1 << 16


class KeepAliveCaller:
    """Sends calls one by one and reuses the connection until it is closed."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._connection: tuple | None = None
        self._protocol: h11.Connection | None = None

    async def send(
        self, call: gateway_caller.Call
    ) -> gateway_caller.CallResult:
        """Sends a call and reads its response to the end."""
        sent_s = time.monotonic()
        chunks: list[bytes] = []
        # Status, headers, whether the response is complete, and when the whole
        # request was written.
        head: list = [0, {}, False, None]
        limit_s = (
            call.disconnects_after_ms or call.time_limit_ms + 1_000.0
        ) / 1000
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(call, chunks, head)
        except (TimeoutError, OSError, h11.ProtocolError):
            head[2] = False
        if not head[2] or head[1].get("connection") == "close":
            self.close()
        took_ms = (time.monotonic() - sent_s) * 1000.0
        body = b"".join(chunks)
        written_ms = None if head[3] is None else (head[3] - sent_s) * 1000.0
        return gateway_caller.CallResult(
            call,
            head[0],
            head[1],
            body,
            head[2],
            sent_s,
            None,
            took_ms,
            written_ms,
        )

    def close(self) -> None:
        """Closes the connection, if one is open."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _exchange(
        self, call: gateway_caller.Call, chunks: list[bytes], head: list
    ) -> None:
        await self._connect()
        reader, writer = self._connection
        request = gateway_caller.make_request(call)
        fields = [("host", gateway_cluster.HOST), *request.headers.items()]
        fields.append(("content-length", str(len(request.body))))
        event = h11.Request(
            method=request.method, target=request.target, headers=fields
        )
        data = self._protocol.send(event)
        data += self._protocol.send(h11.Data(data=request.body))
        writer.write(data + self._protocol.send(h11.EndOfMessage()))
        head[3] = time.monotonic()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                head[0] = event.status_code
                head[1] = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                head[2] = True
                return
            else:
                return

    async def _connect(self) -> None:
        if self._connection is not None:
            with contextlib.suppress(h11.LocalProtocolError):
                self._protocol.start_next_cycle()
                return
            self.close()
        self._connection = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._protocol = h11.Connection(h11.CLIENT)
