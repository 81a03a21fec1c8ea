"""Requests to endpoints that this node doesn't reach, but a peer does.

A node may lose its links to endpoints while callers and its peers reach it. A connection that
doesn't open is then no fault of the endpoint: a peer that reaches it sends the request.
Everything about a request is decided at the node that its caller asked; the peer only sends it,
once, and asks no other peer.
"""

import logging
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, Required, TypedDict

import anyio

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList
from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.outcomes import Unreachable
from plantainloft_node.endpoint_requests import host_of
from plantainloft_node.engine.attempts import Failed, NotSent
from plantainloft_node.engine.headers import Headers
from plantainloft_node.engine.http_client import BufferedResponse, HttpClient
from plantainloft_node.engine.upstream_connection import (
    CONNECT_TIMEOUT_S,
    ResponseHead,
    UpstreamRequest,
    connect,
)
from plantainloft_node.streams import PeerConnections

__all__ = ['EndpointRelay', 'Relayed']

log = logging.getLogger(__name__)

Relayed = BufferedResponse | NotSent | Failed

MAX_PEERS_ASKED = 3
# Other endpoints to which a peer connects, to distinguish a lost endpoint from its own lost
# links.
MAX_WITNESSES = 1
# A peer answers within its connections and a round trip between regions.
ROUND_TRIP_S = 0.2
REACH_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S + ROUND_TRIP_S
# How long the result of asking peers about an endpoint is used: meanwhile, requests go through
# the peer that reaches it without a try from here, or are refused at once if none does.
ANSWER_TTL_S = 1.0


class RelayRequest(TypedDict):
    """A request that a peer sends to the endpoint named; ``timeout_s`` is the time left."""

    endpoint: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    timeout_s: float


class RelayAnswer(TypedDict, total=False):
    """What became of it; ``kind`` is ``response``, ``not_sent`` or ``failed``.

    A response has ``status``, ``headers`` and ``body``; the others have a ``reason``.
    """

    kind: Required[str]
    status: int
    headers: Headers
    body: bytes
    reason: str
    connection_lost: bool


