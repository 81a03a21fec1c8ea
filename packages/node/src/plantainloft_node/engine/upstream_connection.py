"""An HTTP/1.1 client connection that carries one request at a time.

Used for endpoints and for the platform's store. It tracks whether any byte of a
request was sent, which determines what may be reported about that request, and
recognises responses to other requests by the request id that responses echo.
"""

import select
import socket
from collections.abc import Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from plantainloft_node.engine.headers import Headers, find_header, parse_header_integer

__all__ = [
    'CONNECTION_ERRORS',
    'CONNECT_TIMEOUT_S',
    'BrokenAnswerError',
    'ResponseHead',
    'TunnelPath',
    'UpstreamConnection',
    'UpstreamRequest',
    'connect',
    'set_keepalive',
]

READ_BYTES = 65536
# A live endpoint in any region accepts a connection within this time.
CONNECT_TIMEOUT_S = 0.4
# Raised when sending on, or receiving from, a connection that has ended.
CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
# An idle connection is reused only during this share of the keep-alive time that
# the server announces: a request sent while the server closes would be lost.
KEEP_ALIVE_SAFETY_FACTOR = 0.6
# Used when the server announces no keep-alive time.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_KEEP_ALIVE_S = 3600
# A middlebox that loses track of a connection leaves it silent for good, while new
# ones work. Without probes, a poll of the store on it receives no changes until its
# timeout, and an idle one is reused and loses a request. With a probe every second
# after 1 s of silence, the connection fails within 3 s.
TCP_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
# Stale responses to earlier requests that are skipped per request.
MAX_STALE_RESPONSES = 3
# Informational responses (1xx) that are skipped before a response.
MAX_INFORMATIONAL_RESPONSES = 16
# A new connection costs less than reading a longer body that is not used.
MAX_DISCARDED_BYTES = 65536


class UpstreamRequest(NamedTuple):
    """A request to a server; ``request_id`` may be empty.

    ``body_complete``: ``body`` is the complete body, nothing is streamed after it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_complete: bool
    request_id: bytes = b''


class ResponseHead(NamedTuple):
    """Status and headers (lower-case names) of a response."""

    status: int
    headers: Headers


class BrokenAnswerError(Exception):
    """The response was incomplete or not valid HTTP."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def _do_nothing() -> None:
    """Serve as the default of callbacks."""


def _always() -> bool:
    return True


class TunnelPath(NamedTuple):
    """The peer through which a connection passes, its region, and the id of the tunnel."""

    peer: str
    region: str
    tunnel: str


