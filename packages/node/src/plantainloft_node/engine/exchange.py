"""One request of a caller and its answer, and who gives it."""

from abc import ABC, abstractmethod

import anyio
import h11

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.bodies import RequestBody
from plantainloft_node.engine.heads import Headers, find

__all__ = ['Connection', 'Exchange', 'Handler']


class Connection(ABC):
    """What an exchange needs of the connection that it came on.

    ``peer_host`` is the network address of the caller, without its port.
    """

    peer_host: str

    @abstractmethod
    async def send(self, encoded: bytes) -> None:
        """Send bytes of the answer whose turn it is."""

    @abstractmethod
    def closes_after(self, exchange: 'Exchange') -> bool:
        """Return whether the connection ends with ``exchange``'s answer."""


class Exchange:
    """One request and its answer on a caller's connection."""

    def __init__(
        self,
        *,
        caller: Connection,
        protocol: h11.Connection,
        head: h11.Request,
        received_at: float,
        limits: CallerLimits,
    ) -> None:
        self._caller = caller
        self._protocol = protocol
        self.method = bytes(head.method)
        self.target = bytes(head.target)
        self.headers: Headers = [(bytes(key), bytes(content)) for key, content in head.headers]
        self.received_at = received_at
        self.body = RequestBody(limit=limits.body_bytes)
        # Set when every earlier answer of the connection has been sent.
        self.turn = anyio.Event()
        self.answered = False
        self._pending: bytes | None = b''

    def header(self, name: bytes) -> bytes | None:
        """Return the request's header called ``name`` (lower case)."""
        return find(self.headers, name)

    @property
    def path(self) -> str:
        """The target's path, without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> str:
        """The target's query."""
        return self.target.partition(b'?')[2].decode('latin-1')

    @property
    def peer_host(self) -> str:
        """The network address of the caller, without its port."""
        return self._caller.peer_host

    async def answer(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send a whole answer."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        await self.start(status, framed)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer, when it is this request's turn."""
        await self.turn.wait()
        if self._caller.closes_after(self):
            headers = [*headers, (b'connection', b'close')]
        self.answered = True
        self._pending = self._protocol.send(h11.Response(status_code=status, headers=headers))

    async def write(self, piece: bytes) -> None:
        """Send a piece of the answer's body."""
        if piece:
            self._pending = (self._pending or b'') + (
                self._protocol.send(h11.Data(data=piece)) or b''
            )
            await self._flush()

    async def finish(self) -> None:
        """End the answer."""
        self._pending = (self._pending or b'') + (self._protocol.send(h11.EndOfMessage()) or b'')
        await self._flush()

    def keeps_open(self) -> bool:
        """Return whether the connection may serve requests after this."""
        return self._protocol.our_state is h11.DONE

    async def _flush(self) -> None:
        pending = self._pending
        self._pending = b''
        if pending:
            await self._caller.send(pending)


class Handler(ABC):
    """Answers the requests of callers' connections."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""

    @abstractmethod
    def repeatable(self, exchange: Exchange) -> bool:
        """Return whether the request may run more than once.

        Only such a request runs before those ahead of it are answered.
        """

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
