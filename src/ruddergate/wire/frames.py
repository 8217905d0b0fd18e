"""Authenticated frames on a stream between two of the system's processes.

A frame is a 4-byte length, a 16-byte MAC and a msgpack payload. The MAC is
HMAC-SHA256 over the receiver's nonce, the frame's number and the payload, so
a frame can be neither forged, replayed on another connection nor reordered.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import os
import struct

from ruddergate.wire import codec

MAX_FRAME_BYTES = 8_000_000
FRAME_HEADER_BYTES = 20
_NONCE_BYTES = 16
_MAC_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The stream ended or was refused.

    Attributes:
        detail: Why, for logs; empty for a plain end.
    """

    detail: str


class FrameStream:
    """One end of an authenticated stream; owned by one task for reading.

    Attributes:
        sent_bytes: Bytes of frames written so far.
        received_bytes: Bytes of frames read so far.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        key: bytes,
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._reader = reader
        self._writer = writer
        self._key = key
        self._our_nonce = os.urandom(_NONCE_BYTES)
        self._their_nonce = b""
        self._sent = 0
        self._received = 0

    async def greet(self) -> Closed | None:
        """Exchanges nonces; call once before anything else."""
        try:
            self._writer.write(self._our_nonce)
            await self._writer.drain()
            self._their_nonce = await self._reader.readexactly(_NONCE_BYTES)
        except (OSError, asyncio.IncompleteReadError) as error:
            return Closed(f"no greeting: {error}")
        return None

    async def send(self, message: codec.Message) -> Closed | None:
        """Sends one message; returns Closed if the stream has ended."""
        payload = codec.encode(message)
        mac = self._sign(self._their_nonce, self._sent, payload)
        self._sent += 1
        frame = struct.pack(">I", len(payload)) + mac + payload
        self.sent_bytes += len(frame)
        try:
            self._writer.write(frame)
            await self._writer.drain()
        except OSError as error:
            return Closed(f"sending broke off: {error}")
        return None

    async def receive(self) -> codec.Message | Closed:
        """Returns the next message, or Closed at the end or a bad frame."""
        try:
            head = await self._reader.readexactly(FRAME_HEADER_BYTES)
            (length,) = struct.unpack(">I", head[:4])
            if length > MAX_FRAME_BYTES:
                return self._refuse(f"a frame of {length} bytes")
            payload = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError:
            return Closed("")
        except OSError as error:
            return Closed(f"reading broke off: {error}")
        expected = self._sign(self._our_nonce, self._received, payload)
        if not hmac.compare_digest(head[4:], expected):
            return self._refuse("a frame that is not from a peer")
        self._received += 1
        self.received_bytes += FRAME_HEADER_BYTES + length
        message = codec.decode(payload)
        if isinstance(message, codec.Malformed):
            return self._refuse(message.detail)
        return message

    def close(self) -> None:
        """Closes the stream."""
        self._writer.close()

    def _refuse(self, detail: str) -> Closed:
        self._writer.close()
        return Closed(detail)

    def _sign(self, nonce: bytes, number: int, payload: bytes) -> bytes:
        signer = hmac.new(self._key, nonce, hashlib.sha256)
        signer.update(struct.pack(">Q", number))
        signer.update(payload)
        return signer.digest()[:_MAC_BYTES]