class UpstreamConnection:
    """A connection to a server that carries one request at a time."""

    def __init__(
        self,
        *,
        stream: ByteStream,
        id_header: bytes,
        on_received: Callable[[], None] = _do_nothing,
        on_closed: Callable[[], None] = _do_nothing,
        is_reusable: Callable[[], bool] = _always,
        path: TunnelPath | None = None,
    ) -> None:
        """Wrap an open ``stream``.

        ``on_received`` is called whenever bytes arrive, ``on_closed`` once when the
        connection is closed. ``is_reusable`` returns whether the stream allows
        another request. ``path`` is set if the connection passes through a peer.
        """
        self._stream = stream
        self._on_received = on_received
        self._on_closed = on_closed
        self._is_reusable = is_reusable
        self.path = path
        self._id_header = id_header
        self._protocol = h11.Connection(h11.CLIENT)
        self._request: UpstreamRequest | None = None
        self._body_sent = True
        self.send_started = False
        self.usable_until = 0.0
        self.request_count = 0

    async def send(self, request: UpstreamRequest) -> None:
        """Send the head of a request and the part of its body that is available."""
        self._request = request
        self._body_sent = request.body_complete
        encoded = self._encode(self._protocol, request)
        # Set before sending: after an error during the send it is unknown whether
        # the bytes arrived.
        self.send_started = True
        self.request_count += 1
        await self._stream.send(encoded)

    async def send_body(self, chunk: bytes) -> None:
        """Send one chunk of the body; an empty one ends the body."""
        if chunk:
            encoded = self._protocol.send(h11.Data(data=chunk))
        else:
            encoded = self._protocol.send(h11.EndOfMessage())
            self._body_sent = True
        await self._stream.send(encoded or b'')

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response to the latest request."""
        for _ in range(MAX_STALE_RESPONSES + 1):
            head = await self._next_head()
            echoed_id = find_header(head.headers, self._id_header)
            expected_id = self._request.request_id if self._request else b''
            if not expected_id or echoed_id is None or echoed_id == expected_id:
                return head
            # A late duplicate response to an earlier request. Passed on, it would
            # disclose the content of another caller's response.
            await self._discard_stale_response()
        raise BrokenAnswerError(reason='only stale responses to other requests')

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, or empty bytes at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(reason='connection closed within the response body')

    async def discard_body(self) -> bool:
        """Read and drop the rest of the response body; return whether it has ended.

        Gives up after ``MAX_DISCARDED_BYTES``: a body may be without end.
        """
        size = 0
        while size <= MAX_DISCARDED_BYTES:
            chunk = await self.read_chunk()
            if not chunk:
                return True
            size += len(chunk)
        return False

    def reset_for_reuse(self, head: ResponseHead, now: float) -> bool:
        """Prepare for another request if that is safe; return whether it is."""
        protocol = self._protocol
        if not self._body_sent or not self._is_reusable() or protocol.trailing_data[0]:
            return False
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        self.send_started = False
        self.usable_until = now + _keep_alive_s(head)
        return True

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection still looks open and has nothing to read.

        If it is readable, the server has closed it or has sent bytes that belong to
        no request; either way it must not carry another request.
        """
        return now < self.usable_until and self._is_reusable() and self.is_open()

    def is_open(self) -> bool:
        """Return whether the server has neither closed an idle connection nor sent anything."""
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
        return not poll.poll(0)

    def call_when_closed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once when the connection is closed."""
        earlier = self._on_closed

        def call_both() -> None:
            earlier()
            callback()

        self._on_closed = call_both

    async def close(self) -> None:
        """Close immediately; a server that still works on a request may cancel it."""
        on_closed = self._on_closed
        self._on_closed = _do_nothing
        on_closed()
        await anyio.aclose_forcefully(self._stream)

    def _encode(self, protocol: h11.Connection, request: UpstreamRequest) -> bytes:
        head = h11.Request(method=request.method, target=request.target, headers=request.headers)
        parts = [protocol.send(head) or b'']
        if request.body:
            parts.append(protocol.send(h11.Data(data=request.body)) or b'')
        if request.body_complete:
            parts.append(protocol.send(h11.EndOfMessage()) or b'')
        return b''.join(parts)

    async def _next_head(self) -> ResponseHead:
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(bytes(key), bytes(value)) for key, value in event.headers]
                return ResponseHead(status=event.status_code, headers=headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(reason='connection closed before a response')
        raise BrokenAnswerError(reason='only informational responses')

    async def _discard_stale_response(self) -> None:
        if not await self.discard_body():
            raise BrokenAnswerError(reason='a stale response that is too long to skip')
        if self._request is None or self._protocol.their_state is not h11.DONE:
            raise BrokenAnswerError(reason='connection closed after a stale response')
        leftover = self._protocol.trailing_data[0]
        # h11 accepts one response per request. A new protocol object that has encoded the
        # request again, without sending it, accepts the next response.
        self._protocol = h11.Connection(h11.CLIENT)
        self._encode(self._protocol, self._request)
        self._protocol.receive_data(leftover)

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise BrokenAnswerError(reason=f'invalid HTTP response: {exc}') from exc
        while event is h11.NEED_DATA:
            await self._receive()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as exc:
                raise BrokenAnswerError(reason=f'invalid HTTP response: {exc}') from exc
        return event

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            received = b''
        except CONNECTION_ERRORS as exc:
            raise BrokenAnswerError(reason='connection reset') from exc
        if received:
            self._on_received()
        self._protocol.receive_data(received)


async def connect(
    address: str, *, id_header: bytes = b'', on_received: Callable[[], None] = _do_nothing
) -> UpstreamConnection:
    """Open a connection to ``address`` (``host:port``); raises ``OSError``."""
    host, _, port = address.rpartition(':')
    stream = await anyio.connect_tcp(host, int(port))
    set_keepalive(stream)
    return UpstreamConnection(stream=stream, id_header=id_header, on_received=on_received)


def set_keepalive(stream: SocketStream) -> None:
    """Have a connection fail within seconds when the other side stops answering."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    for level, option, setting in TCP_KEEPALIVE_OPTIONS:
        raw_socket.setsockopt(level, option, setting)


def _keep_alive_s(head: ResponseHead) -> float:
    parameters = find_header(head.headers, b'keep-alive') or b''
    for parameter in parameters.split(b','):
        name, _, number = parameter.strip().partition(b'=')
        keep_alive_s = parse_header_integer(number, maximum=MAX_KEEP_ALIVE_S)
        if name.lower() == b'timeout' and keep_alive_s is not None:
            return keep_alive_s * KEEP_ALIVE_SAFETY_FACTOR
    return DEFAULT_KEEP_ALIVE_S
