"""Outgoing connections to peers, with answers matched to calls by call number.

Answers may arrive late or out of order. Each call of a ``PeerConnection`` has a number
that is never reused, and an answer is delivered only to the call with its number. An
answer whose call has ended is dropped, in parts or whole. Otherwise a caller could receive
the answer to another call.
"""

import itertools
import logging
from collections.abc import Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.streams.frames import (
    LAST_PART,
    PART,
    STREAM_ERRORS,
    Frame,
    FrameStream,
    PeerTrafficCounter,
)
from plantainloft_node.transfer_timeout import TransferTimeout

__all__ = ['PeerConnection', 'PeerConnections', 'ignore_progress']

log = logging.getLogger(__name__)

MAX_PEER_CONNECTIONS = 64


def ignore_progress() -> None:
    """Serve as the default of ``on_progress``."""


class _PendingCall:
    def __init__(self, *, timeout_s: float, on_progress: Callable[[], None]) -> None:
        self.timeout = TransferTimeout(start_s=timeout_s, stall_s=timeout_s)
        self.finished = anyio.Event()
        self.content: Any = None
        self.connection_lost = False
        self._on_progress = on_progress
        self._parts: list[bytes] = []

    def receive(self, frame: Frame) -> None:
        """Take an answer, or a part of one; raises ``ValueError`` if it is malformed."""
        if frame['kind'] not in {PART, LAST_PART}:
            self._finish(frame['content'])
            return
        self._parts.append(frame['content'])
        self.timeout.record(len(frame['content']))
        self._on_progress()
        if frame['kind'] == LAST_PART:
            self._finish(msgpack.unpackb(b''.join(self._parts)))

    def _finish(self, content: Any) -> None:
        self.content = content
        self.finished.set()


class PeerConnection:
    """A connection to one peer, opened on demand and reopened after a failure."""

    def __init__(self, *, address: str, tasks: TaskGroup, peer_traffic: PeerTrafficCounter) -> None:
        self._peer_traffic = peer_traffic
        self._address = address
        self._tasks = tasks
        self._stream: FrameStream | None = None
        self._open_lock = anyio.Lock()
        self._call_ids = itertools.count(1)
        self._pending_by_call_id: dict[int, _PendingCall] = {}

    async def call(
        self,
        kind: str,
        content: Any,
        *,
        timeout_s: float,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> Any | Unreachable:
        """Call the peer and return the content of its answer, or ``Unreachable``.

        ``timeout_s`` limits the time to the start of the answer, and each stall of a large one.
        ``on_progress`` is called whenever a part of a large one has arrived.
        """
        call_id = next(self._call_ids)
        pending = _PendingCall(timeout_s=timeout_s, on_progress=on_progress)
        self._pending_by_call_id[call_id] = pending
        stream = None
        is_sent = False
        received_before = 0
        try:
            with pending.timeout:
                stream = await self._open_stream()
                received_before = stream.received_bytes
                await stream.send(
                    Frame(kind=kind, call=call_id, content=content, accepts_parts=True)
                )
                is_sent = True
                await pending.finished.wait()
        except STREAM_ERRORS as exc:
            await self._disconnect(stream)
            return Unreachable(reason=f'{kind}: {type(exc).__name__}')
        finally:
            self._pending_by_call_id.pop(call_id, None)
        if pending.connection_lost:
            return Unreachable(reason=f'{kind}: connection lost')
        if pending.finished.is_set():
            return pending.content
        received_bytes = stream.received_bytes - received_before if stream else 0
        if not (is_sent and received_bytes):
            # An established connection can stop delivering data while new ones work,
            # for example when a middlebox lost its state. Every call on it would time
            # out, so it is closed and the next call opens a new one. So is one on which
            # a call may have been sent in part.
            await self._disconnect(stream)
        state = f'{received_bytes} bytes received' if stream else 'not connected'
        return Unreachable(reason=f'{kind}: timed out, {state}')

    async def close(self) -> None:
        """Close the connection."""
        await self._disconnect(self._stream)

    async def _open_stream(self) -> FrameStream:
        async with self._open_lock:
            if self._stream is None:
                host, _, port = self._address.rpartition(':')
                tcp_stream = await anyio.connect_tcp(host, int(port))
                self._stream = FrameStream(stream=tcp_stream, peer_traffic=self._peer_traffic)
                self._tasks.start_soon(self._read_answers, self._stream)
            return self._stream

    async def _read_answers(self, stream: FrameStream) -> None:
        try:
            while True:
                frame = await stream.receive()
                pending = self._pending_by_call_id.get(frame['call'])
                if pending is not None:
                    pending.receive(frame)
        except STREAM_ERRORS:
            await self._disconnect(stream)

    async def _disconnect(self, stream: FrameStream | None) -> None:
        if stream is None or self._stream is not stream:
            return
        self._stream = None
        for pending in self._pending_by_call_id.values():
            pending.connection_lost = True
            pending.finished.set()
        with anyio.CancelScope(shield=True):
            await stream.close()


class PeerConnections:
    """Connections by peer address; the least recently used ones are closed."""

    def __init__(self, *, tasks: TaskGroup, peer_traffic: PeerTrafficCounter) -> None:
        self._tasks = tasks
        self._peer_traffic = peer_traffic
        self._connection_by_address: dict[str, PeerConnection] = {}

    async def call(
        self,
        address: str,
        kind: str,
        content: Any,
        *,
        timeout_s: float,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> Any | Unreachable:
        """Call the peer at ``address``, see ``PeerConnection.call``."""
        connection = self._connection_by_address.pop(address, None)
        if connection is None:
            connection = PeerConnection(
                address=address, tasks=self._tasks, peer_traffic=self._peer_traffic
            )
        self._connection_by_address[address] = connection
        while len(self._connection_by_address) > MAX_PEER_CONNECTIONS:
            least_recent = next(iter(self._connection_by_address))
            await self._connection_by_address.pop(least_recent).close()
        return await connection.call(kind, content, timeout_s=timeout_s, on_progress=on_progress)
