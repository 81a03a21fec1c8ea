"""Framing of messages between entry instances: msgpack over a byte stream."""

from typing import Any, TypedDict

import anyio
import msgpack
from anyio.abc import ByteStream

__all__ = ['REPLY', 'STREAM_ERRORS', 'Frame', 'FrameStream', 'PeerTrafficCounter']

REPLY = 'reply'
MAX_FRAME_BYTES = 64_000_000
# Errors that mean the connection ended. A corrupt stream (ValueError) also ends it.
STREAM_ERRORS = (
    OSError,
    ValueError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Frame(TypedDict):
    """One message: its kind, the number of its call and its content."""

    kind: str
    call: int
    content: Any


class PeerTrafficCounter:
    """Counts the bytes sent to and received from peers by this node."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class FrameStream:
    """Sends and receives frames on one connection."""

    def __init__(self, *, stream: ByteStream, peer_traffic: PeerTrafficCounter) -> None:
        self._peer_traffic = peer_traffic
        self._stream = stream
        self.received_bytes = 0
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self._send_lock = anyio.Lock()

    async def send(self, frame: Frame) -> None:
        """Send one complete frame; raises anyio's stream errors."""
        packed = msgpack.packb([frame['kind'], frame['call'], frame['content']])
        # Concurrent sends on one connection would interleave their bytes and corrupt
        # both frames.
        async with self._send_lock:
            await self._stream.send(packed)
        self._peer_traffic.sent_bytes += len(packed)

    async def receive(self) -> Frame:
        """Return the next frame; raises anyio's stream errors."""
        while True:
            unpacked = next(self._unpacker, None)
            if unpacked is not None:
                return Frame(kind=unpacked[0], call=unpacked[1], content=unpacked[2])
            received = await self._stream.receive()
            self._peer_traffic.received_bytes += len(received)
            self.received_bytes += len(received)
            self._unpacker.feed(received)

    async def close(self) -> None:
        """Close the connection without waiting for pending data."""
        await anyio.aclose_forcefully(self._stream)
