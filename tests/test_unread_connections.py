"""Connections that nobody reads hold a bounded amount of memory.

Guards against buffers of several megabytes for each connection of a caller: in
the stream, and in the system, which enlarges those of a busy connection.
"""

import asyncio
import socket
import unittest

from ruddergate import environment
from standins import _private

_PIECE = bytes(4_096)
_SENT_BYTES = 8_000_000
# What the caller's own socket holds.
_CALLER_BYTES = 4_096
_STALL_S = 0.5
_MAX_BYTES = 500_000


def _make_caller() -> socket.socket:
    made = socket.socket()
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        made.setsockopt(socket.SOL_SOCKET, option, _CALLER_BYTES)
    made.setblocking(False)
    return made


class UnreadConnectionTest(unittest.TestCase):
    def test_bytes_that_are_not_read_are_bounded(self) -> None:
        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.Event().wait()

        async def run() -> int:
            loop = asyncio.get_running_loop()
            address = environment.Address(
                "127.0.0.1", _private.find_free_port()
            )
            env = environment.make_system_environment()
            server = await env.serve(handle, address)
            sent = 0
            with _make_caller() as caller:
                await loop.sock_connect(caller, (address.host, address.port))
                try:
                    while sent < _SENT_BYTES:
                        async with asyncio.timeout(_STALL_S):
                            await loop.sock_sendall(caller, _PIECE)
                        sent += len(_PIECE)
                except TimeoutError:
                    pass
            server.close()
            return sent

        self.assertLess(asyncio.run(run()), _MAX_BYTES)

    def test_responses_that_are_not_read_are_bounded(self) -> None:
        written: list[int] = []

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while sum(written) < _SENT_BYTES:
                writer.write(_PIECE)
                await writer.drain()
                written.append(len(_PIECE))

        async def run() -> None:
            loop = asyncio.get_running_loop()
            address = environment.Address(
                "127.0.0.1", _private.find_free_port()
            )
            env = environment.make_system_environment()
            server = await env.serve(handle, address)
            with _make_caller() as caller:
                await loop.sock_connect(caller, (address.host, address.port))
                seen = -1
                while seen < sum(written):
                    seen = sum(written)
                    await asyncio.sleep(_STALL_S)
            server.close()

        asyncio.run(run())
        self.assertLess(sum(written), _MAX_BYTES)
