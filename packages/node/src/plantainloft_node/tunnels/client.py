"""Opens connections to endpoints through peers."""

import itertools
import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream

from plantainloft_node.engine.connector import ConnectionNeeds
from plantainloft_node.engine.upstream_connection import (
    CONNECTION_ERRORS,
    TunnelPath,
    UpstreamConnection,
    set_keepalive,
)
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.placement.endpoints import EndpointState
from plantainloft_node.tunnels.frames import (
    OpenRequest,
    OpenResult,
    pack_open_request,
    read_result,
)
from plantainloft_node.tunnels.peer_selection import PeerSelector
from plantainloft_node.tunnels.stream import TunnelStream

__all__ = ['NoTunnel', 'TunnelClient']

# A peer in this region answers within its connection to the endpoint, which may be in
# another region; one in another region is as far away itself.
REGION_ANSWER_TIMEOUT_S = 0.25
REMOTE_ANSWER_TIMEOUT_S = 0.45
_OPEN_ERRORS = (*CONNECTION_ERRORS, anyio.EndOfStream, TimeoutError, ValueError, IndexError)


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTunnel:
    """No peer has opened a connection.

    ``is_unreachable``: a peer that reaches other endpoints doesn't reach this one either.
    """

    reason: str
    is_unreachable: bool = False


class _PeerAnswer(NamedTuple):
    result: OpenResult | None
    stream: SocketStream | None


class TunnelClient:
    """Asks peers for connections to endpoints, and counts those that are open."""

    def __init__(
        self, *, members: FleetMembership, id_header: bytes, rng: random.Random | None = None
    ) -> None:
        self._members = members
        self._id_header = id_header
        self._local_host = members.local_member.heartbeat_address.rpartition(':')[0]
        self._selector = PeerSelector(local_member=members.local_member, rng=rng or random.Random())
        self._numbers = itertools.count(1)
        # Open tunnels by the name of the peer.
        self.open_by_peer: Counter[str] = Counter()
        # Answers of peers, by result; ``unanswered`` if there was none.
        self.answers: Counter[str] = Counter()

    def is_usable(self, path: TunnelPath, needs: ConnectionNeeds) -> bool:
        """Return whether an idle connection through ``path`` may carry a request."""
        if needs.allowed_regions and path.region not in needs.allowed_regions:
            return False
        is_up = self._members.is_up(path.peer, anyio.current_time())
        return is_up and not self._members.liveness.is_draining(path.peer)

    async def open(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NoTunnel:
        """Open a connection to ``state`` through the first peer that can."""
        now = anyio.current_time()
        peers = self._selector.select(
            self._members.serving_peers(now),
            allowed_regions=needs.allowed_regions,
            tunnels_by_name=self.open_by_peer,
            now=now,
        )
        reasons: list[str] = []
        for peer in peers:
            tunnel = f'{self._members.local_member.name}-{next(self._numbers)}'
            request = OpenRequest(
                self._members.local_member.name, tunnel, state.record.incarnation, needs.priority
            )
            answer = await self._ask(peer, request)
            if answer.result is OpenResult.OPENED and answer.stream is not None:
                return self._connection(answer.stream, TunnelPath(peer.name, peer.region, tunnel))
            shown = 'no answer' if answer.result is None else answer.result.name.lower()
            reasons.append(f'{peer.name}: {shown}')
            if answer.result in {OpenResult.UNREACHABLE, OpenResult.UNWANTED}:
                return NoTunnel(
                    reason=', '.join(reasons),
                    is_unreachable=answer.result is OpenResult.UNREACHABLE,
                )
        return NoTunnel(reason=', '.join(reasons) or 'no peer to ask')

    def _connection(self, stream: SocketStream, path: TunnelPath) -> UpstreamConnection:
        self.open_by_peer[path.peer] += 1
        tunnel_stream = TunnelStream(stream=stream)

        def record_closed() -> None:
            self.open_by_peer[path.peer] -= 1

        return UpstreamConnection(
            stream=tunnel_stream,
            id_header=self._id_header,
            is_reusable=lambda: tunnel_stream.is_reusable,
            on_closed=record_closed,
            path=path,
        )

    async def _ask(self, peer: FleetMember, request: OpenRequest) -> _PeerAnswer:
        is_near = peer.region == self._members.local_member.region
        timeout_s = REGION_ANSWER_TIMEOUT_S if is_near else REMOTE_ANSWER_TIMEOUT_S
        stream: SocketStream | None = None
        result: OpenResult | None = None
        self._selector.record_asked(anyio.current_time())
        try:
            with anyio.fail_after(timeout_s):
                host, _, port = peer.heartbeat_address.rpartition(':')
                # Peers accept tunnels only from the addresses of known instances.
                stream = await anyio.connect_tcp(host, int(port), local_host=self._local_host)
                set_keepalive(stream)
                await stream.send(pack_open_request(request))
                result = await read_result(stream)
        except _OPEN_ERRORS:
            result = None
        finally:
            if stream is not None and result is not OpenResult.OPENED:
                await anyio.aclose_forcefully(stream)
        self.answers['unanswered' if result is None else result.name.lower()] += 1
        self._selector.record_result(peer.name, result, anyio.current_time())
        return _PeerAnswer(result, stream if result is OpenResult.OPENED else None)
