"""Callers of the soak, who go on using a connection until it is closed."""

import asyncio
import contextlib
import time

import h11

from standins import gateway_caller
from standins import gateway_cluster

_READ_BYTES = 1 << 16


class KeptCaller:
    """Sends one call after the other over one connection while it lasts."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple | None = None
        self._http: h11.Connection | None = None

    async def send(
        self, call: gateway_caller.Call
    ) -> gateway_caller.CallResult:
        """Sends a call and reads its answer to the end."""
        sent_s = time.monotonic()
        parts: list[bytes] = []
        head: list = [0, {}, False]
        limit_s = (
            call.disconnects_after_ms or call.time_limit_ms + 1_000.0
        ) / 1000
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(call, parts, head)
        except (TimeoutError, OSError, h11.ProtocolError):
            head[2] = False
        if not head[2] or head[1].get("connection") == "close":
            self.close()
        took_ms = (time.monotonic() - sent_s) * 1000.0
        body = b"".join(parts)
        return gateway_caller.CallResult(
            call, head[0], head[1], body, head[2], sent_s, None, took_ms
        )

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _exchange(
        self, call: gateway_caller.Call, parts: list[bytes], head: list
    ) -> None:
        await self._connect()
        reader, writer = self._streams
        wanted = gateway_caller.make_request(call)
        fields = [("host", gateway_cluster.HOST), *wanted.headers.items()]
        fields.append(("content-length", str(len(wanted.body))))
        event = h11.Request(
            method=wanted.method, target=wanted.target, headers=fields
        )
        data = self._http.send(event)
        data += self._http.send(h11.Data(data=wanted.body))
        writer.write(data + self._http.send(h11.EndOfMessage()))
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                head[0] = event.status_code
                head[1] = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                head[2] = True
                return
            else:
                return

    async def _connect(self) -> None:
        if self._streams is not None:
            with contextlib.suppress(h11.LocalProtocolError):
                self._http.start_next_cycle()
                return
            self.close()
        self._streams = await asyncio.open_connection("127.0.0.1", self._port)
        self._http = h11.Connection(h11.CLIENT)
