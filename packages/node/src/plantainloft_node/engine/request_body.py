"""A buffer between the reader of a caller's request body and its consumer."""

from http import HTTPStatus

import anyio

__all__ = ['BodyError', 'RequestBody']

# A body up to this size is read completely before an endpoint is chosen, so that
# the request can be retried; a longer one is streamed and sent only once.
MAX_REPLAYABLE_BYTES = 65536
# Chunks buffered for the consumer. A full buffer pauses reading from the
# caller's connection (back-pressure).
MAX_BUFFERED_CHUNKS = 4


class BodyError(Exception):
    """The body can't be read to its end; ``status`` is the response to its request."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status

    def after_sending(self) -> 'BodyError':
        """Return the error of a request of which a part was sent to an endpoint."""
        if self.status == HTTPStatus.REQUEST_TIMEOUT:
            # This status would promise that the request did not run.
            return BodyError(HTTPStatus.BAD_GATEWAY)
        return self


class RequestBody:
    """The chunks of one body in order; ``finish`` marks the end."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._size = 0
        self._error: BodyError | None = None
        streams = anyio.create_memory_object_stream[bytes](MAX_BUFFERED_CHUNKS)
        self._send = streams[0]
        self._receive = streams[1]

    async def put(self, chunk: bytes) -> None:
        """Add a chunk; waits while the buffer is full."""
        self._size += len(chunk)
        if self._size > self._limit:
            self.fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            raise BodyError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        try:
            await self._send.send(chunk)
        except anyio.BrokenResourceError:
            # The response was sent before the whole body was read; the rest of
            # the body is dropped.
            return

    def finish(self) -> None:
        """Mark the body as complete."""
        self._send.close()

    def fail(self, status: int) -> None:
        """Mark the body as one that can't be read to its end."""
        self._error = BodyError(status)
        self._send.close()

    def discard(self) -> None:
        """Drop whatever has not been read yet."""
        self._receive.close()

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end."""
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            if self._error is not None:
                raise self._error from None
            return b''

    async def read_replayable(self) -> tuple[bytes, bool]:
        """Read until the body ends or exceeds ``MAX_REPLAYABLE_BYTES``.

        Returns the bytes read, and whether they are the complete body.
        """
        chunks: list[bytes] = []
        size = 0
        while size <= MAX_REPLAYABLE_BYTES:
            chunk = await self.read()
            if not chunk:
                return b''.join(chunks), True
            chunks.append(chunk)
            size += len(chunk)
        return b''.join(chunks), False
