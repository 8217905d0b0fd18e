"""Authenticated frames on a stream between two of the system's processes.

A frame consists of a 4-byte length, a 16-byte MAC and a msgpack payload. The
MAC is HMAC-SHA256 over the receiver's nonce, the frame's sequence number and
the payload, so a frame can't be forged, replayed on another connection or
reordered.
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
    """The stream was closed, by the peer or because of an error.

    Attributes:
        detail: Why, for logs; empty for a regular end of the stream.
    """

    detail: str


class FrameStream:
    """One end of an authenticated stream; only one task may read from it.

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
        self._own_nonce = os.urandom(_NONCE_BYTES)
        self._peer_nonce = b""
        self._sent_frames = 0
        self._received_frames = 0

    async def greet(self) -> Closed | None:
        """Exchanges nonces; must be called once, before anything else."""
        try:
            self._writer.write(self._own_nonce)
            await self._writer.drain()
            self._peer_nonce = await self._reader.readexactly(_NONCE_BYTES)
        except (OSError, asyncio.IncompleteReadError) as error:
            return Closed(f"exchanging nonces failed: {error}")
        return None

    async def send(self, message: codec.Message) -> Closed | None:
        """Sends one message; returns Closed if the stream is closed."""
        payload = codec.encode(message)
        mac = self._sign(self._peer_nonce, self._sent_frames, payload)
        self._sent_frames += 1
        frame = struct.pack(">I", len(payload)) + mac + payload
        self.sent_bytes += len(frame)
        try:
            self._writer.write(frame)
            await self._writer.drain()
        except OSError as error:
            return Closed(f"sending failed: {error}")
        return None

    async def receive(self) -> codec.Message | Closed:
        """Returns the next message; Closed at the end or after a bad frame."""
        try:
            head = await self._reader.readexactly(FRAME_HEADER_BYTES)
            (length,) = struct.unpack(">I", head[:4])
            if length > MAX_FRAME_BYTES:
                return self._refuse(f"a frame of {length} bytes is too long")
            payload = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError:
            return Closed("")
        except OSError as error:
            return Closed(f"receiving failed: {error}")
        expected = self._sign(self._own_nonce, self._received_frames, payload)
        if not hmac.compare_digest(head[4:], expected):
            return self._refuse("the MAC of a frame is wrong")
        self._received_frames += 1
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

    def _sign(self, nonce: bytes, sequence: int, payload: bytes) -> bytes:
        signer = hmac.new(self._key, nonce, hashlib.sha256)
        signer.update(struct.pack(">Q", sequence))
        signer.update(payload)
        return signer.digest()[:_MAC_BYTES]
