"""Informs a peer of what an endpoint has announced in a response that passed through it.

The peer copies bytes without reading them. The endpoint has seen both instances: the
peer's connection, and the request of the instance that uses it.
"""

import logging
from typing import Any, NamedTuple

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.endpoint_signals.retry_after import MAX_REST_S
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.upstream_connection import TunnelPath
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.fleet.report_codec import require_non_negative, require_type
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState

__all__ = ['ANNOUNCEMENT_CALL', 'AnnouncementForwarder']

log = logging.getLogger(__name__)

ANNOUNCEMENT_CALL = 'endpoint_announcement'
MAX_QUEUED = 256


class _Queued(NamedTuple):
    peer: str
    incarnation: str
    leaves: bool
    rest_s: float


class AnnouncementForwarder:
    """Sends announcements to the peers they came through, and records those of peers."""

    def __init__(self, *, members: FleetMembership, endpoint_registry: EndpointRegistry) -> None:
        self._members = members
        self._endpoint_registry = endpoint_registry
        streams = anyio.create_memory_object_stream[_Queued](MAX_QUEUED)
        self._send_stream = streams[0]
        self._receive_stream = streams[1]

    def forward(self, path: TunnelPath, state: EndpointState, signals: EndpointSignals) -> None:
        """Queue what ``state`` announced in a response that came through ``path``."""
        queued = _Queued(path.peer, state.record.incarnation, signals.leaves, signals.rest_s)
        try:
            self._send_stream.send_nowait(queued)
        except anyio.WouldBlock:
            log.warning('Tunnels: announcement not forwarded, the queue is full.')

    async def run(self, calls: PeerCalls) -> None:
        """Forward queued announcements until cancelled."""
        async for queued in self._receive_stream:
            member = self._members.registry.get(queued.peer)
            if member is None:
                continue
            answer = await calls.call(member, ANNOUNCEMENT_CALL, list(queued[1:]))
            if isinstance(answer, Unreachable):
                log.debug('Tunnels: announcement not delivered to %s.', queued.peer)

    async def answer_call(self, content: Any) -> bool:
        """Record an announcement that a peer received through this instance."""
        try:
            incarnation, signals = _parse(*content)
        except (TypeError, ValueError):
            log.warning('Tunnels: ignored a malformed announcement.', extra={'kind': 'bad_news'})
            return False
        state = self._endpoint_registry.find(incarnation)
        if state is not None:
            state.announced.record_response(signals, anyio.current_time())
        return state is not None


def _parse(incarnation: Any, leaves: Any, rest_s: Any) -> tuple[str, EndpointSignals]:
    rest = min(require_non_negative(rest_s), MAX_REST_S)
    signals = EndpointSignals(leaves=require_type(leaves, bool), rest_s=rest)
    return require_type(incarnation, str), signals
