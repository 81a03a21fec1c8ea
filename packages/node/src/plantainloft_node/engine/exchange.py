"""One request of a caller with its response, and the interface of its handler."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager

import anyio
import h11

from plantainloft_core.routes import CallerLimits
from plantainloft_node.capacity.held_bytes import CallerTraffic
from plantainloft_node.engine.connection_end import ConnectionEnd
from plantainloft_node.engine.connection_state import ConnectionState
from plantainloft_node.engine.headers import Headers, find_header
from plantainloft_node.engine.request_body import RequestBody

__all__ = ['Connection', 'Exchange', 'ExchangeHandler']


class Connection(ABC):
    """The connection of a caller, as an exchange uses it.

    ``peer_host`` is the caller's network address, without the port. ``traffic`` counts the
    bytes of all connections. ``state`` decides which requests are still accepted, ``end``
    is the reason why those that are open are cancelled.
    """

    peer_host: str
    traffic: CallerTraffic
    state: ConnectionState
    end: ConnectionEnd = ConnectionEnd.PROCESS

    @abstractmethod
    async def send(self, encoded: bytes) -> None:
        """Send encoded bytes of the current response."""


class Exchange:
    """One request and its response on a caller's connection."""

    def __init__(
        self,
        *,
        connection: Connection,
        number: int,
        protocol: h11.Connection,
        head: h11.Request,
        received_at: float,
        limits: CallerLimits,
    ) -> None:
        """``number`` is that of the request on its connection, from 1."""
        self.number = number
        self._connection = connection
        self._protocol = protocol
        self.method = bytes(head.method)
        self.target = bytes(head.target)
        self.headers: Headers = [(bytes(key), bytes(value)) for key, value in head.headers]
        self.received_at = received_at
        self.body = RequestBody(limit=limits.max_body_bytes)
        # Set when all earlier responses of the connection have been sent.
        self.earlier_responses_sent = anyio.Event()
        self.response_started = False
        self._pending: bytes | None = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the request header ``name`` (lower case), if present."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> str:
        """The query of the target, without the question mark."""
        return self.target.partition(b'?')[2].decode('latin-1')

    @property
    def peer_host(self) -> str:
        """The caller's network address, without the port."""
        return self._connection.peer_host

    async def respond(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send a complete response."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        with self.holding(len(body)):
            await self.start_response(status, framed)
            await self.write_body(body)
            await self.end_response()

    def close_connection(self) -> None:
        """Close the connection after this response and those that are due already."""
        self._connection.state.close_after_accepted()

    @property
    def connection_end(self) -> ConnectionEnd:
        """The reason why the connection has ended, once the request is cancelled."""
        return self._connection.end

    def holding(self, size: int) -> AbstractContextManager[None]:
        """Count ``size`` bytes of the response as held for the caller within the context."""
        return self._connection.traffic.holding(size)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the response head once all earlier responses have been sent."""
        await self.earlier_responses_sent.wait()
        if self._connection.state.starts_last_response(self.number):
            headers = [*headers, (b'connection', b'close')]
        self.response_started = True
        self._pending = self._protocol.send(h11.Response(status_code=status, headers=headers))

    async def write_body(self, chunk: bytes) -> None:
        """Send a chunk of the response body."""
        if chunk:
            self._pending = (self._pending or b'') + (
                self._protocol.send(h11.Data(data=chunk)) or b''
            )
            await self._flush()

    async def end_response(self) -> None:
        """Complete the response."""
        self._pending = (self._pending or b'') + (self._protocol.send(h11.EndOfMessage()) or b'')
        await self._flush()

    def keeps_alive(self) -> bool:
        """Return whether the connection can serve further requests."""
        return self._protocol.our_state is h11.DONE

    async def _flush(self) -> None:
        pending = self._pending
        self._pending = b''
        if pending:
            await self._connection.send(pending)


class ExchangeHandler(ABC):
    """Answers the requests on callers' connections."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""

    @abstractmethod
    def is_idempotent(self, exchange: Exchange) -> bool:
        """Return whether the request is idempotent, so that it may run more than once.

        Only such a request is run before the earlier requests of its connection have
        been answered.
        """

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits currently in force."""
