"""Reads the requests of a caller's connection, one part after the other.

Each request has its own ``h11.Connection``, which is fed the bytes that follow the
previous request, so that pipelined requests are read while earlier ones are in progress.
"""

from collections.abc import Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from plantainloft_core.routes import CallerLimits
from plantainloft_node.capacity.held_bytes import CallerTraffic

__all__ = ['RequestEnd', 'RequestReader', 'Unreadable']

READ_BYTES = 65536
_HEAD_TOO_LARGE = 431
_REQUEST_TIMEOUT = 408


class RequestEnd(NamedTuple):
    """The end of a request; ``is_last``: it asks to close the connection after its response."""

    is_last: bool


class Unreadable(NamedTuple):
    """A request that is malformed, has too large a head or arrives too slowly.

    ``status`` is the response to it.
    """

    status: int


class RequestReader:
    """Splits the bytes of a connection into the heads, chunks and ends of requests."""

    def __init__(
        self, *, stream: SocketStream, limits: Callable[[], CallerLimits], traffic: CallerTraffic
    ) -> None:
        """``limits`` returns the limits in force; received bytes are counted in ``traffic``."""
        self._stream = stream
        self._limits = limits
        self._traffic = traffic
        self._in_request = False
        self.protocol = self._new_protocol(b'')

    async def read(
        self, *, is_idle: Callable[[], bool]
    ) -> h11.Request | bytes | RequestEnd | Unreadable | None:
        """Return the next part of a request, or ``None`` when the idle timeout has passed.

        ``is_idle`` returns whether no response is due; the timeout applies only then. Raises
        ``anyio.EndOfStream`` or another error of the connection when it has ended.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as exc:
                return Unreadable(exc.error_status_hint)
            if event is not h11.NEED_DATA:
                return self._part(event)
            partial = self._in_request or bool(self.protocol.trailing_data[0])
            if not await self._receive(partial=partial, is_idle=is_idle):
                return Unreadable(_REQUEST_TIMEOUT) if partial else None

    async def discard(self) -> None:
        """Read on until the connection ends, only to notice that the caller closes it."""
        while True:
            self._traffic.link_bytes += len(await self._stream.receive(READ_BYTES))

    def _part(self, event: object) -> h11.Request | bytes | RequestEnd | Unreadable | None:
        if isinstance(event, h11.Request):
            self._in_request = True
            if _head_size(event) > self._limits().max_header_bytes:
                return Unreadable(_HEAD_TOO_LARGE)
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            return None
        end = RequestEnd(is_last=self.protocol.their_state is h11.MUST_CLOSE)
        self._in_request = False
        self.protocol = self._new_protocol(self.protocol.trailing_data[0])
        return end

    def _new_protocol(self, leftover: bytes) -> h11.Connection:
        limit = self._limits().max_header_bytes
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        if leftover:
            protocol.receive_data(leftover)
        return protocol

    async def _receive(self, *, partial: bool, is_idle: Callable[[], bool]) -> bool:
        """Receive bytes; return whether some arrived before the timeout."""
        limits = self._limits()
        while True:
            timeout_s = limits.header_timeout_s if partial else limits.idle_timeout_s
            with anyio.move_on_after(timeout_s):
                received = await self._stream.receive(READ_BYTES)
                self._traffic.link_bytes += len(received)
                self.protocol.receive_data(received)
                return True
            if partial or is_idle():
                return False


def _head_size(head: h11.Request) -> int:
    # h11 enforces its own limit only on heads that arrive in several reads.
    headers_size = sum(len(key) + len(value) for key, value in head.headers)
    return len(head.target) + headers_size
