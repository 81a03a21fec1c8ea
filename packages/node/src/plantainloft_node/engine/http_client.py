"""A client for requests whose complete responses are buffered in memory."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from plantainloft_node.engine.attempts import Failed, NotSent
from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.upstream_connection import (
    CONNECT_TIMEOUT_S,
    CONNECTION_ERRORS,
    BrokenAnswerError,
    ResponseHead,
    UpstreamConnection,
    UpstreamRequest,
    connect,
)

__all__ = ['BufferedResponse', 'HttpClient']


def _always() -> bool:
    return True


def _ignore_progress(_: int) -> None:
    """Serve as the default of ``on_received``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferedResponse:
    """A response with its complete body."""

    head: ResponseHead
    body: bytes


class HttpClient:
    """Sends requests to servers by address (``host:port``), over pooled connections.

    The caller sets the time limit. When it cancels, the connection is closed, so that
    a late response cannot be taken for that of the next request.
    """

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = ConnectionPool()

    async def send(
        self,
        address: str,
        request: UpstreamRequest,
        *,
        may_send: Callable[[], bool] = _always,
        on_received: Callable[[int], None] = _ignore_progress,
    ) -> BufferedResponse | NotSent | Failed:
        """Return the response; without one, whether the request may have arrived.

        ``NotSent``: it has not; ``Failed``: it may have. ``may_send`` is asked once a
        connection is open; if it returns false, nothing is sent. ``on_received`` is called
        with the size of each part of the body as it arrives, in bytes.
        """
        connection = await self._pool.acquire(address, anyio.current_time())
        if connection is None:
            try:
                with anyio.fail_after(self._connect_timeout_s):
                    connection = await connect(address)
            except (OSError, TimeoutError) as exc:
                return NotSent(reason=type(exc).__name__)
        if not may_send():
            await connection.close()
            return NotSent(reason='wants no requests any more', withdrawn=True)
        kept = False
        try:
            response, kept = await _send_and_receive(connection, request, on_received)
        except CONNECTION_ERRORS as exc:
            return Failed(reason=type(exc).__name__, connection_lost=True)
        except BrokenAnswerError as exc:
            return Failed(reason=exc.reason, connection_lost=True)
        finally:
            if not kept:
                await connection.close()
        if kept:
            await self._pool.release(address, connection)
        return response


async def _send_and_receive(
    connection: UpstreamConnection, request: UpstreamRequest, on_received: Callable[[int], None]
) -> tuple[BufferedResponse, bool]:
    """Return the response, and whether the connection can be reused."""
    await connection.send(request)
    head = await connection.read_head()
    chunks = []
    chunk = await connection.read_chunk()
    while chunk:
        chunks.append(chunk)
        on_received(len(chunk))
        chunk = await connection.read_chunk()
    response = BufferedResponse(head=head, body=b''.join(chunks))
    return response, connection.reset_for_reuse(head, anyio.current_time())
