"""One connection to a server: requests out, whole answers back.

The same link serves endpoints and the platform's store. It knows whether
a byte of a request was sent, which decides what may be said of it later,
and tells answers to other requests by the id that answers repeat.
"""

import select
import socket
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from plantainloft_node.engine.heads import Headers, find

__all__ = [
    'CONNECT_S',
    'SEND_ERRORS',
    'AnswerHead',
    'BrokenAnswerError',
    'EndpointLink',
    'OutgoingRequest',
    'connect',
]

READ_BYTES = 65536
# A live endpoint accepts a connection within this time, from any region.
CONNECT_S = 0.4
# How sending on a connection that has ended fails.
SEND_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
# An idle connection is not used after this share of the time for which
# the endpoint says it keeps it: a request that crosses the close is lost.
KEPT_SHARE = 0.6
# Where the endpoint says nothing.
KEPT_S = 4.0
# A connection can go silent for good while new ones work, because something
# between has lost track of it. Without probes a poll of the store on it
# waits out its whole time, deaf to all news, and an idle one is reused and
# loses a request. Probed after 1 s, each second, it ends within 3 s.
KEEP_ALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
# Unused answers to earlier requests that are skipped on one connection.
MAX_STALE = 3


class OutgoingRequest(NamedTuple):
    """A request as it goes to a server; ``request_id`` may be empty."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    whole: bool
    request_id: bytes = b''


class AnswerHead(NamedTuple):
    """Status and headers (lower-case names) of an answer."""

    status: int
    headers: Headers


class BrokenAnswerError(Exception):
    """The answer did not come whole."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class EndpointLink:
    """A connection that carries one request at a time."""

    def __init__(self, *, stream: SocketStream, id_header: bytes) -> None:
        self._stream = stream
        self._id_header = id_header
        self._protocol = h11.Connection(h11.CLIENT)
        self._request: OutgoingRequest | None = None
        self._body_sent = True
        self.sent_any = False
        self.usable_until = 0.0
        self.used = 0

    async def send(self, request: OutgoingRequest) -> None:
        """Send the head and what is at hand of the body."""
        self._request = request
        self._body_sent = request.whole
        encoded = self._encode(self._protocol, request)
        # Set before sending: once the send has begun, an error no longer
        # tells whether the bytes arrived.
        self.sent_any = True
        self.used += 1
        await self._stream.send(encoded)

    async def send_body(self, piece: bytes) -> None:
        """Send one more piece of the body; an empty one ends it."""
        if piece:
            encoded = self._protocol.send(h11.Data(data=piece))
        else:
            encoded = self._protocol.send(h11.EndOfMessage())
            self._body_sent = True
        await self._stream.send(encoded or b'')

    async def answer_head(self) -> AnswerHead:
        """Wait for the head of the answer to the request sent last."""
        for _ in range(MAX_STALE + 1):
            head = await self._next_head()
            answered_id = find(head.headers, self._id_header)
            wanted_id = self._request.request_id if self._request else b''
            if not wanted_id or answered_id is None or answered_id == wanted_id:
                return head
            # A second answer to an earlier request, come late. Given to
            # this caller it would be somebody else's content.
            await self._skip_answer()
        raise BrokenAnswerError(reason='answers to other requests')

    async def answer_piece(self) -> bytes:
        """Return the next piece of the body, or nothing at its end."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(reason='unexpected end')

    async def skip_body(self) -> None:
        """Read the rest of the answer and forget it."""
        piece = await self.answer_piece()
        while piece:
            piece = await self.answer_piece()

    def reusable(self, head: AnswerHead, now: float) -> bool:
        """Make ready for another request, if that is safe."""
        protocol = self._protocol
        if not self._body_sent or protocol.trailing_data[0]:
            return False
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        self.sent_any = False
        self.usable_until = now + _kept_s(head)
        return True

    def quiet(self, now: float) -> bool:
        """Return whether an idle connection still looks open and silent.

        Readable means that the server closed it or sent bytes that no
        request asked for; either way it must not carry a request.
        """
        if now >= self.usable_until:
            return False
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close at once; a server at work on a request may drop it."""
        await anyio.aclose_forcefully(self._stream)

    def _encode(self, protocol: h11.Connection, request: OutgoingRequest) -> bytes:
        head = h11.Request(method=request.method, target=request.target, headers=request.headers)
        parts = [protocol.send(head) or b'']
        if request.body:
            parts.append(protocol.send(h11.Data(data=request.body)) or b'')
        if request.whole:
            parts.append(protocol.send(h11.EndOfMessage()) or b'')
        return b''.join(parts)

    async def _next_head(self) -> AnswerHead:
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                headers = [(bytes(key), bytes(content)) for key, content in event.headers]
                return AnswerHead(status=event.status_code, headers=headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError(reason='closed before an answer')

    async def _skip_answer(self) -> None:
        await self.skip_body()
        if self._request is None or self._protocol.their_state is not h11.DONE:
            raise BrokenAnswerError(reason='closed after an answer to another request')
        leftover = self._protocol.trailing_data[0]
        self._protocol = h11.Connection(h11.CLIENT)
        self._encode(self._protocol, self._request)
        self._protocol.receive_data(leftover)

    async def _event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise BrokenAnswerError(reason=f'not an answer: {exc}') from exc
        while event is h11.NEED_DATA:
            await self._receive()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as exc:
                raise BrokenAnswerError(reason=f'not an answer: {exc}') from exc
        return event

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            received = b''
        except SEND_ERRORS as exc:
            raise BrokenAnswerError(reason='connection reset') from exc
        self._protocol.receive_data(received)


async def connect(address: str, *, id_header: bytes = b'') -> EndpointLink:
    """Open a connection to ``address`` (``host:port``); raises ``OSError``."""
    host, _, port = address.rpartition(':')
    stream = await anyio.connect_tcp(host, int(port))
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    for level, option, setting in KEEP_ALIVE:
        raw_socket.setsockopt(level, option, setting)
    return EndpointLink(stream=stream, id_header=id_header)


def _kept_s(head: AnswerHead) -> float:
    listed = find(head.headers, b'keep-alive') or b''
    for part in listed.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number) * KEPT_SHARE
    return KEPT_S
