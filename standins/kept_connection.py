"""A caller's connection that carries one request after the other."""

import asyncio
import dataclasses

import h11

from ruddergate import environment
from ruddergate.http import message

_READ_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the caller received.

    Attributes:
        status: HTTP status; 0 without an answer.
        is_complete: Whether the answer ended properly.
        closes: Whether no further request may be sent on the connection.
        body: The part of the body that was received.
    """

    status: int
    is_complete: bool
    closes: bool
    body: bytes = b""


class KeptConnection:
    """Sends requests in series; owns its stream."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._connection = h11.Connection(h11.CLIENT)

    def close(self) -> None:
        """Closes the stream."""
        self._writer.close()

    def write_part(self, data: bytes) -> None:
        """Writes bytes, such as a part of a request."""
        self._writer.write(data)

    def encode(
        self, request: message.OutgoingRequest, address: environment.Address
    ) -> bytes:
        """Returns a whole request as bytes."""
        headers = [("host", request.host or str(address))]
        headers.extend(request.headers.items())
        headers.append(("content-length", str(len(request.body))))
        data = self._connection.send(
            h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        )
        data += self._connection.send(h11.Data(data=request.body))
        return data + self._connection.send(h11.EndOfMessage())

    def encode_in_chunks(
        self,
        request: message.OutgoingRequest,
        address: environment.Address,
        chunks: int,
    ) -> list[bytes]:
        """Returns a request whose body has no announced length, in parts.

        Args:
            request: The request.
            address: Address that it is sent to.
            chunks: Number of chunks of its body; the head and the end of the
                body are two further parts.
        """
        headers = [("host", request.host or str(address))]
        headers.extend(request.headers.items())
        headers.append(("transfer-encoding", "chunked"))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._connection.send(head)]
        size = -(-len(request.body) // chunks)
        for start in range(0, len(request.body), size):
            data = h11.Data(data=request.body[start : start + size])
            parts.append(self._connection.send(data))
        parts.append(self._connection.send(h11.EndOfMessage()))
        return parts

    async def read_answer(self) -> Answer:
        """Reads one answer, to its end or to that of the connection."""
        status = 0
        closes = False
        body = bytearray()
        try:
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._reader.read(_READ_BYTES)
                    self._connection.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    closes = (b"connection", b"close") in event.headers
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    if not closes:
                        self._connection.start_next_cycle()
                    return Answer(status, True, closes, bytes(body))
                else:
                    break
        except (OSError, h11.RemoteProtocolError):
            pass
        return Answer(status, False, True, bytes(body))