class EndpointRelay:
    """Sends requests through peers, and for peers."""

    def __init__(
        self,
        *,
        client: HttpClient,
        membership_list: MembershipList,
        peer_connections: PeerConnections,
        config: Callable[[], Configuration],
        rng: random.Random | None = None,
    ) -> None:
        """``config`` returns the configuration in force."""
        self._client = client
        self._membership_list = membership_list
        self._peer_connections = peer_connections
        self._config = config
        self._rng = rng or random.Random()
        self._answer_by_endpoint: dict[str, _Answer] = {}

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Return whether a moment ago a peer reached ``endpoint`` and this node didn't."""
        answer = self._recent_answer(endpoint.name)
        return answer is not None and answer.peer is not None

    async def send(
        self,
        endpoint: Endpoint,
        request: UpstreamRequest,
        *,
        allowed_regions: Collection[str],
        timeout_s: float,
    ) -> Relayed:
        """Send ``request`` through a peer; unless empty, only through ``allowed_regions``."""
        peer = await self._find_peer(endpoint, allowed_regions)
        if peer is None:
            return NotSent(reason='no peer reaches it', own_path=True)
        log.info(
            'Relay: request to endpoint %s goes through %s.',
            endpoint.name,
            peer.name,
            extra={'kind': 'relay', 'fields': {'endpoint': endpoint.name, 'via': peer.name}},
        )
        content = RelayRequest(
            endpoint=endpoint.name,
            method=request.method,
            target=request.target,
            headers=list(request.headers),
            body=request.body,
            timeout_s=timeout_s,
        )
        answer = await self._peer_connections.call(
            peer.peer_address, 'relay', content, timeout_s=timeout_s
        )
        if isinstance(answer, Unreachable):
            self._answer_by_endpoint.pop(endpoint.name, None)
            return Failed(reason=f'through {peer.name}: {answer.reason}')
        return _decode(answer)

    async def is_gone(self, name: str) -> bool:
        """Return whether an endpoint that this node doesn't reach is unreachable for all.

        Without peers that is what this node sees; if no peer knows, it is not gone.
        """
        endpoint = self._endpoint(name)
        if endpoint is None or not self._ranked_peers(endpoint, ()):
            return True
        await self._find_peer(endpoint, ())
        answer = self._recent_answer(name)
        return answer is not None and answer.peer is None and answer.was_denied

    async def handle_reach(self, content: Any) -> bool | None:
        """Return to a peer whether this node can connect to the endpoint named.

        ``None`` if it reaches no other endpoint either, of the same zone if there are any: its
        own links may be lost.
        """
        endpoint = self._endpoint(content)
        if endpoint is None:
            return None
        if await _accepts_connections(endpoint):
            return True
        endpoints = self._config().endpoints_by_name.values()
        elsewhere = [other for other in endpoints if other.name != endpoint.name]
        in_zone = [other for other in elsewhere if other.zone == endpoint.zone]
        others = in_zone or elsewhere
        for witness in self._rng.sample(others, min(MAX_WITNESSES, len(others))):
            if await _accepts_connections(witness):
                return False
        return None

    async def handle_relay(self, content: RelayRequest) -> RelayAnswer:
        """Send a peer's request and return the response, or why there is none."""
        endpoint = self._endpoint(content['endpoint'])
        if endpoint is None:
            return _encode(NotSent(reason='unknown endpoint'))
        request = UpstreamRequest(
            method=content['method'],
            target=content['target'],
            headers=_header_pairs(content['headers']),
            body=content['body'],
            body_complete=True,
        )
        outcome: Relayed = Failed(reason='no answer in time')
        with anyio.move_on_after(content['timeout_s']):
            outcome = await self._client.send(host_of(endpoint.address), request)
        return _encode(outcome)

    async def _find_peer(
        self, endpoint: Endpoint, allowed_regions: Collection[str]
    ) -> Member | None:
        answer = self._recent_answer(endpoint.name)
        if answer is not None and (
            answer.peer is None or self._may_use(answer.peer, allowed_regions)
        ):
            return answer.peer
        was_denied = False
        for peer in self._ranked_peers(endpoint, allowed_regions)[:MAX_PEERS_ASKED]:
            reaches = await self._peer_connections.call(
                peer.peer_address, 'reach', endpoint.name, timeout_s=REACH_TIMEOUT_S
            )
            if reaches is True:
                self._record_answer(endpoint.name, peer, was_denied=False)
                return peer
            was_denied = was_denied or reaches is False
        self._record_answer(endpoint.name, None, was_denied=was_denied)
        return None

    def _ranked_peers(self, endpoint: Endpoint, allowed_regions: Collection[str]) -> list[Member]:
        """Return the peers to ask: those of this node's zone share its links most often."""
        local = self._membership_list.local_member
        peers = [
            peer
            for peer in self._membership_list.live_members()[1:]
            if not peer.leaving and self._may_use(peer, allowed_regions)
        ]
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: (peer.zone == local.zone, peer.zone != endpoint.zone))
        return peers

    def _may_use(self, peer: Member, allowed_regions: Collection[str]) -> bool:
        return not allowed_regions or self._config().region_of_zone(peer.zone) in allowed_regions

    def _endpoint(self, name: object) -> Endpoint | None:
        return self._config().endpoints_by_name.get(str(name))

    def _recent_answer(self, name: str) -> '_Answer | None':
        answer = self._answer_by_endpoint.get(name)
        if answer is None or anyio.current_time() - answer.at >= ANSWER_TTL_S:
            return None
        return answer

    def _record_answer(self, name: str, peer: Member | None, *, was_denied: bool) -> None:
        self._answer_by_endpoint[name] = _Answer(
            peer=peer, was_denied=was_denied, at=anyio.current_time()
        )


async def _accepts_connections(endpoint: Endpoint) -> bool:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            connection = await connect(host_of(endpoint.address))
    except (OSError, TimeoutError):
        return False
    await connection.close()
    return True


class _Answer:
    """What peers said about an endpoint; ``was_denied``: one that doesn't reach it either."""

    def __init__(self, *, peer: Member | None, was_denied: bool, at: float) -> None:
        self.peer = peer
        self.was_denied = was_denied
        self.at = at


def _encode(outcome: Relayed) -> RelayAnswer:
    if isinstance(outcome, BufferedResponse):
        headers = list(outcome.head.headers)
        return RelayAnswer(
            kind='response', status=outcome.head.status, headers=headers, body=outcome.body
        )
    if isinstance(outcome, NotSent):
        return RelayAnswer(kind='not_sent', reason=outcome.reason)
    return RelayAnswer(
        kind='failed', reason=outcome.reason, connection_lost=outcome.connection_lost
    )


def _decode(answer: RelayAnswer) -> Relayed:
    if answer['kind'] == 'response':
        head = ResponseHead(status=answer['status'], headers=_header_pairs(answer['headers']))
        return BufferedResponse(head=head, body=answer['body'])
    if answer['kind'] == 'not_sent':
        return NotSent(reason=answer['reason'], own_path=True)
    return Failed(reason=answer['reason'], connection_lost=answer['connection_lost'])


def _header_pairs(headers: Iterable[Sequence[bytes]]) -> Headers:
    return [(key, text) for key, text in headers]
