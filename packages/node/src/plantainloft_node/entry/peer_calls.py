"""Remote procedure calls between entry instances, over streams."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMember
from plantainloft_node.streams.connections import PeerConnections, ignore_progress
from plantainloft_node.streams.frames import PeerTrafficCounter
from plantainloft_node.streams.listener import FrameHandler, serve_peers

__all__ = ['PeerCalls']

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5


class PeerCalls:
    """Calls other instances and serves their calls."""

    def __init__(self, *, settings: EntrySettings, tasks: TaskGroup) -> None:
        self._peer_call_address = settings.peer_call_address
        self._peer_traffic = PeerTrafficCounter()
        self._peer_connections = PeerConnections(tasks=tasks, peer_traffic=self._peer_traffic)

    async def call(
        self,
        member: FleetMember,
        kind: str,
        content: Any,
        *,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> Any | Unreachable:
        """Call ``member`` and return the content of its answer, or ``Unreachable``.

        ``on_progress`` is called whenever a part of a large answer has arrived.
        """
        host = member.caller_address.rpartition(':')[0]
        address = f'{host}:{self._peer_call_address.rpartition(":")[2]}'
        answer = await self._peer_connections.call(
            address, kind, content, timeout_s=CALL_TIMEOUT_S, on_progress=on_progress
        )
        if isinstance(answer, Unreachable):
            log.info(
                'Fleet: no answer from %s (%s).',
                member.name,
                answer.reason,
                extra={'kind': 'news', 'fields': {'reason': answer.reason}},
            )
        return answer

    async def serve(self, handler_by_kind: Mapping[str, FrameHandler]) -> None:
        """Answer calls of other instances until cancelled."""
        await serve_peers(self._peer_call_address, handler_by_kind, peer_traffic=self._peer_traffic)
