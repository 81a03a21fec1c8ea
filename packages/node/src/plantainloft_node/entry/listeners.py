"""Listening sockets of an entry process, and the connections accepted on them."""

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import anyio
from anyio.abc import Listener, SocketStream

from plantainloft_node.capacity.held_bytes import CallerTraffic
from plantainloft_node.engine.caller_connection import CallerConnection
from plantainloft_node.engine.exchange import ExchangeHandler

__all__ = ['Listeners']

log = logging.getLogger(__name__)

# Connections waiting to be accepted: those of a busy second. When the queue is
# full, the kernel drops SYN packets, which callers resend only after seconds.
ACCEPT_BACKLOG = 1024


class Listeners:
    """Accepts connections, and closes them gracefully when the process stops."""

    def __init__(self, *, traffic: CallerTraffic) -> None:
        self._traffic = traffic
        self._listeners: list[Listener[SocketStream]] = []
        self._connections: set[CallerConnection] = set()
        self._draining = False
        self._stopped = False

    @property
    def open_connections(self) -> int:
        """The number of connections that are not closed on both sides."""
        return len(self._connections)

    async def listen(self, address: str, handler: ExchangeHandler) -> None:
        """Accept connections on ``address`` (``host:port``) until stopped, and serve them."""
        host, _, port = address.rpartition(':')
        listeners = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=ACCEPT_BACKLOG
        )
        self._listeners.extend(listeners.listeners)
        async with anyio.create_task_group() as tasks:
            for listener in listeners.listeners:
                tasks.start_soon(_accept, listener, partial(self._serve, handler=handler))

    def start_draining(self) -> None:
        """Close each connection after one of its next responses."""
        self._draining = True
        for connection in self._connections:
            connection.start_draining()

    async def stop(self) -> None:
        """Accept no more connections, and close those that have no request in progress."""
        self._stopped = True
        for listener in self._listeners:
            await listener.aclose()
        for connection in tuple(self._connections):
            connection.close_when_idle()

    async def _serve(self, stream: SocketStream, *, handler: ExchangeHandler) -> None:
        connection = CallerConnection(
            stream=stream, handler=handler, clock=anyio.current_time, traffic=self._traffic
        )
        if self._draining:
            connection.start_draining()
        if self._stopped:
            connection.close_when_idle()
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # An unexpected error on one connection must not end the process and
            # with it all other connections.
            log.exception('Entry: a connection failed.', extra={'kind': 'defect'})
        finally:
            self._connections.discard(connection)


async def _accept(
    listener: Listener[SocketStream], serve: Callable[[SocketStream], Awaitable[None]]
) -> None:
    """Serve connections in tasks of their own, until the listener is closed and they have ended."""
    async with anyio.create_task_group() as tasks:
        with suppress(anyio.ClosedResourceError):
            await listener.serve(serve, tasks)
