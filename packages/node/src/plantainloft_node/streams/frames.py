"""Framing of messages between entry instances: msgpack over a byte stream.

A large answer is sent in parts, so that other answers on its connection need not wait for
it and the caller sees its progress. Builds that do not know parts ask for none.
"""

from typing import Any, NotRequired, TypedDict

import anyio
import msgpack
from anyio.abc import ByteStream

from plantainloft_node.transfer_timeout import MIN_PROGRESS_BYTES

__all__ = [
    'LAST_PART',
    'PART',
    'REPLY',
    'STREAM_ERRORS',
    'Frame',
    'FrameStream',
    'PeerTrafficCounter',
]

REPLY = 'reply'
# Parts of an answer, in order; joined, their contents are the packed content of the answer.
PART = 'part'
LAST_PART = 'last_part'
MAX_FRAME_BYTES = 64_000_000
PART_BYTES = MIN_PROGRESS_BYTES
# Kind, call number and content; options may follow.
FRAME_FIELDS = 3
# Errors that mean the connection ended. A corrupt stream (ValueError) also ends it.
STREAM_ERRORS = (
    OSError,
    ValueError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Frame(TypedDict):
    """One message: its kind, the number of its call and its content.

    A call whose answer may be sent in parts has ``accepts_parts`` set.
    """

    kind: str
    call: int
    content: Any
    accepts_parts: NotRequired[bool]


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
        fields = [frame['kind'], frame['call'], frame['content']]
        if frame.get('accepts_parts'):
            fields.append(True)
        await self._send_packed(msgpack.packb(fields))

    async def send_reply(self, call: int, content: Any, *, in_parts: bool) -> None:
        """Send the answer to ``call``, a large one in parts if that is allowed."""
        packed = msgpack.packb(content)
        if not in_parts or len(packed) <= PART_BYTES:
            await self.send(Frame(kind=REPLY, call=call, content=content))
            return
        last_start = (len(packed) - 1) // PART_BYTES * PART_BYTES
        for start in range(0, last_start, PART_BYTES):
            part = packed[start : start + PART_BYTES]
            await self.send(Frame(kind=PART, call=call, content=part))
        await self.send(Frame(kind=LAST_PART, call=call, content=packed[last_start:]))

    async def receive(self) -> Frame:
        """Return the next frame; raises anyio's stream errors."""
        while True:
            unpacked = next(self._unpacker, None)
            if unpacked is not None:
                return _to_frame(unpacked)
            received = await self._stream.receive()
            self._peer_traffic.received_bytes += len(received)
            self.received_bytes += len(received)
            self._unpacker.feed(received)

    async def close(self) -> None:
        """Close the connection without waiting for pending data."""
        await anyio.aclose_forcefully(self._stream)

    async def _send_packed(self, packed: bytes) -> None:
        # Concurrent sends on one connection would interleave their bytes and corrupt
        # both frames.
        async with self._send_lock:
            await self._stream.send(packed)
        self._peer_traffic.sent_bytes += len(packed)


def _to_frame(unpacked: Any) -> Frame:
    """Return a received frame; raises ``ValueError`` if it is malformed."""
    if not isinstance(unpacked, list) or len(unpacked) < FRAME_FIELDS:
        raise ValueError('a frame is a list of kind, call number and content')
    kind, call, content, *options = unpacked
    if not isinstance(kind, str) or not isinstance(call, int):
        raise ValueError('a frame has a text as its kind, and a number of its call')
    if kind in {PART, LAST_PART} and not isinstance(content, bytes):
        raise ValueError('a part of an answer consists of bytes')
    return Frame(kind=kind, call=call, content=content, accepts_parts=any(options))
