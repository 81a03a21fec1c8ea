"""Listening sockets of an entry process, and the connections accepted on them."""

import logging

import anyio
from anyio.abc import SocketStream

from plantainloft_node.capacity.held_bytes import CallerTraffic
from plantainloft_node.engine.caller_connection import CallerConnection
from plantainloft_node.engine.exchange import ExchangeHandler

__all__ = ['Listeners']

log = logging.getLogger(__name__)

# Connections waiting to be accepted: those of a busy second. When the queue is
# full, the kernel drops SYN packets, which callers resend only after seconds.
ACCEPT_BACKLOG = 1024


class Listeners:
    """Accepts connections, and closes them gracefully when draining starts."""

    def __init__(self, *, traffic: CallerTraffic) -> None:
        self._traffic = traffic
        self._connections: set[CallerConnection] = set()
        self._draining = False

    async def listen(self, address: str, handler: ExchangeHandler) -> None:
        """Accept and serve connections on ``address`` (``host:port``) until cancelled."""
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=ACCEPT_BACKLOG
        )

        async def serve(stream: SocketStream) -> None:
            await self._serve(stream, handler)

        await listener.serve(serve)

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self._draining = True
        for connection in self._connections:
            connection.state.request_close()

    def close_when_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in tuple(self._connections):
            connection.close_when_idle()

    async def _serve(self, stream: SocketStream, handler: ExchangeHandler) -> None:
        connection = CallerConnection(
            stream=stream, handler=handler, clock=anyio.current_time, traffic=self._traffic
        )
        if self._draining:
            connection.state.request_close()
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # An unexpected error on one connection must not end the process and
            # with it all other connections.
            log.exception('Entry: a connection failed.', extra={'kind': 'defect'})
        finally:
            self._connections.discard(connection)
