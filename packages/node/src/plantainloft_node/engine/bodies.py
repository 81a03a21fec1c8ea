"""A caller's request body, between its reader and its consumer."""

import anyio

__all__ = ['BodyTooLargeError', 'RequestBody']

# Bodies up to this size are read whole before an endpoint is chosen, so
# that one can be sent again; a longer one is streamed and sent once.
REPLAY_BYTES = 65536
# Pieces that may wait for the consumer; a full buffer stops the reading
# of the caller's connection (back-pressure).
PIECES = 4


class BodyTooLargeError(Exception):
    """The body is longer than callers may send."""


class RequestBody:
    """Pieces of one body in order; ends with ``finish``."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._size = 0
        self._too_large = False
        ends = anyio.create_memory_object_stream[bytes](PIECES)
        self._send = ends[0]
        self._receive = ends[1]

    async def put(self, piece: bytes) -> None:
        """Add a piece; waits while the consumer is behind."""
        self._size += len(piece)
        if self._size > self._limit:
            self._too_large = True
            self._send.close()
            raise BodyTooLargeError
        try:
            await self._send.send(piece)
        except anyio.BrokenResourceError:
            # The answer was sent without the rest of the body; what is
            # still read of it belongs to no one.
            return

    def finish(self) -> None:
        """The body is whole."""
        self._send.close()

    def discard(self) -> None:
        """Nobody reads the rest."""
        self._receive.close()

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end."""
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            if self._too_large:
                raise BodyTooLargeError from None
            return b''

    async def prefetch(self) -> tuple[bytes, bool]:
        """Read up to ``REPLAY_BYTES``; return them and whether that is all."""
        pieces: list[bytes] = []
        size = 0
        while size <= REPLAY_BYTES:
            piece = await self.read()
            if not piece:
                return b''.join(pieces), True
            pieces.append(piece)
            size += len(piece)
        return b''.join(pieces), False
