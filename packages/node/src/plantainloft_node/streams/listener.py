"""Incoming connections from peers; the frames of a connection are handled concurrently.

A slow answer (a whole configuration) does not delay a probe on the same connection.
Answers are sent as they are ready, in any order, with the number of their call.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskStatus

from plantainloft_node.streams.frames import (
    STREAM_ERRORS,
    Frame,
    FrameStream,
    PeerTrafficCounter,
)

__all__ = ['FrameHandler', 'serve_peers']

log = logging.getLogger(__name__)

FrameHandler = Callable[[Any], Awaitable[Any]]

IDLE_TIMEOUT_S = 60.0
_CONNECTION_END_ERRORS = (*STREAM_ERRORS, TimeoutError)


async def serve_peers(
    bind: str,
    handler_by_kind: Mapping[str, FrameHandler],
    *,
    peer_traffic: PeerTrafficCounter,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Listen on ``bind`` (``host:port``) and answer peers until cancelled."""
    host, _, port = bind.rpartition(':')
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))

    task_status.started()

    async def serve_connection(tcp_stream: ByteStream) -> None:
        async with tcp_stream:
            await _serve_connection(
                FrameStream(stream=tcp_stream, peer_traffic=peer_traffic), handler_by_kind
            )

    await listener.serve(serve_connection)


async def _serve_connection(
    stream: FrameStream, handler_by_kind: Mapping[str, FrameHandler]
) -> None:
    async with anyio.create_task_group() as tasks:
        try:
            while True:
                # A peer that disappears without closing leaves a connection that
                # never ends, so idle connections are closed.
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    frame = await stream.receive()
                handler = handler_by_kind.get(frame['kind'])
                if handler is None:
                    log.warning('Peers: ignored a message of unknown kind %s.', frame['kind'])
                    continue
                tasks.start_soon(_handle_frame, stream, frame, handler)
        except _CONNECTION_END_ERRORS:
            tasks.cancel_scope.cancel()


async def _handle_frame(stream: FrameStream, frame: Frame, handler: FrameHandler) -> None:
    content = await handler(frame['content'])
    try:
        await stream.send_reply(frame['call'], content, in_parts=frame.get('accepts_parts', False))
    except STREAM_ERRORS:
        log.info('Peers: answer to a %s call not sent: the connection closed.', frame['kind'])
