"""The user's end of a tunnel, as a byte stream to the endpoint."""

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketStream

from plantainloft_node.tunnels.frames import FRAME_HEADER, FrameKind, unpack_frame_header

__all__ = ['TunnelStream']

READ_BYTES = 65536


class TunnelStream(ByteStream):
    """Sends bytes to an endpoint through a peer, and receives what the endpoint sends.

    Ends with ``EndOfStream`` only if the endpoint has closed its connection; if the peer
    or either connection breaks, receiving raises ``BrokenResourceError``.
    """

    def __init__(self, *, stream: SocketStream) -> None:
        self._stream = stream
        self._received = b''
        # Bytes of the current data frame that have not been received yet.
        self._payload_left = 0
        self.is_retired = False

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The attributes of the connection to the peer."""
        return self._stream.extra_attributes

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent: the peer has said nothing to the contrary."""
        return not self.is_retired and not self._received and not self._payload_left

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return bytes from the endpoint."""
        while not self._payload_left:
            await self._receive_at_least(FRAME_HEADER.size)
            kind, length = _decode_header(self._take(FRAME_HEADER.size))
            self._payload_left = length
            if kind is FrameKind.RETIRE:
                self.is_retired = True
            elif kind is FrameKind.CLOSED:
                raise anyio.EndOfStream
            elif kind is FrameKind.BROKEN:
                raise anyio.BrokenResourceError
        await self._receive_at_least(1)
        chunk = self._take(min(max_bytes, self._payload_left))
        self._payload_left -= len(chunk)
        return chunk

    async def send(self, item: bytes) -> None:
        """Send bytes to the endpoint."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Not supported: no HTTP request ends with its connection."""
        raise NotImplementedError

    async def aclose(self) -> None:
        """Close the tunnel; the peer closes the connection to the endpoint at once."""
        await self._stream.aclose()

    async def _receive_at_least(self, size: int) -> None:
        while len(self._received) < size:
            try:
                self._received += await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                # The peer ended without saying that the endpoint has closed.
                raise anyio.BrokenResourceError from None

    def _take(self, size: int) -> bytes:
        chunk = self._received[:size]
        self._received = self._received[size:]
        return chunk


def _decode_header(header: bytes) -> tuple[FrameKind, int]:
    try:
        return unpack_frame_header(header)
    except ValueError:
        raise anyio.BrokenResourceError from None
