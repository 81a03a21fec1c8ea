"""The peer's end of a tunnel: copies bytes between its user and an endpoint."""

import logging
from collections import Counter

import anyio
from anyio.abc import SocketStream, TaskGroup

from plantainloft_node.engine.upstream_connection import CONNECTION_ERRORS
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.tunnels.frames import FrameKind, OpenRequest, pack_frame

__all__ = ['STREAM_ERRORS', 'Tunnel']

log = logging.getLogger(__name__)

READ_BYTES = 65536
# How long a tunnel outlives the endpoint's connection.
LINGER_S = 2.0
# A user that reads slowly is asked to give up the tunnel at the next opportunity.
RETIRE_TIMEOUT_S = 0.2
STREAM_ERRORS = (*CONNECTION_ERRORS, anyio.EndOfStream, anyio.IncompleteRead)


class Tunnel:
    """One tunnel: the user's connection and that to the endpoint."""

    def __init__(
        self,
        *,
        request: OpenRequest,
        zone: str,
        user: SocketStream,
        endpoint: SocketStream,
        links: LinkMonitor,
    ) -> None:
        self.request = request
        self.zone = zone
        self._user = user
        self._endpoint = endpoint
        self._links = links
        # Cancelled to give up the endpoint's connection, which has gone silent.
        self._abandon = anyio.CancelScope()
        # Set while the endpoint has been sent something and has not answered.
        self._waiting: int | None = None
        # Frames are sent by several tasks.
        self._send_lock = anyio.Lock()
        self._is_retired = False
        # By direction: ``to_endpoint`` and ``to_user``.
        self.copied_bytes: Counter[str] = Counter()

    async def copy(self) -> None:
        """Copy bytes in both directions until one side ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy_to_endpoint, tasks)
            end = await self._copy_to_user()
            await self._send_frame(end)
            # A connection that is closed with unread bytes is reset, and the user loses
            # what it has not read. It closes the tunnel itself once it has read the end.
            await anyio.sleep(LINGER_S)
            tasks.cancel_scope.cancel()

    async def close(self) -> None:
        """Close the endpoint's connection at once, so that it can cancel the request."""
        self._end_waiting()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._endpoint)

    async def retire(self) -> None:
        """Ask the user to send no further request; requests in progress are completed."""
        if self._is_retired:
            return
        try:
            with anyio.move_on_after(RETIRE_TIMEOUT_S):
                await self._send_frame(FrameKind.RETIRE)
                self._is_retired = True
        except CONNECTION_ERRORS as exc:
            log.debug('Tunnels: tunnel %s not retired: %r.', self.request.tunnel, exc)

    async def _copy_to_endpoint(self, tasks: TaskGroup) -> None:
        try:
            while True:
                await self._send_to_endpoint(await self._user.receive(READ_BYTES))
        except STREAM_ERRORS as exc:
            log.debug('Tunnels: tunnel %s closed: %r.', self.request.tunnel, exc)
        tasks.cancel_scope.cancel()

    async def _send_to_endpoint(self, chunk: bytes) -> None:
        if self._waiting is None:
            self._waiting = self._links.record_sent(
                self.zone, anyio.current_time(), abandon=self._abandon.cancel
            )
        try:
            await self._endpoint.send(chunk)
        except CONNECTION_ERRORS as exc:
            # The endpoint may have answered before it has read everything.
            log.debug('Tunnels: tunnel %s not read: %r.', self.request.tunnel, exc)
            return
        self.copied_bytes['to_endpoint'] += len(chunk)

    async def _copy_to_user(self) -> FrameKind:
        """Copy what the endpoint sends; return how its connection ended."""
        try:
            with self._abandon:
                while True:
                    chunk = await self._endpoint.receive(READ_BYTES)
                    self._links.record_received(self.zone, anyio.current_time())
                    self._end_waiting()
                    await self._send_frame(FrameKind.DATA, chunk)
                    self.copied_bytes['to_user'] += len(chunk)
        except anyio.EndOfStream:
            return FrameKind.CLOSED
        except CONNECTION_ERRORS as exc:
            log.debug('Tunnels: tunnel %s broke: %r.', self.request.tunnel, exc)
        return FrameKind.BROKEN

    async def _send_frame(self, kind: FrameKind, payload: bytes = b'') -> None:
        async with self._send_lock:
            await self._user.send(pack_frame(kind, payload))

    def _end_waiting(self) -> None:
        if self._waiting is not None:
            self._links.record_ended(self._waiting)
            self._waiting = None
