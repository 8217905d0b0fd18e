"""Answers to callers of HTTP/1.0, which have neither a length nor chunks."""

import asyncio
from collections.abc import AsyncIterator
import unittest

from ruddergate.http import message
from ruddergate.http import server

_EVENT = b"id: 1\ndata: one\n\n"


async def _stream(is_broken: bool) -> AsyncIterator[bytes]:
    yield _EVENT
    await asyncio.sleep(0.02)
    if is_broken:
        raise ConnectionAbortedError("the target was lost")


def _fetch(version: str, is_broken: bool) -> tuple[bytes, bool]:
    """Returns what a caller reads, and whether the connection was reset."""

    async def handle(incoming: message.IncomingRequest) -> message.Response:
        return message.Response(200, {}, _stream(is_broken))

    async def run() -> tuple[bytes, bool]:
        handler = server.make_stream_handler(handle, server.Limits())
        listening = await asyncio.start_server(handler, "127.0.0.1")
        port = listening.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
        received = b""
        is_reset = False
        try:
            async with asyncio.timeout(2.0):
                while data := await reader.read(1_000):
                    received += data
                    if version == "1.1" and data.endswith(b"0\r\n\r\n"):
                        break
        except ConnectionResetError:
            is_reset = True
        writer.close()
        listening.close()
        return received, is_reset

    return asyncio.run(run())


class Http10Test(unittest.TestCase):
    """A broken stream must not look complete.

    To a caller of HTTP/1.0 the end of the connection is the end of the answer,
    so a stream whose target was lost ended like one that was complete.
    """

    def test_broken_stream_is_reset(self) -> None:
        received, is_reset = _fetch("1.0", True)
        self.assertTrue(received.endswith(_EVENT))
        self.assertTrue(is_reset)

    def test_complete_stream_ends_regularly(self) -> None:
        received, is_reset = _fetch("1.0", False)
        self.assertTrue(received.endswith(_EVENT))
        self.assertFalse(is_reset)

    def test_broken_stream_of_chunks_lacks_its_last_chunk(self) -> None:
        received, is_reset = _fetch("1.1", True)
        self.assertIn(_EVENT, received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertFalse(is_reset)
